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
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

func parseCompletion(body []byte) (completionRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, fault.New(fault.Invalid, part, "the body is not a completion request: %v", err)
	}
	if c.Model == "" {
		return c, fault.New(fault.Invalid, part, "model is missing")
	}
	if c.MaxTokens < 0 || c.MaxCompletionTokens < 0 {
		return c, fault.New(fault.Invalid, part, "max_tokens is negative")
	}
	return c, nil
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
