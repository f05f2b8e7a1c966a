package frontdoor

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// renewInterval is the interval at which a backend server should repeat its
// announcement.
const renewInterval = time.Second

// Limits on an announcement.
const (
	maxAnnouncementBytes = 64 << 10
	maxTargets           = 64
	maxSlots             = 4096
)

// Announcement is the JSON body by which a backend server registers itself and
// reports its load.
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

// AnnouncementLoad is the current load of a backend server.
type AnnouncementLoad struct {
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	CacheUsed float64 `json:"cache_used"`
}

// announcementResponse tells a backend server when to repeat its announcement.
type announcementResponse struct {
	RenewAfterMS int64 `json:"renew_after_ms"`
}

// announce handles the announcement of a backend server.
func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	id := h.NewID()
	if !h.Views.Load().Ready(clock.Now()) {
		// Without a valid view the announcement might not reach the other VMs. It is
		// refused, so that the server sends it to another VM.
		h.writeError(w, id, "", errNotReady())
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, id, "", err)
		return
	}
	defer body.Release()
	var a Announcement
	if err := json.Unmarshal(body.Bytes, &a); err != nil {
		h.writeError(w, id, "", fault.New(fault.Invalid, part, "decode announcement: %v", err))
		return
	}
	server, err := a.toServer()
	if err != nil {
		h.writeError(w, id, "", err)
		return
	}
	if err := h.Announce(r.Context(), server); err != nil {
		h.writeError(w, id, "", err)
		return
	}
	writeJSON(w, announcementResponse{RenewAfterMS: renewInterval.Milliseconds()})
}

// toServer validates the announcement and converts it.
func (a Announcement) toServer() (fleet.Server, error) {
	if err := a.validate(); err != nil {
		return fleet.Server{}, err
	}
	kind := fleet.Engine
	if a.Kind == "service" {
		kind = fleet.PlainServer
	}
	role, ok := roles[a.Role]
	if !ok {
		return fleet.Server{}, fault.New(fault.Invalid, part, "role %q must be mixed, prefill or decode", a.Role)
	}
	state, ok := states[a.State]
	if !ok {
		return fleet.Server{}, fault.New(fault.Invalid, part, "state %q must be active or leaving", a.State)
	}
	server := fleet.Server{
		ID:            a.ID,
		Incarnation:   a.Incarnation,
		Address:       a.Address,
		FailureDomain: a.FailureDomain,
		Kind:          kind,
		Role:          role,
		Targets:       a.targets(),
		Slots:         a.Slots,
		CacheTokens:   a.CacheTokens,
		State:         state,
		Load: fleet.Load{
			Running: a.Load.Running, Waiting: a.Load.Waiting, CacheUsed: a.Load.CacheUsed, AnnouncedAt: time.Now(),
		},
	}
	return server, server.Validate()
}

// roles maps the names in announcements; an omitted role is mixed.
var roles = map[string]fleet.Role{"": fleet.Mixed, "mixed": fleet.Mixed, "prefill": fleet.Prefill, "decode": fleet.Decode}

// states maps the names in announcements; an omitted state is active.
var states = map[string]fleet.State{"": fleet.Active, "active": fleet.Active, "leaving": fleet.Leaving}

// validate checks the announcement except for role and state, which toServer looks
// up.
func (a Announcement) validate() error {
	u, err := url.Parse(a.Address)
	switch {
	case a.Incarnation == 0:
		return fault.New(fault.Invalid, part, "incarnation must be greater than 0 and increase with each start")
	case err != nil || u.Scheme != "http" || u.Host == "":
		return fault.New(fault.Invalid, part, "address must be a URL such as http://10.0.0.1:8000")
	case a.Kind != "engine" && a.Kind != "service":
		return fault.New(fault.Invalid, part, "kind must be engine or service")
	case a.Slots < 1 || a.Slots > maxSlots:
		return fault.New(fault.Invalid, part, "slots must be between 1 and %d", maxSlots)
	case a.Kind == "engine" && len(a.Services) > 0:
		return fault.New(fault.Invalid, part, "an engine lists models, not services")
	case a.Kind == "service" && len(a.Models) > 0:
		return fault.New(fault.Invalid, part, "a service lists services, not models")
	case len(a.targets()) == 0 || len(a.targets()) > maxTargets:
		return fault.New(fault.Invalid, part, "between 1 and %d models or services are required", maxTargets)
	default:
		return nil
	}
}

// targets returns the models of an engine or the services of a service.
func (a Announcement) targets() []string {
	if a.Kind == "service" {
		return a.Services
	}
	return a.Models
}

// availableModels returns the sorted names of the models that active engines
// serve.
func availableModels(servers []fleet.Server) []string {
	var models []string
	for _, s := range servers {
		if s.Kind == fleet.Engine && s.State == fleet.Active {
			models = append(models, s.Targets...)
		}
	}
	return sortedUnique(models)
}
