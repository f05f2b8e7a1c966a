package codec_test

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// fill sets every field that it can reach to a value other than zero.
func fill(v reflect.Value, seed int64) {
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Now().Add(-time.Second)))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i), seed+int64(i)+1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), seed)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), seed)
	case reflect.String:
		v.SetString("s" + string(rune('a'+seed%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(seed) + 0.5)
	case reflect.Uint8:
		v.SetUint(1)
	case reflect.Uint64:
		v.SetUint(uint64(seed))
	case reflect.Int, reflect.Int64:
		v.SetInt(seed)
	}
}

func filled[T any]() T {
	var v T
	fill(reflect.ValueOf(&v).Elem(), 1)
	return v
}

// TestEveryFieldOfAMessageComesBack fails when a field is added to a message
// and left out of the codec.
func TestEveryFieldOfAMessageComesBack(t *testing.T) {
	c := qt.New(t)
	grant := filled[machine.Grant]()
	messages := []machine.Message{
		filled[machine.Renew](),
		grant,
		filled[machine.NotLeader](),
		machine.Propose{ID: 7, Command: replicated.SetDrain{ID: "x", Draining: true, Operator: "me", At: 5}},
		machine.Proposed{ID: 8, Result: replicated.Result{Version: 3}},
		machine.ConsensusMessage{Message: filled[consensus.Message]()},
	}
	for _, m := range messages {
		frame, err := codec.EncodeMessage(m)
		c.Assert(err, qt.IsNil)
		got, err := codec.DecodeMessage(frame)
		c.Assert(err, qt.IsNil)
		// Times travel as ages, so they come back within the time that the test takes.
		diff := cmp.Diff(m, got, cmpopts.EquateApproxTime(time.Minute), cmpopts.EquateEmpty())
		c.Assert(diff, qt.Equals, "", qt.Commentf("%T", m))
	}
}

func TestAHelloMustComeFirst(t *testing.T) {
	c := qt.New(t)
	frame, err := codec.EncodeMessage(machine.NotLeader{})
	c.Assert(err, qt.IsNil)
	_, err = codec.DecodeHello(frame)
	c.Assert(fault.Is(err, fault.Invalid), qt.IsTrue)
	want := codec.Hello{VM: "vm-1", Incarnation: 4, Cluster: "wigs"}
	frame, err = codec.EncodeHello(want)
	c.Assert(err, qt.IsNil)
	got, err := codec.DecodeHello(frame)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, want)
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []machine.Message{
		machine.NotLeader{Leader: "vm-1"},
		machine.Renew{VM: fleet.VM{ID: "vm-1"}},
		machine.Grant{Update: view.FullUpdate(&view.View{Term: 1, Seq: 2})},
	} {
		frame, err := codec.EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := codec.DecodeMessage(frame)
		if err != nil {
			return
		}
		if _, err := codec.EncodeMessage(m); err != nil && !fault.Is(err, fault.TooLarge) {
			t.Fatalf("decoded %T can't be encoded: %v", m, err)
		}
	})
}
