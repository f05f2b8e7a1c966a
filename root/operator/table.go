package operator

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Header fields of requests and responses for the class table.
const (
	VersionHeader  = "Wagtaildyke-Table-Version"
	ChangeIDHeader = "Wagtaildyke-Change-Id"
	AuthorHeader   = "Wagtaildyke-Author"
)

// TableChangeResult is the response to an accepted change.
type TableChangeResult struct {
	Version uint64 `json:"version"`
	// InForce is always true, since the response is sent only after the change has
	// taken effect on all VMs.
	InForce bool `json:"in_force"`
}

// getTable responds with the class table of the current view as CSV.
func (s *Server) getTable(w http.ResponseWriter, _ *http.Request) {
	v := s.Views.Load()
	if v == nil || v.Term == 0 {
		s.writeError(w, fault.New(fault.NotReady, part, "this process has no view yet"))
		return
	}
	var buf bytes.Buffer
	if err := table.WriteCSV(&buf, v.Table.Classes); err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/csv")
	w.Header().Set(VersionHeader, strconv.FormatUint(v.Table.Version, 10))
	_, _ = w.Write(buf.Bytes())
}

// putTable replaces the class table with the CSV in the request body. The request
// names the version that it replaces.
func (s *Server) putTable(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		s.writeError(w, fault.New(fault.Invalid, part, "%s must be the version that the change was made from", VersionHeader))
		return
	}
	id := r.Header.Get(ChangeIDHeader)
	if id == "" {
		s.writeError(w, fault.New(fault.Invalid, part, "%s is missing", ChangeIDHeader))
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	defer body.Release()
	classes, err := table.ParseCSV(bytes.NewReader(body.Bytes))
	if err != nil {
		s.writeError(w, err)
		return
	}
	change := table.Change{ID: id, Base: base, Classes: classes, Author: r.Header.Get(AuthorHeader)}
	if !utf8.ValidString(change.ID) || !utf8.ValidString(change.Author) {
		s.writeError(w, fault.New(fault.Invalid, part, "%s or %s is not valid UTF-8", ChangeIDHeader, AuthorHeader))
		return
	}
	if res, ok := s.submit(w, r, replicated.ChangeTable{Change: change}); ok {
		s.Log.Info("changed the class table", "version", res.Version, "author", change.Author)
		writeJSON(w, TableChangeResult{Version: res.Version, InForce: true})
	}
}

// TableRecord describes one accepted change of the class table.
type TableRecord struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Table is the entire table after the change as CSV.
	Table string `json:"table"`
}

// getHistory responds with the accepted changes that the replicated state retains,
// oldest first.
func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	if s.Reader == nil {
		s.writeError(w, fault.New(fault.Unavailable, part,
			"this daemon can't read the history: ask a daemon with a replica").WithRan(fault.RanNo))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	records, err := s.Reader.History(ctx)
	if err != nil {
		s.writeError(w, err)
		return
	}
	out := []TableRecord{}
	for _, rec := range records {
		var csv strings.Builder
		if err := table.WriteCSV(&csv, rec.Classes); err != nil {
			s.writeError(w, err)
			return
		}
		out = append(out, TableRecord{rec.Version, rec.ID, rec.Author, time.UnixMilli(rec.At).UTC(), csv.String()})
	}
	writeJSON(w, out)
}
