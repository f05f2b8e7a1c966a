package placement

import "time"

const (
	// splitGain is how far the share of short prompts that are read apart moves for
	// each one that is read whole, per objective of difference: at twenty a second
	// it follows a crest within a second or two.
	splitGain = 0.05
	// minSplit keeps both ways measured; maxSplit does so for the whole way.
	minSplit = 0.03
	maxSplit = 0.9
	// timeMemory is the weight of a new time in the averages that are compared.
	timeMemory = 0.1
)

// split divides the short prompts of a service between engines that read apart
// and those that also answer, so that both take about the same time to the first
// sign of an answer.
type split struct {
	share float64
	// whole, read and decode are the average times of the ways and their steps.
	whole, read, decode time.Duration
}

// observe notes the time of one step of a short prompt.
func (p *split) observe(stage Stage, took, objective time.Duration) {
	switch stage {
	case Prefill:
		p.read = fadeIn(p.read, took)
	case Decode:
		p.decode = fadeIn(p.decode, took)
	default:
		p.whole = fadeIn(p.whole, took)
		p.adjust(objective)
	}
}

func fadeIn(mean, v time.Duration) time.Duration {
	if mean == 0 {
		return v
	}
	return mean + time.Duration(timeMemory*float64(v-mean))
}

// adjust moves the share towards the way that is sooner.
func (p *split) adjust(objective time.Duration) {
	if p.read == 0 || p.decode == 0 || objective <= 0 {
		return
	}
	gain := float64(p.whole-p.read-p.decode) / float64(objective)
	p.share += splitGain * max(-1, min(gain, 1))
	p.share = max(minSplit, min(p.share, maxSplit))
}

func (s *State) split(service string) *split {
	p := s.splits[service]
	if p == nil {
		p = &split{share: minSplit}
		s.splits[service] = p
	}
	return p
}

// isShort reports whether the work has a prompt that is read where the answer is
// made unless that takes longer.
func (w *Work) isShort() bool { return w.PromptTokens > 0 && w.PromptTokens < SharedTokens }
