package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
)

// Timing of announcements.
const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// Announce tells entries about the server until ctx ends.
func (s *Server) Announce(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Leave announces that the server stops and waits for its work to end or ctx.
func (s *Server) Leave(ctx context.Context) {
	s.leaving.Store(true)
	s.announceOnce(ctx)
	t := time.NewTicker(announceInterval / 10)
	defer t.Stop()
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < announceInterval {
		if s.running.Load()+s.waiting.Load() > 0 {
			quiet = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// announceOnce tries entries in order until one takes the announcement.
func (s *Server) announceOnce(ctx context.Context) {
	// A struct of plain fields always encodes.
	body, _ := json.Marshal(s.announcement())
	for _, entry := range s.Entries {
		if s.post(ctx, entry, body) {
			return
		}
	}
	s.Log.V(1).Info("no entry took the announcement")
}

func (s *Server) post(ctx context.Context, entry string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/backend-servers", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	// The answer is read so that the connection can be used again.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (s *Server) announcement() frontdoor.Announcement {
	kind := "service"
	if len(s.Models) > 0 {
		kind = "engine"
	}
	state := "active"
	if s.leaving.Load() {
		state = "leaving"
	}
	s.mu.Lock()
	role := s.roleLocked()
	s.mu.Unlock()
	return frontdoor.Announcement{
		ID:            s.ID,
		Incarnation:   s.incarnation,
		Address:       s.Address,
		FailureDomain: s.FailureDomain,
		Kind:          kind,
		Role:          role,
		Models:        s.Models,
		Services:      s.Services,
		Slots:         s.Slots,
		State:         state,
		Load: frontdoor.AnnouncementLoad{
			Running: int(s.running.Load()), Waiting: int(s.waiting.Load()),
		},
	}
}
