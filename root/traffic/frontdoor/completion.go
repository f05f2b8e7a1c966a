package frontdoor

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Parameters of the token and prefix estimates for admission and scheduling.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 256
	// prefixBlockBytes is the size of the text in one block of the prefix cache.
	prefixBlockBytes = 2000 * bytesPerToken
	maxPrefixBlocks  = 64
)

// completionRequest holds the fields of a completion request that are read here.
// The body is forwarded unchanged.
type completionRequest struct {
	Model               string
	Stream              bool
	Messages            json.RawMessage
	Prompt              json.RawMessage
	MaxTokens           int
	MaxCompletionTokens int
}

// maxRequestedTokens bounds the number of output tokens that a caller may request.
const maxRequestedTokens = 1 << 22

// parseCompletion decodes and validates a request. Field names are case-sensitive,
// unlike in encoding/json's decoding of structs: backend servers compare them
// exactly, and both have to read the same fields.
func parseCompletion(body []byte) (completionRequest, error) {
	var c completionRequest
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, fault.New(fault.Invalid, part, "decode completion request: %v", err)
	}
	destinations := map[string]any{
		"model": &c.Model, "stream": &c.Stream, "messages": &c.Messages, "prompt": &c.Prompt,
		"max_tokens": &c.MaxTokens, "max_completion_tokens": &c.MaxCompletionTokens,
	}
	for name, destination := range destinations {
		raw, ok := fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, destination); err != nil {
			return c, fault.New(fault.Invalid, part, "%s is invalid: %v", name, err)
		}
	}
	return c, c.validate()
}

func (c completionRequest) validate() error {
	switch {
	case c.Model == "":
		return fault.New(fault.Invalid, part, "model is missing")
	case c.MaxTokens < 0 || c.MaxCompletionTokens < 0:
		return fault.New(fault.Invalid, part, "max_completion_tokens or max_tokens is negative")
	case c.MaxTokens > maxRequestedTokens || c.MaxCompletionTokens > maxRequestedTokens:
		return fault.New(fault.Invalid, part, "max_completion_tokens or max_tokens is greater than %d", maxRequestedTokens)
	default:
		return nil
	}
}

// rawPrompt returns messages, or else prompt, as raw JSON. Messages that are null
// count as present.
func (c completionRequest) rawPrompt() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

// promptTokens estimates the number of tokens in the prompt.
func (c completionRequest) promptTokens() int {
	return 1 + len(c.rawPrompt())/bytesPerToken
}

// maxOutputTokens returns the requested limit on output tokens, or a default.
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

// prefixHashes returns one hash for each complete block of the prompt, up to
// maxPrefixBlocks. Each hash covers the text from the start through its block.
func (c completionRequest) prefixHashes() []uint64 {
	prompt := c.rawPrompt()
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.New()
	for i := range blocks {
		// Writes to a hash never return an error.
		_, _ = hash.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, hash.Sum64())
	}
	return hashes
}
