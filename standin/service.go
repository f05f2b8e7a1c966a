package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// callAnswer is the answer of a plain service.
type callAnswer struct {
	Service   string `json:"service"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	// Number counts the calls that ran on this server.
	Number int    `json:"number"`
	Body   string `json:"body"`
}

// serveCall runs one call of a plain service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	f := s.currentFaults()
	if f.Refuse {
		w.Header().Set("Wagtaildyke-Ran", "no")
		http.Error(w, `{"error":{"message":"refused"}}`, http.StatusServiceUnavailable)
		return
	}
	if err := s.enter(r.Context()); err != nil {
		return
	}
	defer s.leave()
	i := s.record(JournalEntry{
		RequestID: r.Header.Get(requestIDHeader), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Path: r.URL.Path, BodyBytes: len(body), Ended: "whole",
	})
	if s.pause(r.Context(), s.TokenInterval+time.Duration(f.HoldMillis)*time.Millisecond) != nil {
		return
	}
	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(requestIDHeader, s.answerID(r))
	writeJSON(w, callAnswer{
		Service: s.Services[0], Path: r.URL.Path, RequestID: r.Header.Get(requestIDHeader),
		Number: i + 1, Body: string(body),
	})
}

func (s *Server) serveJournal(w http.ResponseWriter, _ *http.Request) {
	entries := s.Journal()
	if entries == nil {
		entries = []JournalEntry{}
	}
	writeJSON(w, entries)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}
