package ledger_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
)

// none is the absence of an error.
var none *fault.Error

func limits() ledger.Limits {
	l := ledger.DefaultLimits()
	l.MaxKeys = 3
	l.MaxAnswerBytes = 8
	l.MaxTotalAnswerBytes = 12
	return l
}

func newLedger(c *qt.C) *ledger.Ledger {
	l, err := ledger.New(limits())
	c.Assert(err, qt.IsNil)
	return l
}

func begin(key, attempt string) ledger.Begin {
	return ledger.Begin{Key: ledger.Key{Caller: "c", ID: key}, Attempt: attempt, Entry: "vm-1", Incarnation: 2}
}

func finish(key, attempt, body string) ledger.Finish {
	f := ledger.Finish{Key: ledger.Key{Caller: "c", ID: key}, Attempt: attempt}
	f.Answer = ledger.Answer{Status: 200, Body: []byte(body)}
	return f
}

func TestTooLargeAnswerRanButIsNotReplayed(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	for i, body := range []string{"too large", "8 bytes!", "8 bytes!"} {
		key := fmt.Sprint(i)
		_, err := l.Begin(begin(key, "a"), 0)
		c.Assert(err, qt.Equals, none)
		_, err = l.Finish(finish(key, "a", body), 0)
		c.Assert(err, qt.Equals, none)
		again, err := l.Begin(begin(key, "b"), 0)
		c.Assert(err, qt.Equals, none)
		if key == "1" {
			c.Assert(again.Kind, qt.Equals, ledger.Recorded)
			continue
		}
		c.Assert(again.Kind, qt.Equals, ledger.Unreplayable)
		c.Assert(again.Err().Kind, qt.Equals, fault.OutcomeUnknown)
		c.Assert(again.Err().Ran, qt.Equals, fault.RanYes)
	}
}

func TestFullLedgerRefusesNewKeysAndKeepsOldOnes(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	for i := range 3 {
		_, err := l.Begin(begin(fmt.Sprint(i), "a"), 0)
		c.Assert(err, qt.Equals, none)
	}
	_, err := l.Begin(begin("new", "a"), 0)
	c.Assert(err.Kind, qt.Equals, fault.Overloaded)
	c.Assert(err.Ran, qt.Equals, fault.RanNo)
	old, err := l.Begin(begin("0", "b"), 0)
	c.Assert(err, qt.Equals, none)
	c.Assert(old.Kind, qt.Equals, ledger.InProgress)
	_, err = l.Finish(finish("0", "a", "done"), 0)
	c.Assert(err, qt.Equals, none)
	day := (limits().KeyRetention + ledger.MaxClockSkew).Milliseconds() + 1
	l.Expire(day)
	c.Assert(l.Len(), qt.Equals, 2, qt.Commentf("open records stay"))
}

func TestRetentionIsInStages(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	const made = int64(0x018000000000)
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
		now := made + step.after.Milliseconds()
		l.Expire(now)
		out, err := l.Begin(b, now)
		c.Assert(err, qt.Equals, none)
		c.Assert(out.Kind, qt.Equals, step.want, qt.Commentf("after %v", step.after))
		if out.Kind == ledger.Started {
			_, err = l.Finish(finish(b.Key.ID, "a", "done"), now)
			c.Assert(err, qt.Equals, none)
		}
	}
	_, err := l.Begin(b, made-ledger.MaxClockSkew.Milliseconds()-1)
	c.Assert(err.Kind, qt.Equals, fault.Invalid)
}

func TestDeadProcessCanNeitherBeginNorFinish(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	_, err := l.Begin(begin("0", "a"), 0)
	c.Assert(err, qt.Equals, none)
	n, err := l.Abandon(ledger.Abandon{Entry: "vm-1", Incarnation: 2}, 0)
	c.Assert(err, qt.Equals, none)
	c.Assert(n, qt.Equals, 1)
	_, err = l.Begin(begin("1", "a"), 0)
	c.Assert(err.Kind, qt.Equals, fault.Fenced)
	out, err := l.Finish(finish("0", "a", "late"), 0)
	c.Assert(err, qt.Equals, none)
	c.Assert(out.Kind, qt.Equals, ledger.Unknown)
	c.Assert(out.Err().Ran, qt.Equals, fault.RanUnknown)
}

func TestFinishOfAnotherAttemptIsRefused(t *testing.T) {
	c := qt.New(t)
	l := newLedger(c)
	_, err := l.Begin(begin("0", "a"), 0)
	c.Assert(err, qt.Equals, none)
	_, err = l.Finish(finish("0", "b", "crossed"), 0)
	c.Assert(err.Kind, qt.Equals, fault.Conflict)
	_, err = l.Cancel(ledger.Cancel{Key: begin("0", "").Key, Attempt: "b"}, 0)
	c.Assert(err, qt.Equals, none)
	out, err := l.Finish(finish("0", "a", "own"), 0)
	c.Assert(err, qt.Equals, none)
	c.Assert(string(out.Answer.Body), qt.Equals, "own")
}

func ExampleLedger_Begin() {
	l, _ := ledger.New(ledger.DefaultLimits())
	key := ledger.Key{Caller: "shop", ID: "order-17"}
	first := ledger.Begin{Key: key, Attempt: "a", Entry: "vm-1", Incarnation: 1}
	out, _ := l.Begin(first, 0)
	fmt.Println(out.Kind == ledger.Started)
	answer := ledger.Answer{Status: 201, Body: []byte("booked")}
	_, _ = l.Finish(ledger.Finish{Key: key, Attempt: "a", Answer: answer}, 0)
	resend := ledger.Begin{Key: key, Attempt: "b", Entry: "vm-2", Incarnation: 1}
	out, _ = l.Begin(resend, 0)
	fmt.Println(out.Kind == ledger.Recorded, string(out.Answer.Body))
	// Output:
	// true
	// true booked
}
