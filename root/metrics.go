package root

import (
	"fmt"
	"net/http"
	"time"

	vmetrics "github.com/VictoriaMetrics/metrics"

	"github.com/wagtaildyke/wagtaildyke/clock"
)

// metricSet holds the metrics that the metrics listener of a platform deployment
// serves in the Prometheus text format.
type metricSet struct {
	set      *vmetrics.Set
	refusals *refusals
}

func newMetricSet(p *Process) *metricSet {
	m := &metricSet{set: vmetrics.NewSet(), refusals: p.untrusted.refusals}
	for name, value := range p.gauges() {
		m.set.NewGauge(name, value)
	}
	return m
}

// gauges returns the gauges by name. Their functions run at each scrape.
func (p *Process) gauges() map[string]func() float64 {
	out := map[string]func() float64{
		"wagtaildyke_view_term":            func() float64 { return float64(p.viewOrEmpty().Term) },
		"wagtaildyke_view_lease_seconds":   func() float64 { return p.viewOrEmpty().LeaseUntil.Sub(clock.Now()).Seconds() },
		"wagtaildyke_backend_servers":      func() float64 { return float64(len(p.viewOrEmpty().Servers)) },
		"wagtaildyke_routes_version":       p.routesVersion,
		"wagtaildyke_tenants":              p.tenants,
		"wagtaildyke_quarantined_segments": func() float64 { return float64(len(p.viewOrEmpty().Segments.Quarantined)) },
		"wagtaildyke_peer_sessions":        func() float64 { return float64(p.mesh.Stats().Sessions) },
		"wagtaildyke_peer_sent_bytes":      func() float64 { return float64(p.mesh.Stats().SentBytes) },
		"wagtaildyke_control_steps":        func() float64 { return float64(p.loop.Stats().Steps) },
	}
	if p.listeners.Platform.Frontend != nil {
		out["wagtaildyke_log_lines_dropped"] = func() float64 { return float64(p.routed.LogLinesDropped()) }
		out["wagtaildyke_refused_keys_total"] = func() float64 { return float64(p.routed.RefusedKeys()) }
		out["wagtaildyke_in_flight"] = func() float64 { return float64(p.routed.InFlight()) }
		out["wagtaildyke_backend_connections_opened"] = func() float64 { return float64(p.routed.Transport.Stats().Opened) }
	}
	return out
}

func (p *Process) routesVersion() float64 {
	v := p.viewOrEmpty()
	if v.Routes == nil {
		return 0
	}
	return float64(v.Routes.Version)
}

// tenants returns the number of tenants of the routes in force.
func (p *Process) tenants() float64 {
	v := p.viewOrEmpty()
	if v.Routes == nil {
		return 0
	}
	return float64(len(v.Routes.Tenants))
}

// ObserveAttempt implements relay.Observer.
func (m *metricSet) ObserveAttempt(stage, outcome string, timeToFirstOutput time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_attempts_total{stage=%q,outcome=%q}", stage, outcome)).Inc()
	if timeToFirstOutput > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("wagtaildyke_first_sign_seconds{stage=%q}", stage)).Update(timeToFirstOutput.Seconds())
	}
}

// ObserveCheck implements relay.Observer.
func (m *metricSet) ObserveCheck(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_server_checks_total{result=%q}", result)).Inc()
}

// ObserveProbe implements relay.Observer.
func (m *metricSet) ObserveProbe(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_probes_total{result=%q}", result)).Inc()
}

// ObserveSuspectRefusal implements relay.Observer.
func (m *metricSet) ObserveSuspectRefusal() {
	m.set.GetOrCreateCounter("wagtaildyke_suspect_refusals_total").Inc()
}

// ObserveResponse counts a response to a caller by its HTTP status, which is 0 for a
// truncated response.
func (m *metricSet) ObserveResponse(status int, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_answers_total{status=\"%d\"}", status)).Inc()
	if duration > 0 {
		m.set.GetOrCreateHistogram("wagtaildyke_answer_seconds").Update(duration.Seconds())
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *metricSet) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		for kind, total := range m.refusals.totals() {
			m.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_refused_total{kind=%q}", kind)).Set(total)
		}
		m.set.WritePrometheus(w)
	})
}
