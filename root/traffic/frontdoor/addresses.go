package frontdoor

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/addresses"
)

// addressAnswer is the JSON form of the answer to "which address to use".
type addressAnswer struct {
	Addresses       []addressEntry `json:"addresses"`
	LifetimeSeconds int            `json:"lifetime_seconds"`
}

type addressEntry struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	v := h.Views.Load()
	if v == nil || !time.Now().Before(v.LeaseUntil) {
		h.refuse(w, h.NewID(), "", errNoView())
		return
	}
	caller := r.Header.Get(CallerHeader)
	if caller == "" {
		caller = r.RemoteAddr
	}
	out := addressAnswer{Addresses: []addressEntry{}, LifetimeSeconds: int(h.AddressLifetime / time.Second)}
	for _, vm := range addresses.Choose(v.VMs, caller) {
		out.Addresses = append(out.Addresses, addressEntry{Address: vm.Address, FailureDomain: vm.FailureDomain})
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(out.LifetimeSeconds))
	writeJSON(w, out)
}

// modelList is the OpenAI-style list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, _ *http.Request) {
	out := modelList{Object: "list", Data: []modelEntry{}}
	if v := h.Views.Load(); v != nil {
		for _, name := range offered(v.Servers) {
			out.Data = append(out.Data, modelEntry{ID: name, Object: "model", OwnedBy: "fleet"})
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
