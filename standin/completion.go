package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const requestIDHeader = "X-Request-Id"

// completionRequest is the part of a request that a stand-in reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

const (
	defaultTokens = 16
	bytesPerToken = 4
	maxBodyBytes  = 32 << 20
)

func (c completionRequest) tokens() int {
	return max(c.MaxCompletionTokens, c.MaxTokens, 0)
}

func (c completionRequest) text() string { return string(c.Messages) + string(c.Prompt) }

// Token returns the i-th token, from 1, of the answer to a prompt. It is the
// same on every stand-in, so that a stream may go on elsewhere.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	// Write of a hash never fails.
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("w%04x ", h.Sum32()&0xffff)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	if s.currentFaults().Refuse {
		w.Header().Set("Wagtaildyke-Ran", "no")
		http.Error(w, `{"error":{"message":"refused"}}`, http.StatusServiceUnavailable)
		return
	}
	if err := s.enter(r.Context()); err != nil {
		return
	}
	defer s.leave()
	run := &completionRun{s: s, w: w, r: r, c: c, id: s.answerID(r), total: c.tokens(), orders: s.ordersDone()}
	if run.total == 0 {
		run.total = defaultTokens
	}
	run.serve()
}

// answerID is the id to put on an answer.
func (s *Server) answerID(r *http.Request) string {
	id := r.Header.Get(requestIDHeader)
	if s.currentFaults().CrossAnswers {
		return id + "-other"
	}
	return id
}

// completionRun is one completion being generated.
type completionRun struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	c       completionRequest
	id      string
	total   int
	journal int
	sent    int
	// orders is the number of orders that had taken effect at the start.
	orders int
}

func (run *completionRun) serve() {
	resumed := resumeAfter(run.r)
	run.journal = run.s.record(JournalEntry{
		RequestID: run.r.Header.Get(requestIDHeader), Path: run.r.URL.Path,
		BodyBytes: len(run.c.text()), Ended: "cut", Resumed: resumed,
	})
	prefill := time.Duration(len(run.c.text())/bytesPerToken) * time.Second / time.Duration(run.s.PrefillRate)
	if run.s.pause(run.r.Context(), prefill) != nil {
		run.s.ended(run.journal, "cancelled")
		return
	}
	run.w.Header().Set(requestIDHeader, run.id)
	if run.c.Stream {
		run.stream(resumed)
		return
	}
	run.whole()
}

func (run *completionRun) whole() {
	var text strings.Builder
	for i := 1; i <= run.total; i++ {
		if run.s.pause(run.r.Context(), run.s.TokenInterval) != nil {
			run.s.ended(run.journal, "cancelled")
			return
		}
		run.endIfOrdered()
		text.WriteString(Token(run.c.text(), i))
	}
	run.s.ended(run.journal, "whole")
	writeJSON(run.w, run.answer(text.String()))
}

// stream sends one event per token, one that says why it stopped, and the last.
func (run *completionRun) stream(resumed int) {
	run.w.Header().Set("Content-Type", "text/event-stream")
	run.w.WriteHeader(http.StatusOK)
	for i := resumed + 1; i <= run.total; i++ {
		if run.s.pause(run.r.Context(), run.s.TokenInterval) != nil {
			run.s.ended(run.journal, "cancelled")
			return
		}
		if !run.event(i, run.chunk(Token(run.c.text(), i), "")) {
			run.s.ended(run.journal, "cancelled")
			return
		}
	}
	if resumed <= run.total && !run.event(run.total+1, run.chunk("", "stop")) {
		run.s.ended(run.journal, "cancelled")
		return
	}
	run.event(run.total+2, []byte("[DONE]"))
	run.s.ended(run.journal, "whole")
}

// event sends one numbered event and reports whether the stream goes on.
func (run *completionRun) event(n int, data []byte) bool {
	f := run.s.currentFaults()
	if f.CutAfterEvents > 0 && run.sent >= f.CutAfterEvents {
		panic(http.ErrAbortHandler)
	}
	run.endIfOrdered()
	times := 1
	if f.RepeatEvents {
		times = 2
	}
	for range times {
		fmt.Fprintf(run.w, "id: %s/%d\ndata: %s\n\n", run.id, n, data)
	}
	run.sent++
	return http.NewResponseController(run.w).Flush() == nil
}

// endIfOrdered cuts the answer when an order has taken effect since it began, as
// a real engine's work ends with its old model or role.
func (run *completionRun) endIfOrdered() {
	if run.s.ordersDone() != run.orders {
		panic(http.ErrAbortHandler)
	}
}

func resumeAfter(r *http.Request) int {
	id := r.Header.Get("Last-Event-ID")
	n, err := strconv.Atoi(id[strings.LastIndexByte(id, '/')+1:])
	if err != nil {
		return 0
	}
	return n
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// created is fixed so that an answer is the same on every stand-in.
const created = 1767225600

func (run *completionRun) answer(text string) completionAnswer {
	stop := "stop"
	prompt := len(run.c.text()) / bytesPerToken
	a := completionAnswer{ID: "cmpl-" + run.id, Object: "chat.completion", Created: created, Model: run.c.Model}
	choice := completionChoice{FinishReason: &stop}
	if run.isChat() {
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		a.Object = "text_completion"
		choice.Text = text
	}
	a.Choices = []completionChoice{choice}
	a.Usage = &completionUsage{prompt, run.total, prompt + run.total}
	return a
}

func (run *completionRun) chunk(text, finish string) []byte {
	a := completionAnswer{ID: "cmpl-" + run.id, Object: "chat.completion.chunk", Created: created, Model: run.c.Model}
	choice := completionChoice{}
	if finish != "" {
		choice.FinishReason = &finish
	}
	if run.isChat() {
		choice.Delta = &completionMessage{Content: text}
	} else {
		a.Object = "text_completion"
		choice.Text = text
	}
	a.Choices = []completionChoice{choice}
	// A struct of plain fields always encodes.
	data, _ := json.Marshal(a)
	return data
}

func (run *completionRun) isChat() bool {
	return strings.HasSuffix(run.r.URL.Path, "/chat/completions")
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
