package codec

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// maxPlainRoutes bounds the decoded size of one document: its source and its
// typed form.
const maxPlainRoutes = 4 * routes.MaxDocumentBytes

// packed remembers the encoded form of the documents used last: a document goes
// to every entry in the same form.
var packed = packedCache{}

// packedCache holds the newest two encodings, with and without a source.
type packedCache struct {
	mu      sync.Mutex
	entries [2]packedEntry
	next    int
}

type packedEntry struct {
	document *routes.Document
	data     []byte
}

func (c *packedCache) get(d *routes.Document) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.document == d {
			return e.data
		}
	}
	return nil
}

func (c *packedCache) put(d *routes.Document, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[c.next] = packedEntry{d, data}
	c.next = (c.next + 1) % len(c.entries)
}

// fromRoutes returns the compressed document; nil for nil.
func fromRoutes(d *routes.Document) ([]byte, error) {
	if d == nil {
		return nil, nil
	}
	if data := packed.get(d); data != nil {
		return data, nil
	}
	plain, err := marshal(fromPlainRoutes(d), maxPlainRoutes)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	packed.put(d, buf.Bytes())
	return buf.Bytes(), nil
}

// toRoutes returns the document of compressed bytes; nil for none.
func toRoutes(data []byte) (*routes.Document, error) {
	if len(data) == 0 {
		return nil, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxPlainRoutes+1))
	if err != nil {
		return nil, corrupt("compressed routes: %v", err)
	}
	m := new(api.LogRoutes)
	if err := unmarshal(plain, m, maxPlainRoutes); err != nil {
		return nil, err
	}
	return toPlainRoutes(m)
}
