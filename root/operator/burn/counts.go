package burn

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are the outcomes of one span of time.
type Counts struct {
	// Within and Late count whole answers within and after the class's deadline.
	Within uint64 `json:"within"`
	Late   uint64 `json:"late"`
	// Refused counts refusals and cut answers by the name of their kind.
	Refused map[string]uint64 `json:"refused,omitempty"`
	// RoleChanges counts changes of role over the whole fleet.
	RoleChanges uint64 `json:"role_changes,omitempty"`
	// Whole, Queue, FirstToken and Rest hold times from arrival to the whole
	// answer, from arrival to a place, from arrival to the first token, and from
	// there to the whole answer.
	Whole      Buckets `json:"whole,omitempty"`
	Queue      Buckets `json:"queue,omitempty"`
	FirstToken Buckets `json:"first_token,omitempty"`
	Rest       Buckets `json:"rest,omitempty"`
}

// Merge adds the outcomes of another span or process.
func (c *Counts) Merge(o *Counts) {
	c.Within += o.Within
	c.Late += o.Late
	c.RoleChanges += o.RoleChanges
	for kind, n := range o.Refused {
		c.addRefused(kind, n)
	}
	c.Whole = c.Whole.merge(o.Whole)
	c.Queue = c.Queue.merge(o.Queue)
	c.FirstToken = c.FirstToken.merge(o.FirstToken)
	c.Rest = c.Rest.merge(o.Rest)
}

func (c *Counts) addRefused(kind string, n uint64) {
	if c.Refused == nil {
		c.Refused = map[string]uint64{}
	}
	c.Refused[kind] += n
}

// Bucket is one bucket of a histogram.
type Bucket struct {
	Index uint16 `json:"i"`
	Count uint32 `json:"n"`
}

// Buckets are the buckets of a histogram that are not empty, by index.
type Buckets []Bucket

// merge returns the sum of two histograms and changes neither. The result takes
// no more memory than it needs.
func (b Buckets) merge(o Buckets) Buckets {
	if len(o) == 0 {
		return b
	}
	return slices.Clone(b.sum(o))
}

func (b Buckets) sum(o Buckets) Buckets {
	out := make(Buckets, 0, len(b)+len(o))
	for len(b) > 0 && len(o) > 0 {
		switch {
		case b[0].Index < o[0].Index:
			out, b = append(out, b[0]), b[1:]
		case b[0].Index > o[0].Index:
			out, o = append(out, o[0]), o[1:]
		default:
			out = append(out, Bucket{b[0].Index, b[0].Count + o[0].Count})
			b, o = b[1:], o[1:]
		}
	}
	return append(append(out, b...), o...)
}

// The geometry of all histograms.
const (
	// unitMicros is the unit of a histogram in microseconds.
	unitMicros = 100
	// maxUnits is 24 hours, the longest deadline of a class.
	maxUnits = 24 * 3600 * 1_000_000 / unitMicros
	// significantFigures keeps a value to within a sixteenth. Deadlines are
	// judged exactly, before a time goes into a histogram.
	significantFigures = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxUnits, significantFigures)
}

// bucketsOf returns the buckets of h that are not empty.
func bucketsOf(h *hdrhistogram.Histogram) Buckets {
	if h == nil {
		return nil
	}
	var out Buckets
	for i, n := range h.Export().Counts {
		if n > 0 {
			out = append(out, Bucket{Index: uint16(i), Count: uint32(n)})
		}
	}
	return out
}

// histogram returns the histogram with these buckets. Buckets that the geometry
// lacks are left out.
func (b Buckets) histogram() *hdrhistogram.Histogram {
	s := newHistogram().Export()
	for _, bucket := range b {
		if int(bucket.Index) < len(s.Counts) {
			s.Counts[bucket.Index] = int64(bucket.Count)
		}
	}
	return hdrhistogram.Import(s)
}
