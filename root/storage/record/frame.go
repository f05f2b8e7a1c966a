// Package record is the binary form of what storage writes: checked frames and
// the fields of consensus types inside them. Integers are little-endian or
// unsigned varints; all lengths are bounded by the bytes at hand.
package record

import (
	"encoding/binary"
	"hash/crc32"
)

// Kind says what a frame carries. Zero is no kind, so that a run of zero bytes
// is never a frame.
type Kind uint8

// The kinds of frame.
const (
	// Start opens a log segment.
	Start Kind = iota + 1
	// HardState carries a term and a vote.
	HardState
	// Truncate drops the log after a position.
	Truncate
	// Entry carries one log entry.
	Entry
	// Snapshot carries a whole snapshot.
	Snapshot
	kindEnd
)

// Frame is one checked record.
type Frame struct {
	Kind Kind
	// Last is set on the last frame of a batch.
	Last bool
	// Batch numbers the batches that were synced together.
	Batch   uint64
	Payload []byte
}

// HeaderBytes is the size of a frame without its payload: length, checksum,
// kind, flags and batch.
const HeaderBytes = 4 + 4 + 1 + 1 + 8

// MaxPayloadBytes bounds a payload.
const MaxPayloadBytes = 1 << 30

const (
	checksumAt = 4
	bodyAt     = 8
	flagLast   = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append adds a frame to b. The payload must be at most MaxPayloadBytes long.
func Append(b []byte, f Frame) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = append(b, 0, 0, 0, 0, byte(f.Kind), flags(f))
	b = binary.LittleEndian.AppendUint64(b, f.Batch)
	b = append(b, f.Payload...)
	binary.LittleEndian.PutUint32(b[start+checksumAt:], checksum(b[start:]))
	return b
}

func flags(f Frame) byte {
	if f.Last {
		return flagLast
	}
	return 0
}

// checksum covers the length and all that follows the checksum.
func checksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:checksumAt])
	return crc32.Update(sum, castagnoli, frame[bodyAt:])
}

// Parse reads the frame at the start of b and returns its size. It reports
// false when the bytes are not a whole, intact frame. The payload aliases b.
func Parse(b []byte) (Frame, int, bool) {
	if len(b) < HeaderBytes {
		return Frame{}, 0, false
	}
	length := binary.LittleEndian.Uint32(b)
	kind, flag := Kind(b[bodyAt]), b[bodyAt+1]
	if length > MaxPayloadBytes || int(length) > len(b)-HeaderBytes {
		return Frame{}, 0, false
	}
	if kind == 0 || kind >= kindEnd || flag&^flagLast != 0 {
		return Frame{}, 0, false
	}
	size := HeaderBytes + int(length)
	if checksum(b[:size]) != binary.LittleEndian.Uint32(b[checksumAt:]) {
		return Frame{}, 0, false
	}
	batch := binary.LittleEndian.Uint64(b[bodyAt+2:])
	return Frame{Kind: kind, Last: flag == flagLast, Batch: batch, Payload: b[HeaderBytes:size:size]}, size, true
}
