package placement

import "time"

const (
	// splitGain is the change of the share, at each observed whole request, if the two
	// paths differ in latency by one Request.Objective. At 20 whole requests a second,
	// the share follows a load peak within one or two seconds.
	splitGain = 0.05
	// minShare and maxShare bound the share so that both paths stay measured.
	minShare = 0.03
	maxShare = 0.9
	// splitSmoothing is the weight of a new sample in the averages that are compared.
	splitSmoothing = 0.1
)

// split divides the short prompts of a service between disaggregated prefill and
// whole requests such that both take about the same time to the first output.
type split struct {
	// share is the share of short prompts with disaggregated prefill.
	share float64
	// whole is the average time to the first output of whole requests; prefill and
	// decode are those of the two steps of disaggregated requests.
	whole, prefill, decode time.Duration
}

// observe records the time to the first output of one step of a short prompt.
func (p *split) observe(stage Stage, elapsed, objective time.Duration) {
	switch stage {
	case Prefill:
		p.prefill = movingAverage(p.prefill, elapsed)
	case Decode:
		p.decode = movingAverage(p.decode, elapsed)
	default:
		p.whole = movingAverage(p.whole, elapsed)
		p.adjust(objective)
	}
}

func movingAverage(mean, v time.Duration) time.Duration {
	if mean == 0 {
		return v
	}
	return mean + time.Duration(splitSmoothing*float64(v-mean))
}

// adjust moves the share towards the faster path, in proportion to the difference
// in latency up to one latency objective.
func (p *split) adjust(objective time.Duration) {
	if p.prefill == 0 || p.decode == 0 || objective <= 0 {
		return
	}
	difference := float64(p.whole-p.prefill-p.decode) / float64(objective)
	p.share += splitGain * max(-1, min(difference, 1))
	p.share = max(minShare, min(p.share, maxShare))
}

func (s *State) split(service string) *split {
	p := s.splits[service]
	if p == nil {
		p = &split{share: minShare}
		s.splits[service] = p
	}
	return p
}

// isShort reports whether the request has a prompt below LongPromptTokens.
func (req *Request) isShort() bool {
	return req.PromptTokens > 0 && req.PromptTokens < LongPromptTokens
}
