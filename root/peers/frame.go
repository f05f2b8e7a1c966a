package peers

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "peers"

// maxFrameBytes bounds a frame. It must exceed the size of the largest snapshot.
const maxFrameBytes = 257 << 20

// writeFrame writes a frame with its length as a prefix. It makes a single write,
// because each write on a yamux stream is sent as at least one yamux frame of its own.
func writeFrame(w io.Writer, frame []byte) error {
	if len(frame) > maxFrameBytes {
		return fault.New(fault.TooLarge, part, "frame of %d bytes", len(frame))
	}
	out := make([]byte, 0, binary.MaxVarintLen64+len(frame))
	out = binary.AppendUvarint(out, uint64(len(frame)))
	out = append(out, frame...)
	_, err := w.Write(out)
	return err
}

// maxHelloBytes bounds the first frame of a stream, before its sender is known to be a
// process of this cluster.
const maxHelloBytes = 4 << 10

// readFrame reads one frame of at most limit bytes. The buffer of a large frame grows with
// the received data, so that a wrong length prefix alone can't allocate memory.
func readFrame(r *bufio.Reader, limit uint64) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, fault.New(fault.TooLarge, part, "frame of %d bytes", n)
	}
	if n <= uint64(r.Size()) {
		frame := make([]byte, n)
		_, err := io.ReadFull(r, frame)
		return frame, err
	}
	frame, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && uint64(len(frame)) < n {
		err = io.ErrUnexpectedEOF
	}
	return frame, err
}
