// Package settings reads and checks the settings file of one VM: JSON with
// comments. An error names file, line and field.
package settings

import (
	"net"
	"strconv"
	"time"
)

// Settings are the settings of one VM.
type Settings struct {
	// Cluster is the name shared by all VMs of one deployment.
	Cluster string `json:"cluster"`
	// VM is the stable name of this VM; it must be one of Members.
	VM      string   `json:"vm"`
	Members []Member `json:"members"`
	// FailureDomain is that of this VM where Discovery stands in for Members.
	FailureDomain string     `json:"failure_domain"`
	Discovery     *Discovery `json:"discovery"`
	// Platform chooses the platform's front in place of Entry.
	Platform *Platform `json:"platform"`
	Peers    Peers     `json:"peers"`
	Entry    *Entry    `json:"entry"`
	Replica  *Replica  `json:"replica"`
	Operator Operator  `json:"operator"`
	Limits   Limits    `json:"limits"`
	Stop     Stop      `json:"stop"`
	Log      Log       `json:"log"`
}

// Member is one VM of the system.
type Member struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	// Address is host:port for the system's own sessions.
	Address string `json:"address"`
	// Replica says that the VM has a disk and holds the replicated log.
	Replica bool `json:"replica"`
	// Operator is host:port of the VM's operator listener, for reports over all
	// members; it may be empty.
	Operator string `json:"operator"`
}

// Discovery finds the other VMs where no list of members is known. VMs are
// named by their IP addresses.
type Discovery struct {
	// Seeds are VMs that run a replica, as host:port; the port is not used.
	Seeds []string `json:"seeds"`
	// PeersPort is the port of peers.listen on every VM.
	PeersPort int `json:"peers_port"`
	// Bootstrap is true only when the whole system starts for the first time:
	// the seeds then found the cluster.
	Bootstrap bool `json:"bootstrap"`
}

// PeerAddress returns the address for sessions with a VM.
func (d *Discovery) PeerAddress(vm string) string {
	return net.JoinHostPort(vm, strconv.Itoa(d.PeersPort))
}

// Platform sets the front of the users' platform. An empty address is a part
// that this VM does not serve.
type Platform struct {
	// Frontend is where callers' requests arrive.
	Frontend string `json:"frontend"`
	// Readiness answers whether this VM takes callers.
	Readiness string `json:"readiness"`
	// ControlPlane takes announcements of backend servers and the operator's routes.
	ControlPlane string `json:"control_plane"`
	// Directory tells callers which entries to use.
	Directory string `json:"directory"`
	// Metrics serves counters and histograms as text.
	Metrics string `json:"metrics"`
	// AddressLifetimeMillis is how long callers may keep an answer of the directory.
	AddressLifetimeMillis int `json:"address_lifetime_ms"`
	// HeartbeatMillis is the time between announcements of a backend server.
	HeartbeatMillis int `json:"heartbeat_ms"`
	// GracePeriodSeconds is the time from SIGTERM to SIGKILL.
	GracePeriodSeconds float64 `json:"grace_period_seconds"`
	// In each window a service gets at most RetryRatio further transmissions for
	// each request and RetryExtra besides, over the whole fleet.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryExtra         int     `json:"retry_extra"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
}

// Peers sets the sessions between the system's own processes.
type Peers struct {
	Listen string `json:"listen"`
	// AllowPlaintext must be true to run without TLS.
	AllowPlaintext bool `json:"allow_plaintext"`
	TLS            *TLS `json:"tls"`
}

// TLS names the files for mutual TLS. They are read again when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Entry sets the listener for callers and announcements.
type Entry struct {
	Listen string `json:"listen"`
	// Address is the base URL given to callers; empty means http:// and the listener's address.
	Address string `json:"address"`
	// AddressLifetimeSeconds is how long callers may keep an address answer.
	AddressLifetimeSeconds int `json:"address_lifetime_seconds"`
}

// Replica sets the replicated log.
type Replica struct {
	// DataFolder holds the log and snapshots.
	DataFolder string `json:"data_folder"`
	// CompactEveryEntries is the number of applied entries between snapshots.
	CompactEveryEntries int `json:"compact_every_entries"`
}

// Operator sets the listener for operators.
type Operator struct {
	Listen string `json:"listen"`
	// TokenFile holds the bearer token; without it only loopback may listen.
	TokenFile string `json:"token_file"`
}

// Limits bound what one entry takes from callers.
type Limits struct {
	MaxBodyBytes        int64 `json:"max_body_bytes"`
	MaxHeaderBytes      int   `json:"max_header_bytes"`
	HeaderTimeoutMillis int   `json:"header_timeout_ms"`
	BodyTimeoutMillis   int   `json:"body_timeout_ms"`
	IdleTimeoutMillis   int   `json:"idle_timeout_ms"`
	// WriteTimeoutMillis bounds one write to a caller that reads slowly.
	WriteTimeoutMillis int `json:"write_timeout_ms"`
}

// Stop bounds the graceful stop.
type Stop struct {
	// DrainLimitSeconds is how long streams may run on; then they are cut and said so.
	DrainLimitSeconds int `json:"drain_limit_seconds"`
}

// Log sets the log.
type Log struct {
	// Format is text or json.
	Format string `json:"format"`
	// Level is info or debug.
	Level string `json:"level"`
}

// Defaults returns the settings that a file starts from.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:        8 << 20,
			MaxHeaderBytes:      32 << 10,
			HeaderTimeoutMillis: 5_000,
			BodyTimeoutMillis:   30_000,
			IdleTimeoutMillis:   60_000,
			WriteTimeoutMillis:  20_000,
		},
		Stop: Stop{DrainLimitSeconds: 600},
		Log:  Log{Format: "text", Level: "info"},
	}
}

// Defaults of optional sections.
const (
	defaultAddressLifetimeSeconds = 5
	// defaultAddressLifetimeMillis is short, since some callers keep an answer
	// three times as long while a stopping VM still has to serve them.
	defaultAddressLifetimeMillis = 1000
	defaultCompactEveryEntries   = 20_000
)

// Self returns this VM's entry in Members.
func (s *Settings) Self() Member {
	for _, m := range s.Members {
		if m.VM == s.VM {
			return m
		}
	}
	return Member{}
}

// Replicas returns the VMs that are known to run a replica: the seeds, or those
// of Members in order.
func (s *Settings) Replicas() []string {
	var out []string
	if s.Discovery != nil {
		for _, seed := range s.Discovery.Seeds {
			// The address was checked when the settings were read.
			host, _, _ := net.SplitHostPort(seed)
			out = append(out, host)
		}
		return out
	}
	for _, m := range s.Members {
		if m.Replica {
			out = append(out, m.VM)
		}
	}
	return out
}

// AddressLifetime is how long callers may keep an address answer.
func (e *Entry) AddressLifetime() time.Duration {
	return time.Duration(e.AddressLifetimeSeconds) * time.Second
}

// DrainLimit is how long streams may run on after a stop began.
func (s Stop) DrainLimit() time.Duration {
	return time.Duration(s.DrainLimitSeconds) * time.Second
}

// Seconds turns a number of seconds from the settings into a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Millis turns a number of milliseconds from the settings into a duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
