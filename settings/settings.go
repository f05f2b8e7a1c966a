// Package settings reads and validates the settings file of one VM, which is JSON
// with comments. Errors give the file, line and field.
package settings

import (
	"net"
	"strconv"
	"time"
)

// Settings holds the settings of one VM.
type Settings struct {
	// Cluster is the name shared by all VMs of one deployment.
	Cluster string `json:"cluster"`
	// VM is the stable name of this VM; it must be one of Members.
	VM      string   `json:"vm"`
	Members []Member `json:"members"`
	// FailureDomain is the failure domain of this VM if Discovery replaces Members.
	FailureDomain string     `json:"failure_domain"`
	Discovery     *Discovery `json:"discovery"`
	// Platform configures the platform's front end, which replaces Entry.
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
	// Address is host:port for sessions between VMs.
	Address string `json:"address"`
	// Replica says that the VM has a disk and stores a copy of the replicated log.
	Replica bool `json:"replica"`
	// Operator is host:port of the VM's operator listener, which the report command
	// queries. It may be empty.
	Operator string `json:"operator"`
}

// Discovery configures how a VM finds the others without a list of members. VMs are
// identified by their IP addresses.
type Discovery struct {
	// Seeds lists VMs with a replica as host:port. The port is ignored.
	Seeds []string `json:"seeds"`
	// PeersPort is the port of peers.listen on every VM.
	PeersPort int `json:"peers_port"`
	// Bootstrap must be true only when the system starts for the first time. The
	// seeds then form a new cluster.
	Bootstrap bool `json:"bootstrap"`
}

// PeerAddress returns the host:port for sessions with a VM.
func (d *Discovery) PeerAddress(vm string) string {
	return net.JoinHostPort(vm, strconv.Itoa(d.PeersPort))
}

// Platform configures the front end of the users' platform. This VM does not serve
// an endpoint whose address is empty.
type Platform struct {
	// Frontend is the listen address for callers' requests.
	Frontend string `json:"frontend"`
	// Readiness is the listen address of the readiness check.
	Readiness string `json:"readiness"`
	// ControlPlane is the listen address for heartbeats of backend servers and the
	// operator's routes.
	ControlPlane string `json:"control_plane"`
	// Directory is the listen address at which callers look up entries.
	Directory string `json:"directory"`
	// Metrics is the listen address for counters and histograms as text.
	Metrics string `json:"metrics"`
	// AddressLifetimeMillis is how long callers may cache a response of the directory.
	AddressLifetimeMillis int `json:"address_lifetime_ms"`
	// HeartbeatMillis is the interval between heartbeats of a backend server.
	HeartbeatMillis float64 `json:"heartbeat_ms"`
	// GracePeriodSeconds is the time from SIGTERM to SIGKILL.
	GracePeriodSeconds float64 `json:"grace_period_seconds"`
	// In each window the fleet retries the requests of a service at most RetryRatio
	// times the number of requests, plus RetryExtra times. RetryExtra may be a
	// fraction; an entry's equal share of it is rounded down.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryExtra         float64 `json:"retry_extra"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
}

// Peers configures the sessions between VMs.
type Peers struct {
	Listen string `json:"listen"`
	// AllowPlaintext must be true to run without TLS.
	AllowPlaintext bool `json:"allow_plaintext"`
	TLS            *TLS `json:"tls"`
}

// TLS names the files for mutual TLS. They are reloaded when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Entry configures the listener for callers and announcements of backend servers.
type Entry struct {
	Listen string `json:"listen"`
	// Address is the base URL given to callers. It defaults to http:// and the
	// address of the listener.
	Address string `json:"address"`
	// AddressLifetimeSeconds is how long callers may cache a list of addresses.
	AddressLifetimeSeconds int `json:"address_lifetime_seconds"`
}

// Replica configures the storage of the replicated log.
type Replica struct {
	// DataFolder holds the log and snapshots.
	DataFolder string `json:"data_folder"`
	// CompactEveryEntries is the number of log entries applied between snapshots.
	CompactEveryEntries int `json:"compact_every_entries"`
}

