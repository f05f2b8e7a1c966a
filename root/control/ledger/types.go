package ledger

import (
	"crypto/sha256"
	"encoding/binary"
)

const part = "control/ledger"

// Limits on request fields.
const (
	// MaxCallerBytes limits the caller of a key.
	MaxCallerBytes = 256
	// MaxKeyBytes limits the idempotency key.
	MaxKeyBytes = 256
	// MaxAttemptBytes limits the attempt id.
	MaxAttemptBytes = 64
	// MaxEntryBytes limits the VM id of an entry.
	MaxEntryBytes = 128
	// MaxContentTypeBytes limits the content type of a response.
	MaxContentTypeBytes = 256
)

// Key is an idempotency key, scoped to a caller.
type Key struct {
	// Caller identifies the sender of the request.
	Caller string
	// ID is the caller's idempotency key, or one that the entry generated.
	ID string
}

// Digest is a SHA-256 hash that DigestOf calculates.
type Digest [sha256.Size]byte

// DigestOf hashes a sequence of byte strings. Each one is prefixed by its length,
// so that moving a boundary between them changes the digest.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write(p)
	}
	return Digest(h.Sum(nil))
}

// KeyDigest is the truncated hash by which the ledger stores a Key.
type KeyDigest [16]byte

// Digest returns the hash by which the ledger stores the key.
func (k Key) Digest() KeyDigest {
	full := DigestOf([]byte(k.Caller), []byte(k.ID))
	return KeyDigest(full[:len(KeyDigest{})])
}

// Begin requests permission to send the request of a key to a backend server.
type Begin struct {
	Key Key
	// Attempt is the unique id of this attempt.
	Attempt string
	// RequestDigest is the digest of the request's content. Reusing the key with
	// another one is an error.
	RequestDigest Digest
	// Entry is the id of the VM that accepted the caller's request, and Incarnation
	// identifies its process.
	Entry       string
	Incarnation uint64
	// GeneratedKey is set if the entry generated the key. No caller can resend
	// it, so the record is removed once the attempt is settled.
	GeneratedKey bool
	// At is the time of the command in Unix milliseconds. The ledger uses the time
	// passed to the operation instead.
	At int64
}

// Response is the response to a finished request.
type Response struct {
	// Status is the HTTP status code.
	Status      int
	ContentType string
	Body        []byte
	// Omitted is set if the response was too large to record.
	Omitted bool
}

// Bounded returns the response unchanged, or without its body and marked as
// omitted if the body exceeds DefaultLimits().MaxResponseBytes or the content type
// MaxContentTypeBytes. The ledger applies its own limits as well.
func (r Response) Bounded() Response {
	if len(r.Body) <= DefaultLimits().MaxResponseBytes && len(r.ContentType) <= MaxContentTypeBytes {
		return r
	}
	return Response{Status: r.Status, Omitted: true}
}

// Finish reports the response or unknown outcome of an attempt.
type Finish struct {
	Key      Key
	Attempt  string
	Response Response
	// Unknown is set if the request was sent, but its outcome can't be
	// determined.
	Unknown bool
	// At is the time of the command in Unix milliseconds. The ledger uses the time
	// passed to the operation instead.
	At int64
}

// Cancel reports that an attempt never sent its request and won't.
type Cancel struct {
	Key     Key
	Attempt string
	// At is the time of the command in Unix milliseconds. The ledger uses the time
	// passed to the operation instead.
	At int64
}

// Abandon reports that the entry's process of the given incarnation is dead, as
// well as every earlier one.
type Abandon struct {
	Entry       string
	Incarnation uint64
	// At is the time of the command in Unix milliseconds. The ledger uses the time
	// passed to the operation instead.
	At int64
}
