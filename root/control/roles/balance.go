package roles

import "github.com/wagtaildyke/wagtaildyke/root/control/fleet"

const (
	// strained is the pressure, in objectives, above which a role wants engines.
	strained = 0.6
	// relaxed is the pressure below which a role can spare one.
	relaxed = 0.5
	// imbalance is the least ratio between the two for a change to pay.
	imbalance = 1.7
	// changingShare is the share of a service's engines that may change at once.
	changingShare = 0.17
	// minWeight is the number of recent requests below which a pressure says nothing.
	minWeight = 4
)

// Pressures are those of the two roles of one service over all entries.
type Pressures struct {
	prefill, decode mean
}

type mean struct{ sum, weight float64 }

func (m mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// Add takes in what one entry reports.
func (p *Pressures) Add(one fleet.Pressure) {
	m := &p.decode
	if one.Role == fleet.Prefill {
		m = &p.prefill
	}
	m.sum += one.Mean * one.Weight
	m.weight += one.Weight
}

// Shift is a change of role of one engine; no engine means no change.
type Shift struct {
	Engine string
	To     fleet.Role
}

// Balance returns the change that moves an engine from the role that keeps its
// objectives with ease to the one that does not. It leaves at least one engine
// in each role.
func Balance(p Pressures, engines []Engine) Shift {
	changing := 0
	for _, e := range engines {
		if e.Changing {
			changing++
		}
	}
	if float64(changing+1) > max(1, changingShare*float64(len(engines))) {
		return Shift{}
	}
	prefill, decode := p.prefill.value(), p.decode.value()
	switch {
	case p.prefill.weight >= minWeight && prefill > strained && decode < relaxed && prefill > imbalance*decode:
		return shift(engines, fleet.Decode, fleet.Prefill)
	case p.decode.weight >= minWeight && decode > strained && prefill < relaxed && decode > imbalance*prefill:
		return shift(engines, fleet.Prefill, fleet.Decode)
	}
	return Shift{}
}

// shift picks the engine with the fewest streams.
func shift(engines []Engine, from, to fleet.Role) Shift {
	best, left := -1, 0
	for i, e := range engines {
		if e.Role != from {
			continue
		}
		left++
		if !e.Changing && (best < 0 || e.Streams < engines[best].Streams) {
			best = i
		}
	}
	if best < 0 || left < 2 {
		return Shift{}
	}
	return Shift{Engine: engines[best].ID, To: to}
}
