package burn

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts holds the request outcomes and durations of one time interval.
type Counts struct {
	// Within and Late count the complete responses within and after the deadline
	// of the class.
	Within uint64 `json:"within"`
	Late   uint64 `json:"late"`
	// Refused counts the requests that ended with an error, including aborted
	// responses, by the name of the error kind.
	Refused map[string]uint64 `json:"refused,omitempty"`
	// RoleChanges counts the role changes of all backend servers of the fleet.
	RoleChanges uint64 `json:"role_changes,omitempty"`
	// Total holds the durations from the arrival of a request to its complete
	// response, Queue to its assignment to a backend server, and FirstToken to the
	// first token. AfterFirstToken covers the first token to the complete response.
	Total           Buckets `json:"whole,omitempty"`
	Queue           Buckets `json:"queue,omitempty"`
	FirstToken      Buckets `json:"first_token,omitempty"`
	AfterFirstToken Buckets `json:"rest,omitempty"`
}

// Merge adds the counts of another interval or process. It does not change o.
func (c *Counts) Merge(o *Counts) {
	c.Within += o.Within
	c.Late += o.Late
	c.RoleChanges += o.RoleChanges
	for kind, n := range o.Refused {
		c.addRefused(kind, n)
	}
	c.Total = c.Total.merge(o.Total)
	c.Queue = c.Queue.merge(o.Queue)
	c.FirstToken = c.FirstToken.merge(o.FirstToken)
	c.AfterFirstToken = c.AfterFirstToken.merge(o.AfterFirstToken)
}

func (c *Counts) addRefused(kind string, n uint64) {
	if c.Refused == nil {
		c.Refused = map[string]uint64{}
	}
	c.Refused[kind] += n
}

// Bucket is the index of a histogram bucket and the number of values in it.
type Bucket struct {
	Index uint16 `json:"i"`
	Count uint32 `json:"n"`
}

// Buckets holds the nonempty buckets of a histogram in ascending order of index.
type Buckets []Bucket

// merge returns the sum of two histograms and changes neither. The result may
// share memory with b; a newly allocated one has no spare capacity.
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

// The resolution and range of all histograms.
const (
	// unitMicros is the unit of a histogram value in microseconds.
	unitMicros = 100
	// maxUnits is 24 hours, the longest deadline that a class may have.
	maxUnits = 24 * 3600 * 1_000_000 / unitMicros
	// significantDigits limits the error of a value to 1/16. Whether a deadline was
	// met is decided on the exact duration, before it is rounded to a bucket.
	significantDigits = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxUnits, significantDigits)
}

// exportBuckets returns the nonempty buckets of h, which may be nil.
func exportBuckets(h *hdrhistogram.Histogram) Buckets {
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

// histogram returns the histogram with these buckets. It ignores buckets whose
// index is out of range, such as those of a process with another resolution.
func (b Buckets) histogram() *hdrhistogram.Histogram {
	s := newHistogram().Export()
	for _, bucket := range b {
		if int(bucket.Index) < len(s.Counts) {
			s.Counts[bucket.Index] = int64(bucket.Count)
		}
	}
	return hdrhistogram.Import(s)
}
