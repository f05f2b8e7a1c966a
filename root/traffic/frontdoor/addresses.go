package frontdoor

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/addresses"
)

// addressList is the JSON list of VM addresses that a caller should use.
type addressList struct {
	Addresses       []addressEntry `json:"addresses"`
	LifetimeSeconds int            `json:"lifetime_seconds"`
}

type addressEntry struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// addresses returns the addresses for a caller, which may cache them. Unlike
// View.Ready it refuses an expired lease even if the view has LeaseOptional set, and
// accepts a process that is stopping.
//
// A caller that sends no CallerHeader is identified by address and port, so its list
// can change with each connection.
func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	v := h.Views.Load()
	if v == nil || !clock.Now().Before(v.LeaseUntil) {
		h.writeError(w, h.NewID(), "", errNotReady())
		return
	}
	caller := r.Header.Get(CallerHeader)
	if caller == "" {
		caller = r.RemoteAddr
	}
	list := addressList{Addresses: []addressEntry{}, LifetimeSeconds: int(h.AddressLifetime / time.Second)}
	for _, vm := range addresses.Choose(v.VMs, caller) {
		list.Addresses = append(list.Addresses, addressEntry{Address: vm.Address, FailureDomain: vm.FailureDomain})
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(list.LifetimeSeconds))
	writeJSON(w, list)
}

// modelList is the response to OpenAI's request for the list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models of the current view, also after its lease has expired.
func (h *Handler) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	if v := h.Views.Load(); v != nil {
		for _, name := range availableModels(v.Servers) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "fleet"})
		}
	}
	writeJSON(w, list)
}

// writeJSON sends v with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// sortedUnique sorts names in place and removes duplicates.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
