package codec_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

var (
	key     = ledger.Key{Caller: "c", ID: "k"}
	holder  = authority.Holder{VM: "vm-1", Incarnation: 3}
	class   = table.Class{Name: "a", Weight: 1, Priority: 2, Concurrency: 3, RatePerSecond: 4.5, Queue: 5, Tokens: 6, Deadline: 7e6, Targets: []string{"m"}, Idempotent: true}
	answer  = ledger.Response{Status: 200, ContentType: "text/\xff", Body: []byte("b")}
	action  = authority.Action{Kind: authority.ChangeRole, Role: fleet.Decode}
	loading = authority.Action{Kind: authority.LoadVersion, Model: "m", Version: "v"}
)

// commands has one of each type, with every field set, in an order that fills
// every part of a state.
var commands = []replicated.Command{
	replicated.ChangeTable{Change: table.Change{ID: "i", Classes: []table.Class{class}, Author: "a", At: 1}},
	replicated.ChangeTable{Change: table.Change{ID: "j", Base: 9, Classes: []table.Class{class}, Author: "a", At: 1}},
	replicated.BeginWork{Begin: ledger.Begin{Key: key, Attempt: "a", RequestDigest: ledger.Digest{1}, Entry: "vm-1", Incarnation: 3, At: 2}},
	replicated.FinishWork{Finish: ledger.Finish{Key: key, Attempt: "a", Response: answer, At: 3}},
	replicated.BeginWork{Begin: ledger.Begin{Key: key, Attempt: "p", Entry: "vm-1", Incarnation: 3, GeneratedKey: true, At: 2}},
	replicated.FinishWork{Finish: ledger.Finish{Key: key, Attempt: "p", Unknown: true, At: 3}},
	replicated.CancelWork{Cancel: ledger.Cancel{Key: key, Attempt: "c", At: 4}},
	replicated.AbandonWork{Abandon: ledger.Abandon{Entry: "vm-2", Incarnation: 1, At: 5}},
	replicated.AcquireAuthority{Acquire: authority.Acquire{Server: "e", Holder: holder, Running: []authority.Holder{holder}, At: 6}},
	replicated.RecordOrder{RecordOrder: authority.RecordOrder{Server: "e", Holder: holder, After: 1, Action: action, Proposals: []authority.Proposal{{VM: "vm-3", ID: 4}}, At: 7}},
	replicated.SettleOrder{SettleOrder: authority.SettleOrder{Server: "e", Holder: holder, Fence: 2, Outcome: authority.Failed, Observed: "o", Proposals: []authority.Proposal{{VM: "vm-4", ID: 5}}, At: 8}},
	replicated.RecordOrder{RecordOrder: authority.RecordOrder{Server: "e", Holder: holder, After: 2, Action: loading, At: 7}},
	replicated.ReleaseAuthority{Release: authority.Release{Server: "f", Holder: holder, At: 9}},
	replicated.ConfirmDead{ConfirmDead: authority.ConfirmDead{Server: "f", VM: "vm-2", Incarnation: 1, Operator: "o", Statement: "s", At: 10}},
	replicated.SetDrain{ID: "e", Draining: true, Operator: "o", At: 11},
	replicated.SetFencing{Server: "e", Checks: true, Operator: "o", At: 12},
	replicated.Tick{At: 13},
	replicated.QuarantineSegments{Segments: []quarantine.Segment{7, 1 << 63}, At: 14},
	replicated.ReleaseSegments{Segments: []quarantine.Segment{7, 1 << 63}, At: 15},
}

