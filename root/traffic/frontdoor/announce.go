package frontdoor

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// renewAfter is how soon a backend server should announce itself again.
const renewAfter = time.Second

// Bounds on an announcement.
const (
	maxAnnouncementBytes = 64 << 10
	maxTargets           = 64
	maxSlots             = 4096
)

// Announcement is the JSON form of a backend server's announcement.
type Announcement struct {
	ID            string           `json:"id"`
	Incarnation   uint64           `json:"incarnation"`
	Address       string           `json:"address"`
	FailureDomain string           `json:"failure_domain"`
	Kind          string           `json:"kind"`
	Role          string           `json:"role,omitempty"`
	Models        []string         `json:"models,omitempty"`
	Services      []string         `json:"services,omitempty"`
	Slots         int              `json:"slots"`
	CacheTokens   int              `json:"cache_tokens,omitempty"`
	State         string           `json:"state"`
	Load          AnnouncementLoad `json:"load"`
}

// AnnouncementLoad is the load report within an announcement.
type AnnouncementLoad struct {
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	CacheUsed float64 `json:"cache_used"`
}

// announcementAnswer tells a backend server when to announce itself again.
type announcementAnswer struct {
	RenewAfterMS int64 `json:"renew_after_ms"`
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	id := h.NewID()
	if !h.Views.Load().Ready(time.Now()) {
		// Without a lease the news may reach no other entry; the server is to ask the next one.
		h.refuse(w, id, "", errNoView())
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	body, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, id, "", err)
		return
	}
	var a Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		h.refuse(w, id, "", fault.New(fault.Invalid, part, "the body is not an announcement: %v", err))
		return
	}
	server, err := a.server()
	if err != nil {
		h.refuse(w, id, "", err)
		return
	}
	h.Announce(r.Context(), server)
	writeJSON(w, announcementAnswer{RenewAfterMS: renewAfter.Milliseconds()})
}

func (a Announcement) server() (fleet.Server, error) {
	if err := a.check(); err != nil {
		return fleet.Server{}, err
	}
	kind := fleet.Engine
	targets := a.Models
	if a.Kind == "service" {
		kind = fleet.Service
		targets = a.Services
	}
	role, ok := roles[a.Role]
	if !ok {
		return fleet.Server{}, fault.New(fault.Invalid, part, "role %q is not mixed, prefill or decode", a.Role)
	}
	state, ok := states[a.State]
	if !ok {
		return fleet.Server{}, fault.New(fault.Invalid, part, "state %q is not active or leaving", a.State)
	}
	return fleet.Server{
		ID:            a.ID,
		Incarnation:   a.Incarnation,
		Address:       a.Address,
		FailureDomain: a.FailureDomain,
		Kind:          kind,
		Role:          role,
		Targets:       targets,
		Slots:         a.Slots,
		CacheTokens:   a.CacheTokens,
		State:         state,
		Load: fleet.Load{
			Running: a.Load.Running, Waiting: a.Load.Waiting, CacheUsed: a.Load.CacheUsed, ReportedAt: time.Now(),
		},
	}, nil
}

var roles = map[string]fleet.Role{"": fleet.Mixed, "mixed": fleet.Mixed, "prefill": fleet.Prefill, "decode": fleet.Decode}

var states = map[string]fleet.State{"": fleet.Active, "active": fleet.Active, "leaving": fleet.Leaving}

func (a Announcement) check() error {
	u, err := url.Parse(a.Address)
	switch {
	case a.ID == "" || len(a.ID) > 128:
		return fault.New(fault.Invalid, part, "id must have 1 to 128 bytes")
	case a.Incarnation == 0:
		return fault.New(fault.Invalid, part, "incarnation must be more than 0 and grow with each start")
	case err != nil || u.Scheme != "http" || u.Host == "":
		return fault.New(fault.Invalid, part, "address must be a URL such as http://10.0.0.1:8000")
	case a.Kind != "engine" && a.Kind != "service":
		return fault.New(fault.Invalid, part, "kind must be engine or service")
	case a.Slots < 1 || a.Slots > maxSlots:
		return fault.New(fault.Invalid, part, "slots must be 1 to %d", maxSlots)
	case len(a.Models)+len(a.Services) == 0 || len(a.Models)+len(a.Services) > maxTargets:
		return fault.New(fault.Invalid, part, "1 to %d models or services must be named", maxTargets)
	default:
		return nil
	}
}

// offered returns the names of all models that engines offer.
func offered(servers []fleet.Server) []string {
	var out []string
	for _, s := range servers {
		if s.Kind == fleet.Engine && s.State == fleet.Active {
			out = append(out, s.Targets...)
		}
	}
	return sortedUnique(out)
}
