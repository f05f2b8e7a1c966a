package ledger

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

func (k Key) check() *fault.Error {
	if k.Caller == "" || len(k.Caller) > MaxCallerBytes {
		return fault.New(fault.Invalid, part, "a caller must have 1 to %d bytes", MaxCallerBytes)
	}
	if k.ID == "" || len(k.ID) > MaxKeyBytes {
		return fault.New(fault.Invalid, part, "an idempotency key must have 1 to %d bytes", MaxKeyBytes)
	}
	return nil
}

func checkAttempt(k Key, attempt string) *fault.Error {
	if attempt == "" || len(attempt) > MaxAttemptBytes {
		return fault.New(fault.Invalid, part, "an attempt id must have 1 to %d bytes", MaxAttemptBytes)
	}
	return k.check()
}

func checkEntry(entry string, incarnation uint64) *fault.Error {
	if entry == "" || len(entry) > MaxEntryBytes {
		return fault.New(fault.Invalid, part, "the VM id of an entry must have 1 to %d bytes", MaxEntryBytes)
	}
	if incarnation == 0 {
		return fault.New(fault.Invalid, part, "an incarnation must be above 0")
	}
	return nil
}

func (b Begin) check(now int64) *fault.Error {
	if err := checkAttempt(b.Key, b.Attempt); err != nil {
		return err
	}
	if created, ok := uuidv7Time(b.Key.ID); ok && created > now+MaxClockSkew.Milliseconds() {
		return fault.New(fault.Invalid, part, "the timestamp of the UUIDv7 idempotency key is more than %v ahead of the current time", MaxClockSkew)
	}
	return checkEntry(b.Entry, b.Incarnation)
}

func (f Finish) check() *fault.Error { return checkAttempt(f.Key, f.Attempt) }

func (c Cancel) check() *fault.Error { return checkAttempt(c.Key, c.Attempt) }

func (a Abandon) check() *fault.Error { return checkEntry(a.Entry, a.Incarnation) }