func TestCommandsResultsAndSnapshotsComeBackEqual(t *testing.T) {
	c := qt.New(t)
	state := replicated.New()
	for i, command := range commands {
		data, err := codec.EncodeCommand(command)
		c.Assert(err, qt.IsNil)
		back, err := codec.DecodeCommand(data)
		c.Assert(err, qt.IsNil)
		c.Assert(back, qt.DeepEquals, command)

		result := state.Apply(uint64(i+1), back)
		encoded, err := codec.EncodeResult(result)
		c.Assert(err, qt.IsNil)
		decoded, err := codec.DecodeResult(encoded)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded.Work, qt.DeepEquals, result.Work)
		c.Assert(decoded.Authority, qt.DeepEquals, result.Authority)
		c.Assert(decoded.Version, qt.Equals, result.Version)
		c.Assert(decoded.Err == nil, qt.Equals, result.Err == nil)
		if result.Err != nil {
			c.Assert(decoded.Err.Kind, qt.Equals, result.Err.Kind)
			c.Assert(decoded.Err.Ran, qt.Equals, result.Err.Ran)
			c.Assert(decoded.Err.Error(), qt.Equals, result.Err.Error())
		}
	}
	first := snapshotOf(c, state)
	c.Assert(snapshotOf(c, restored(c, first)), qt.DeepEquals, first)
	c.Assert(state.Drains(), qt.HasLen, 1)
	c.Assert(state.Fencing()["e"], qt.IsTrue)
}

func snapshotOf(c *qt.C, s *replicated.State) []byte {
	data, err := codec.EncodeSnapshot(s.Snapshot())
	c.Assert(err, qt.IsNil)
	return data
}

func restored(c *qt.C, data []byte) *replicated.State {
	snap, err := codec.DecodeSnapshot(data)
	c.Assert(err, qt.IsNil)
	s, err := replicated.Restore(snap)
	c.Assert(err, qt.IsNil)
	return s
}

func TestDamagedInputIsCorrupt(t *testing.T) {
	c := qt.New(t)
	for name, data := range map[string][]byte{
		"empty":              {},
		"unknown command":    {0xfa, 0x07, 0x00},
		"unknown field":      {0x6a, 0x03, 0x98, 0x06, 0x01},
		"torn":               {0x6a, 0x05, 0x08},
		"digest of 1 byte":   {0x12, 0x03, 0x1a, 0x01, 0x00},
		"role out of range":  {0x4a, 0x05, 0x22, 0x03, 0x28, 0x80, 0x02},
		"larger than bounds": make([]byte, codec.MaxCommandBytes+1),
	} {
		_, err := codec.DecodeCommand(data)
		c.Check(fault.KindOf(err), qt.Equals, fault.Corrupt, qt.Commentf(name))
	}
	_, err := codec.DecodeResult([]byte{0x0a, 0x03, 0x0a, 0x01, 'x'})
	c.Check(fault.KindOf(err), qt.Equals, fault.Corrupt)
}

func TestLargeAnswerDoesNotKeepAFinishOutOfTheLog(t *testing.T) {
	c := qt.New(t)
	large := ledger.Response{Status: 200, Body: make([]byte, 2*codec.MaxCommandBytes)}
	data, err := codec.EncodeCommand(replicated.FinishWork{Finish: ledger.Finish{Key: key, Attempt: "a", Response: large}})
	c.Assert(err, qt.IsNil)
	back, err := codec.DecodeCommand(data)
	c.Assert(err, qt.IsNil)
	c.Assert(back.(replicated.FinishWork).Response, qt.DeepEquals, ledger.Response{Status: 200, Omitted: true})
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range commands {
		data, _ := codec.EncodeCommand(command)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		command, err := codec.DecodeCommand(data)
		if err != nil {
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
			return
		}
		again, err := codec.EncodeCommand(command)
		c.Assert(err, qt.IsNil)
		state := replicated.New()
		result := state.Apply(1, command)
		_, err = codec.EncodeResult(result)
		c.Assert(err, qt.IsNil)
		_, err = codec.DecodeCommand(again)
		c.Assert(err, qt.IsNil)
		restored(c, snapshotOf(c, state))
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	state := replicated.New()
	for i, command := range commands {
		data, _ := codec.EncodeSnapshot(state.Snapshot())
		f.Add(data)
		state.Apply(uint64(i+1), command)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		snap, err := codec.DecodeSnapshot(data)
		if err == nil {
			var s *replicated.State
			if s, err = replicated.Restore(snap); err == nil {
				s.Apply(snap.Index+1, replicated.Tick{At: snap.Now + 1<<40})
				snapshotOf(c, s)
				return
			}
		}
		c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
	})
}
