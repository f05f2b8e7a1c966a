package codec

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// maxPlainRoutes bounds the decoded size of one document: its source and its
// typed form.
const maxPlainRoutes = 4 * routes.MaxDocumentBytes

// packedRoutes remembers the documents encoded or decoded last: the one in force
// and one that is proposed, each with its source, for the log and for readers, and
// without, for views.
var packedRoutes = newEncodings[routes.Document](4)

// packedDeltas remembers the deltas encoded last: followers at several views hold
// one of a few versions.
var packedDeltas = newEncodings[routes.Delta](4)

// fromRoutes returns the compressed document; nil for nil.
func fromRoutes(d *routes.Document) ([]byte, error) {
	if d == nil {
		return nil, nil
	}
	return packedRoutes.of(d, func() ([]byte, error) { return pack(fromPlainRoutes(d)) })
}

// toRoutes returns the document of compressed bytes; nil for none.
func toRoutes(data []byte) (*routes.Document, error) {
	if len(data) == 0 {
		return nil, nil
	}
	return packedRoutes.from(data, func() (*routes.Document, error) {
		m := new(api.LogRoutes)
		if err := unpack(data, m); err != nil {
			return nil, err
		}
		return toPlainRoutes(m)
	})
}

// fromRoutesDelta returns the compressed delta; nil for nil.
func fromRoutesDelta(d *routes.Delta) ([]byte, error) {
	if d == nil {
		return nil, nil
	}
	return packedDeltas.of(d, func() ([]byte, error) { return pack(fromPlainDelta(d)) })
}

// toRoutesDelta returns the delta of compressed bytes; nil for none.
func toRoutesDelta(data []byte) (*routes.Delta, error) {
	if len(data) == 0 {
		return nil, nil
	}
	m := new(api.RoutesDelta)
	if err := unpack(data, m); err != nil {
		return nil, err
	}
	return toPlainDelta(m)
}

func pack(m proto.Message) ([]byte, error) {
	plain, err := marshal(m, maxPlainRoutes)
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
	return buf.Bytes(), nil
}

func unpack(data []byte, m proto.Message) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxPlainRoutes+1))
	if err != nil {
		return corrupt("compressed routes: %v", err)
	}
	return unmarshal(plain, m, maxPlainRoutes)
}
