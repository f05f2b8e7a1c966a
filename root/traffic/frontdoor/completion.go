package frontdoor

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Estimates for admission and scheduling.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 256
	// prefixBlockBytes is the text of one block of the prefix cache.
	prefixBlockBytes = 2000 * bytesPerToken
	maxPrefixBlocks  = 64
)

// completionRequest holds the fields that the system reads. The body itself is
// passed on unchanged.
type completionRequest struct {
	Model               string
	Stream              bool
	Messages            json.RawMessage
	Prompt              json.RawMessage
	MaxTokens           int
	MaxCompletionTokens int
}

// maxTokens bounds the output that a request may ask for.
const maxTokens = 1 << 22

// parseCompletion reads a request. Field names count exactly, as they do for
// backend servers, so that both read the same fields.
func parseCompletion(body []byte) (completionRequest, error) {
	var c completionRequest
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, fault.New(fault.Invalid, part, "the body is not a completion request: %v", err)
	}
	targets := map[string]any{
		"model": &c.Model, "stream": &c.Stream, "messages": &c.Messages, "prompt": &c.Prompt,
		"max_tokens": &c.MaxTokens, "max_completion_tokens": &c.MaxCompletionTokens,
	}
	for name, target := range targets {
		raw, ok := fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target); err != nil {
			return c, fault.New(fault.Invalid, part, "%s is wrong: %v", name, err)
		}
	}
	return c, c.check()
}

func (c completionRequest) check() error {
	switch {
	case c.Model == "":
		return fault.New(fault.Invalid, part, "model is missing")
	case c.MaxTokens < 0 || c.MaxCompletionTokens < 0:
		return fault.New(fault.Invalid, part, "max_tokens is negative")
	case c.MaxTokens > maxTokens || c.MaxCompletionTokens > maxTokens:
		return fault.New(fault.Invalid, part, "max_tokens is more than %d", maxTokens)
	default:
		return nil
	}
}

func (c completionRequest) text() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

func (c completionRequest) promptTokens() int {
	return 1 + len(c.text())/bytesPerToken
}

func (c completionRequest) maxOutputTokens() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	default:
		return defaultOutputTokens
	}
}

// prefixHashes returns one hash per whole block of the prompt; each covers all
// the text before it too.
func (c completionRequest) prefixHashes() []uint64 {
	text := c.text()
	blocks := min(len(text)/prefixBlockBytes, maxPrefixBlocks)
	out := make([]uint64, 0, blocks)
	hash := xxhash.New()
	for i := range blocks {
		// Write of a hash never fails.
		_, _ = hash.Write(text[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		out = append(out, hash.Sum64())
	}
	return out
}
