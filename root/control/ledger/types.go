package ledger

import (
	"crypto/sha256"
	"encoding/binary"
)

const part = "control/ledger"

// Bounds on the fields of an operation.
const (
	// MaxCallerBytes bounds the caller of a key.
	MaxCallerBytes = 256
	// MaxKeyBytes bounds the idempotency key.
	MaxKeyBytes = 256
	// MaxAttemptBytes bounds the attempt id.
	MaxAttemptBytes = 64
	// MaxEntryBytes bounds the VM id of an entry.
	MaxEntryBytes = 128
	// MaxContentTypeBytes bounds the content type of an answer.
	MaxContentTypeBytes = 256
)

// Key names one piece of work that must not repeat.
type Key struct {
	// Caller is who sent the request.
	Caller string
	// ID is the caller's idempotency key, or the one that the entry made.
	ID string
}

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request. The boundaries between
// parts count.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write(p)
	}
	return Digest(h.Sum(nil))
}

// KeyDigest stands for a Key in the state.
type KeyDigest [16]byte

// Digest returns the digest that stands for the key in the state.
func (k Key) Digest() KeyDigest {
	full := DigestOf([]byte(k.Caller), []byte(k.ID))
	return KeyDigest(full[:len(KeyDigest{})])
}

// Begin asks for the right to send the work of a key to a backend server.
type Begin struct {
	Key Key
	// Attempt is unique to one try of one entry process.
	Attempt string
	// Digest identifies the request; a key may not be used for another one.
	Digest Digest
	// Entry is the VM id of the entry, Incarnation its process lifetime.
	Entry       string
	Incarnation uint64
	// Private is set for a key that the entry made itself. No caller can resend
	// it, so its record is dropped once the attempt has finished.
	Private bool
	// At is Unix milliseconds.
	At int64
}

// Answer is the recorded answer of finished work.
type Answer struct {
	// Status is the HTTP-style status code.
	Status      int
	ContentType string
	Body        []byte
	// Omitted is set when the answer was too large to record.
	Omitted bool
}

// Bounded returns the answer as it is, or marked as omitted when it is larger
// than any ledger keeps.
func (a Answer) Bounded() Answer {
	if len(a.Body) <= DefaultLimits().MaxAnswerBytes && len(a.ContentType) <= MaxContentTypeBytes {
		return a
	}
	return Answer{Status: a.Status, Omitted: true}
}

// Finish records how the work of an attempt ended.
type Finish struct {
	Key     Key
	Attempt string
	Answer  Answer
	// Unknown is set when the request was sent but its outcome can't be known.
	Unknown bool
	// At is Unix milliseconds.
	At int64
}

// Cancel says that an attempt never sent its request and never will.
type Cancel struct {
	Key     Key
	Attempt string
	// At is Unix milliseconds.
	At int64
}

// Abandon says that the entry's process of the given incarnation is dead, and
// every earlier one.
type Abandon struct {
	Entry       string
	Incarnation uint64
	// At is Unix milliseconds.
	At int64
}
