package ledger_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
)

// noError is the typed nil that operations return on success.
var noError *fault.Error

func testLimits() ledger.Limits {
	l := ledger.DefaultLimits()
	l.MaxKeys = 3
	l.MaxResponseBytes = 8
	l.MaxTotalResponseBytes = 12
	return l
}

func newLedger(c *qt.C) *ledger.Ledger {
	l, err := ledger.New(testLimits())
	c.Assert(err, qt.IsNil)
	return l
}

func begin(key, attempt string) ledger.Begin {
	return ledger.Begin{Key: ledger.Key{Caller: "c", ID: key}, Attempt: attempt, Entry: "vm-1", Incarnation: 2}
}

func finish(key, attempt, body string) ledger.Finish {
	f := ledger.Finish{Key: ledger.Key{Caller: "c", ID: key}, Attempt: attempt}
	f.Response = ledger.Response{Status: 200, Body: []byte(body)}
	return f
}

// TestResponseOverALimitIsUnreplayable records a response above MaxResponseBytes,
// one that fits, and one that would exceed MaxTotalResponseBytes.
func TestResponseOverALimitIsUnreplayable(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	for i, body := range []string{"too large", "8 bytes!", "8 bytes!"} {
		key := fmt.Sprint(i)
		_, err := l.Begin(begin(key, "a"), 0)
		c.Assert(err, qt.Equals, noError)
		_, err = l.Finish(finish(key, "a", body), 0)
		c.Assert(err, qt.Equals, noError)
		again, err := l.Begin(begin(key, "b"), 0)
		c.Assert(err, qt.Equals, noError)
		// The second response is within both limits.
		if key == "1" {
			c.Assert(again.Kind, qt.Equals, ledger.Recorded)
			continue
		}
		c.Assert(again.Kind, qt.Equals, ledger.Unreplayable)
		c.Assert(again.Err().Kind, qt.Equals, fault.OutcomeUnknown)
		c.Assert(again.Err().Ran, qt.Equals, fault.RanYes)
	}
}

func TestFullLedgerRejectsNewKeys(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	for i := range 3 {
		_, err := l.Begin(begin(fmt.Sprint(i), "a"), 0)
		c.Assert(err, qt.Equals, noError)
	}
	_, err := l.Begin(begin("new", "a"), 0)
	c.Assert(err.Kind, qt.Equals, fault.Overloaded)
	c.Assert(err.Ran, qt.Equals, fault.RanNo)
	old, err := l.Begin(begin("0", "b"), 0)
	c.Assert(err, qt.Equals, noError)
	c.Assert(old.Kind, qt.Equals, ledger.InProgress)
	_, err = l.Finish(finish("0", "a", "done"), 0)
	c.Assert(err, qt.Equals, noError)
	expiry := (testLimits().KeyRetention + ledger.MaxClockSkew).Milliseconds() + 1
	l.Expire(expiry)
	c.Assert(l.Len(), qt.Equals, 2, qt.Commentf("open records never expire"))
}

// TestResponseExpiresBeforeKey verifies that a response expires before its key, and
// that a key whose timestamp is too far ahead of the clock is rejected.
func TestResponseExpiresBeforeKey(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	// The first 48 bits of a UUIDv7 are its timestamp in Unix milliseconds.
	const created = int64(0x018000000000)
	b := begin("01800000-0000-7000-8000-000000000000", "a")
	for _, step := range []struct {
		after time.Duration
		want  ledger.OutcomeKind
	}{
		{0, ledger.Started},
		{time.Hour, ledger.Recorded},
		{time.Hour + time.Millisecond, ledger.Unreplayable},
		{24 * time.Hour, ledger.Unreplayable},
		{24*time.Hour + ledger.MaxClockSkew + time.Millisecond, ledger.KeyExpired},
	} {
		now := created + step.after.Milliseconds()
		l.Expire(now)
		out, err := l.Begin(b, now)
		c.Assert(err, qt.Equals, noError)
		c.Assert(out.Kind, qt.Equals, step.want, qt.Commentf("after %v", step.after))
		if out.Kind == ledger.Started {
			_, err = l.Finish(finish(b.Key.ID, "a", "done"), now)
			c.Assert(err, qt.Equals, noError)
		}
	}
	_, err := l.Begin(b, created-ledger.MaxClockSkew.Milliseconds()-1)
	c.Assert(err.Kind, qt.Equals, fault.Invalid)
}

func TestDeadProcessCanNeitherBeginNorFinish(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	_, err := l.Begin(begin("0", "a"), 0)
	c.Assert(err, qt.Equals, noError)
	n, err := l.Abandon(ledger.Abandon{Entry: "vm-1", Incarnation: 2}, 0)
	c.Assert(err, qt.Equals, noError)
	c.Assert(n, qt.Equals, 1)
	_, err = l.Begin(begin("1", "a"), 0)
	c.Assert(err.Kind, qt.Equals, fault.Fenced)
	out, err := l.Finish(finish("0", "a", "late"), 0)
	c.Assert(err, qt.Equals, noError)
	c.Assert(out.Kind, qt.Equals, ledger.Unknown)
	c.Assert(out.Err().Ran, qt.Equals, fault.RanUnknown)
}

func TestFinishRejectsAnotherAttempt(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	_, err := l.Begin(begin("0", "a"), 0)
	c.Assert(err, qt.Equals, noError)
	_, err = l.Finish(finish("0", "b", "other"), 0)
	c.Assert(err.Kind, qt.Equals, fault.Conflict)
	_, err = l.Cancel(ledger.Cancel{Key: begin("0", "").Key, Attempt: "b"}, 0)
	c.Assert(err, qt.Equals, noError)
	out, err := l.Finish(finish("0", "a", "own"), 0)
	c.Assert(err, qt.Equals, noError)
	c.Assert(string(out.Response.Body), qt.Equals, "own")
}

// TestRepeatedFinishOfAGeneratedKey sends a Finish again whose answer was lost. The
// record is gone, but the closed attempt still says how it ended.
func TestRepeatedFinishOfAGeneratedKey(t *testing.T) {
	c := qt.New(t)
	for _, unknown := range []bool{false, true} {
		l := newLedger(c)
		b := begin("generated", "a")
		b.GeneratedKey = true
		_, err := l.Begin(b, 0)
		c.Assert(err, qt.Equals, noError)
		f := finish("generated", "a", "done")
		f.Unknown = unknown
		_, err = l.Finish(f, 0)
		c.Assert(err, qt.Equals, noError)
		again, err := l.Finish(f, 1)
		c.Assert(err, qt.Equals, noError)
		want := ledger.Unreplayable
		if unknown {
			want = ledger.Unknown
		}
		c.Assert(again.Kind, qt.Equals, want)
	}
}

func ExampleLedger_Begin() {
	l, _ := ledger.New(ledger.DefaultLimits())
	key := ledger.Key{Caller: "shop", ID: "order-17"}
	first := ledger.Begin{Key: key, Attempt: "a", Entry: "vm-1", Incarnation: 1}
	out, _ := l.Begin(first, 0)
	fmt.Println(out.Kind == ledger.Started)
	response := ledger.Response{Status: 201, Body: []byte("booked")}
	_, _ = l.Finish(ledger.Finish{Key: key, Attempt: "a", Response: response}, 0)
	resend := ledger.Begin{Key: key, Attempt: "b", Entry: "vm-2", Incarnation: 1}
	out, _ = l.Begin(resend, 0)
	fmt.Println(out.Kind == ledger.Recorded, string(out.Response.Body))
	// Output:
	// true
	// true booked
}
