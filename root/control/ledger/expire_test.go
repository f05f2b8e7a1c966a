package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReopenedKeyLeavesTheExpiryQueue begins and cancels attempts of one key. Each
// settlement must replace the item of the one before, so that neither memory nor the
// work of Expire grows.
func TestReopenedKeyLeavesTheExpiryQueue(t *testing.T) {
	c := qt.New(t)
	l, err := New(DefaultLimits())
	c.Assert(err, qt.IsNil)
	key := Key{Caller: "c", ID: "k"}
	other := Begin{Key: Key{Caller: "c", ID: "other"}, Attempt: "a", Entry: "vm", Incarnation: 1}
	for i := range 1000 {
		b := Begin{Key: key, Attempt: fmt.Sprint(i), Entry: "vm", Incarnation: 1}
		out, failed := l.Begin(b, int64(i))
		c.Assert(failed == nil && out.Kind == Started, qt.IsTrue)
		_, failed = l.Cancel(Cancel{Key: key, Attempt: b.Attempt}, int64(i))
		c.Assert(failed == nil, qt.IsTrue)
		if i == 500 {
			_, _ = l.Begin(other, int64(i))
			_, _ = l.Finish(Finish{Key: other.Key, Attempt: "a", Response: Response{Status: 200}}, int64(i))
		}
	}
	c.Assert(l.settled, qt.HasLen, 2)
	c.Assert(l.responses, qt.HasLen, 1)
	l.Expire((DefaultLimits().KeyRetention + MaxClockSkew + time.Hour).Milliseconds())
	c.Assert(l.Len(), qt.Equals, 0)
	c.Assert(l.settled, qt.HasLen, 0)
}

// TestRestoredLedgerExpiresAlike restores a ledger between calls of Expire that reach
// their limit. Both must remove the same records and responses.
func TestRestoredLedgerExpiresAlike(t *testing.T) {
	c := qt.New(t)
	l, err := New(DefaultLimits())
	c.Assert(err, qt.IsNil)
	for i := range 1000 {
		key := Key{Caller: "c", ID: fmt.Sprint(i)}
		_, failed := l.Begin(Begin{Key: key, Attempt: "a", Entry: "vm", Incarnation: 1}, int64(i))
		c.Assert(failed == nil, qt.IsTrue)
		_, failed = l.Finish(Finish{Key: key, Attempt: "a", Response: Response{Status: 200, Body: []byte("ok"), Omitted: i%3 == 0}}, int64(i))
		c.Assert(failed == nil, qt.IsTrue)
	}
	now := (DefaultLimits().ResponseRetention + time.Minute).Milliseconds()
	for step := range 8 {
		if step == 3 {
			now = (DefaultLimits().KeyRetention + time.Hour).Milliseconds()
		}
		restored, err := Restore(l.Snapshot())
		c.Assert(err, qt.IsNil)
		before := l.Len()
		l.Expire(now)
		restored.Expire(now)
		c.Assert(before-l.Len() <= maxExpirationsPerCall, qt.IsTrue)
		c.Assert(restored.responseBytes, qt.Equals, l.responseBytes)
		c.Assert(slices.Collect(restored.Snapshot().Records()), qt.DeepEquals, slices.Collect(l.Snapshot().Records()))
	}
	c.Assert(l.Len(), qt.Equals, 0)
	c.Assert(l.responseBytes, qt.Equals, 0)
}
