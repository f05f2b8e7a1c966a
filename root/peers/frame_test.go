package peers

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadFrame reads arbitrary bytes as frames. A frame never exceeds the limit or the
// bytes received, and what writeFrame writes is read back.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{}, uint64(10))
	f.Add([]byte{3, 'a', 'b', 'c', 1, 'd'}, uint64(10))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, uint64(maxFrameBytes))
	f.Add(bytes.Repeat([]byte{0x80}, 20), uint64(maxFrameBytes))
	f.Fuzz(func(t *testing.T, data []byte, limit uint64) {
		limit = min(limit, maxFrameBytes)
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			frame, err := readFrame(r, limit)
			if err != nil {
				return
			}
			if uint64(len(frame)) > limit || len(frame) > len(data) {
				t.Fatalf("frame of %d bytes, limit %d, %d bytes received", len(frame), limit, len(data))
			}
			var out bytes.Buffer
			if err := writeFrame(&out, frame); err != nil {
				t.Fatal(err)
			}
			again, err := readFrame(bufio.NewReader(&out), limit)
			if err != nil || !bytes.Equal(again, frame) {
				t.Fatalf("frame changed: %v", err)
			}
		}
	})
}