// Operator configures the listener for operators.
type Operator struct {
	Listen string `json:"listen"`
	// TokenFile contains the bearer token. Without it, Listen must be a loopback
	// address.
	TokenFile string `json:"token_file"`
}

// Limits restricts the requests that an entry accepts from callers.
type Limits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	MaxHeaderBytes int   `json:"max_header_bytes"`
	// MaxHeaderLines is the maximum number of lines of a request's head.
	MaxHeaderLines      int `json:"max_header_lines"`
	HeaderTimeoutMillis int `json:"header_timeout_ms"`
	BodyTimeoutMillis   int `json:"body_timeout_ms"`
	IdleTimeoutMillis   int `json:"idle_timeout_ms"`
	// BodyProgressTimeoutMillis limits the time without a byte of a request body.
	BodyProgressTimeoutMillis int `json:"body_progress_timeout_ms"`
	// WriteTimeoutMillis limits the time of one write to a slow caller.
	WriteTimeoutMillis int `json:"write_timeout_ms"`
	// Connections is the maximum number of connections of each listener for callers or
	// backend servers; 0 for a share of the descriptors and of the memory.
	Connections int `json:"connections"`
	// MemoryBytes is the memory that this process may use; 0 for the limit that the system
	// reports. It may be written as 184e6.
	MemoryBytes float64 `json:"memory_bytes"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// DrainLimitSeconds is how long streams may continue. After that they are
	// aborted with an error.
	DrainLimitSeconds int `json:"drain_limit_seconds"`
}

// Log configures logging.
type Log struct {
	// Format is text or json.
	Format string `json:"format"`
	// Level is info or debug.
	Level string `json:"level"`
}

// Defaults returns the values of settings that a file does not set.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:        8 << 20,
			MaxHeaderBytes:      32 << 10,
			MaxHeaderLines:      8 << 10,
			HeaderTimeoutMillis: 5_000,
			BodyTimeoutMillis:   30_000,
			IdleTimeoutMillis:   60_000,
			WriteTimeoutMillis:  20_000,

			BodyProgressTimeoutMillis: 15_000,
		},
		Stop: Stop{DrainLimitSeconds: 600},
		Log:  Log{Format: "text", Level: "info"},
	}
}

// Defaults of optional sections.
const (
	defaultAddressLifetimeSeconds = 5
	// defaultAddressLifetimeMillis is short because some callers cache a response for
	// three times as long, and a stopping VM has to serve them until then.
	defaultAddressLifetimeMillis = 1000
	defaultCompactEveryEntries   = 20_000
)

// platformDefaults returns the values of the platform section that a file does not
// set. Without a stated retry budget a tenth of the requests may be retried.
func platformDefaults() *Platform {
	return &Platform{
		HeartbeatMillis:       1000,
		GracePeriodSeconds:    8,
		RetryRatio:            0.1,
		RetryWindowSeconds:    10,
		AddressLifetimeMillis: defaultAddressLifetimeMillis,
	}
}

// Self returns this VM's entry in Members.
func (s *Settings) Self() Member {
	for _, m := range s.Members {
		if m.VM == s.VM {
			return m
		}
	}
	return Member{}
}

// Replicas returns the VMs known to have a replica: the seeds if discovery is
// configured, or else those of Members in order.
func (s *Settings) Replicas() []string {
	var out []string
	if s.Discovery != nil {
		for _, seed := range s.Discovery.Seeds {
			// validate has checked the address.
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

// AddressLifetime returns how long callers may cache a list of addresses.
func (e *Entry) AddressLifetime() time.Duration {
	return time.Duration(e.AddressLifetimeSeconds) * time.Second
}

// DrainLimit returns how long streams may continue after the shutdown started.
func (s Stop) DrainLimit() time.Duration {
	return time.Duration(s.DrainLimitSeconds) * time.Second
}

// Seconds converts a number of seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Millis converts a number of milliseconds to a duration.
func Millis[N int | float64](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}
