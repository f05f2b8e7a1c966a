package root

import (
	"fmt"
	"net/http"
	"time"

	text "github.com/VictoriaMetrics/metrics"
)

// counters are served as text on the metrics address of the platform's front.
type counters struct{ set *text.Set }

func newCounters(p *Process) *counters {
	c := &counters{set: text.NewSet()}
	for name, read := range p.gauges() {
		c.set.NewGauge(name, read)
	}
	return c
}

// gauges are read when the counters are.
func (p *Process) gauges() map[string]func() float64 {
	out := map[string]func() float64{
		"wagtaildyke_view_term":          func() float64 { return float64(p.viewOrNone().Term) },
		"wagtaildyke_view_lease_seconds": func() float64 { return time.Until(p.viewOrNone().LeaseUntil).Seconds() },
		"wagtaildyke_backend_servers":    func() float64 { return float64(len(p.viewOrNone().Servers)) },
		"wagtaildyke_routes_version":     p.routesVersion,
		"wagtaildyke_peer_sessions":      func() float64 { return float64(p.mesh.Stats().Sessions) },
		"wagtaildyke_peer_sent_bytes":    func() float64 { return float64(p.mesh.Stats().SentBytes) },
		"wagtaildyke_control_steps":      func() float64 { return float64(p.loop.Stats().Steps) },
	}
	if p.listeners.Platform.Frontend != nil {
		out["wagtaildyke_log_lines_dropped"] = func() float64 { return float64(p.routed.LogLinesDropped()) }
		out["wagtaildyke_in_flight"] = func() float64 { return float64(p.routed.InFlight()) }
		out["wagtaildyke_backend_connections_opened"] = func() float64 { return float64(p.routed.Transport.Stats().Opened) }
	}
	return out
}

func (p *Process) routesVersion() float64 {
	v := p.viewOrNone()
	if v.Routes == nil {
		return 0
	}
	return float64(v.Routes.Version)
}

// ObserveAttempt implements relay.Observer.
func (c *counters) ObserveAttempt(stage, outcome string, first time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_attempts_total{stage=%q,outcome=%q}", stage, outcome)).Inc()
	if first > 0 {
		c.set.GetOrCreateHistogram(fmt.Sprintf("wagtaildyke_first_sign_seconds{stage=%q}", stage)).Update(first.Seconds())
	}
}

// Answered counts an answer to a caller by its status; 0 stands for a cut one.
func (c *counters) Answered(status int, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("wagtaildyke_answers_total{status=\"%d\"}", status)).Inc()
	if took > 0 {
		c.set.GetOrCreateHistogram("wagtaildyke_answer_seconds").Update(took.Seconds())
	}
}

// Handler serves the counters as text.
func (c *counters) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		c.set.WritePrometheus(w)
	})
}
