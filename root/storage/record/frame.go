// Package record implements the binary encoding of log segments and snapshots:
// checksummed frames, and the consensus types in their payloads. Integers are either
// little-endian with a fixed size or unsigned varints. A decoder checks every length
// against the remaining input before it uses it.
package record

import (
	"encoding/binary"
	"hash/crc32"
)

// Kind is the type of a frame's payload. Zero is not a valid kind, so that a run of zero
// bytes is never a valid frame.
type Kind uint8

// The kinds of frame.
const (
	// SegmentHeader opens a log segment.
	SegmentHeader Kind = iota + 1
	// HardState contains a term and a vote.
	HardState
	// Truncate removes the entries after a position.
	Truncate
	// Entry contains one log entry.
	Entry
	// Snapshot contains a complete snapshot.
	Snapshot
	kindLimit
)

// Frame is a checksummed record.
type Frame struct {
	Kind Kind
	// Last is set on the last frame of a batch.
	Last bool
	// Batch is the number of the batch that the frame belongs to. The frames of a
	// batch are synced together.
	Batch   uint64
	Payload []byte
}

// HeaderBytes is the size of a frame header: payload length, checksum, kind, flags,
// batch.
const HeaderBytes = 4 + 4 + 1 + 1 + 8

// MaxPayloadBytes is the maximum size of a payload.
const MaxPayloadBytes = 1 << 30

const (
	checksumOffset = 4
	bodyOffset     = 8
	flagLast       = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the encoding of a frame to b. The payload must not exceed
// MaxPayloadBytes.
func Append(b []byte, f Frame) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = append(b, 0, 0, 0, 0, byte(f.Kind), flags(f))
	b = binary.LittleEndian.AppendUint64(b, f.Batch)
	b = append(b, f.Payload...)
	binary.LittleEndian.PutUint32(b[start+checksumOffset:], checksum(b[start:]))
	return b
}

func flags(f Frame) byte {
	if f.Last {
		return flagLast
	}
	return 0
}

// checksum returns the CRC-32C of a frame, computed over every byte but the checksum
// itself.
func checksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:checksumOffset])
	return crc32.Update(sum, castagnoli, frame[bodyOffset:])
}

// Parse decodes the frame at the start of b and returns it with its size. It reports
// false if b does not start with a complete frame with a valid checksum. The payload
// aliases b.
func Parse(b []byte) (Frame, int, bool) {
	if len(b) < HeaderBytes {
		return Frame{}, 0, false
	}
	length := binary.LittleEndian.Uint32(b)
	kind, flag := Kind(b[bodyOffset]), b[bodyOffset+1]
	if length > MaxPayloadBytes || int(length) > len(b)-HeaderBytes {
		return Frame{}, 0, false
	}
	if kind == 0 || kind >= kindLimit || flag&^flagLast != 0 {
		return Frame{}, 0, false
	}
	size := HeaderBytes + int(length)
	if checksum(b[:size]) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return Frame{}, 0, false
	}
	batch := binary.LittleEndian.Uint64(b[bodyOffset+2:])
	return Frame{Kind: kind, Last: flag == flagLast, Batch: batch, Payload: b[HeaderBytes:size:size]}, size, true
}
