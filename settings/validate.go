package settings

import (
	"fmt"
	"net"
	"net/url"
)

func (s *Settings) validate(src *source) error {
	checks := []func(*source) error{
		s.checkNames, s.checkMembers, s.checkPeers, s.checkEntry,
		s.checkReplica, s.checkOperator, s.checkLimits, s.checkLog, s.checkDiscovery, s.checkPlatform,
	}
	for _, check := range checks {
		if err := check(src); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames(src *source) error {
	if s.Cluster == "" {
		return src.fieldError("/cluster", "must name the cluster")
	}
	if s.VM == "" {
		return src.fieldError("/vm", "must name this VM")
	}
	if s.Self().VM == "" {
		return src.fieldError("/vm", "%q is not one of members", s.VM)
	}
	return nil
}

func (s *Settings) checkMembers(src *source) error {
	seen := map[string]bool{}
	addresses := map[string]string{}
	replicas := 0
	for i, m := range s.Members {
		at := fmt.Sprintf("/members/%d", i)
		if m.VM == "" {
			return src.fieldError(at+"/vm", "must name the VM")
		}
		if seen[m.VM] {
			return src.fieldError(at+"/vm", "%q is given twice", m.VM)
		}
		seen[m.VM] = true
		if m.FailureDomain == "" {
			return src.fieldError(at+"/failure_domain", "must name the failure domain")
		}
		if err := checkAddress(src, at+"/address", m.Address); err != nil {
			return err
		}
		if other, taken := addresses[m.Address]; taken {
			return src.fieldError(at+"/address", "%s is the address of %q already", m.Address, other)
		}
		addresses[m.Address] = m.VM
		if m.Operator != "" {
			if err := checkAddress(src, at+"/operator", m.Operator); err != nil {
				return err
			}
		}
		if m.Replica {
			replicas++
		}
	}
	if replicas == 0 && s.Discovery == nil {
		return src.fieldError("/members", "at least one VM must have replica true")
	}
	return nil
}

func (s *Settings) checkPeers(src *source) error {
	if err := checkListen(src, "/peers/listen", s.Peers.Listen); err != nil {
		return err
	}
	tls := s.Peers.TLS
	if tls == nil && !s.Peers.AllowPlaintext {
		return src.fieldError("/peers", "needs tls, or allow_plaintext true")
	}
	if tls == nil {
		return nil
	}
	if s.Peers.AllowPlaintext {
		return src.fieldError("/peers/allow_plaintext", "can't be combined with tls")
	}
	return tls.checkFiles(src)
}

func (s *Settings) checkEntry(src *source) error {
	if s.Entry == nil {
		return nil
	}
	if err := checkListen(src, "/entry/listen", s.Entry.Listen); err != nil {
		return err
	}
	if s.Entry.AddressLifetimeSeconds < 1 || s.Entry.AddressLifetimeSeconds > 300 {
		return src.fieldError("/entry/address_lifetime_seconds", "must be 1 to 300")
	}
	if s.Entry.Address == "" {
		return nil
	}
	u, err := url.Parse(s.Entry.Address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return src.fieldError("/entry/address", "must be a URL such as http://10.0.0.1:8080")
	}
	return nil
}

func (s *Settings) checkReplica(src *source) error {
	self := s.Self()
	if self.Replica != (s.Replica != nil) {
		return src.fieldError("/replica", "must be given exactly when members say replica true for %q", s.VM)
	}
	if s.Replica == nil {
		return nil
	}
	if s.Replica.DataFolder == "" {
		return src.fieldError("/replica/data_folder", "must name a folder on a disk")
	}
	if s.Replica.CompactEveryEntries < 100 {
		return src.fieldError("/replica/compact_every_entries", "must be at least 100")
	}
	return nil
}

func (s *Settings) checkOperator(src *source) error {
	if err := checkListen(src, "/operator/listen", s.Operator.Listen); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s.Operator.Listen)
	ip := net.ParseIP(host)
	if s.Operator.TokenFile == "" && (ip == nil || !ip.IsLoopback()) {
		return src.fieldError("/operator/token_file", "must be given unless operator.listen is a loopback address")
	}
	if s.Operator.TokenFile == "" {
		return nil
	}
	return checkFile(src, "/operator/token_file", s.Operator.TokenFile)
}

func (s *Settings) checkLimits(src *source) error {
	l := s.Limits
	ranges := []struct {
		field           string
		value, min, max int64
	}{
		{"/limits/max_body_bytes", l.MaxBodyBytes, 1 << 10, 1 << 30},
		{"/limits/max_header_bytes", int64(l.MaxHeaderBytes), 1 << 10, 1 << 20},
		{"/limits/max_header_lines", int64(l.MaxHeaderLines), 100, 1 << 20},
		{"/limits/connections", int64(l.Connections), 0, 1 << 20},
		{"/limits/header_timeout_ms", int64(l.HeaderTimeoutMillis), 1, hourMillis},
		{"/limits/body_timeout_ms", int64(l.BodyTimeoutMillis), 1, hourMillis},
		{"/limits/idle_timeout_ms", int64(l.IdleTimeoutMillis), 1, hourMillis},
		{"/limits/body_progress_timeout_ms", int64(l.BodyProgressTimeoutMillis), 1, hourMillis},
		{"/limits/write_timeout_ms", int64(l.WriteTimeoutMillis), 1, hourMillis},
		{"/stop/drain_limit_seconds", int64(s.Stop.DrainLimitSeconds), 1, daySeconds},
	}
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return src.fieldError(r.field, "must be %d to %d", r.min, r.max)
		}
	}
	if l.MemoryBytes != 0 && (l.MemoryBytes < MinMemoryBytes || l.MemoryBytes > maxMemoryBytes) {
		return src.fieldError("/limits/memory_bytes", "must be 0, or %d to %d", MinMemoryBytes, int64(maxMemoryBytes))
	}
	if l.MemoryBytes != 0 && float64(l.MaxBodyBytes) > l.MemoryBytes*LargeBodiesShare {
		return src.fieldError("/limits/max_body_bytes", "must be at most %g of memory_bytes", LargeBodiesShare)
	}
	return nil
}

// LargeBodiesShare is the part of the memory that may hold request bodies over 64 KB.
const LargeBodiesShare = 0.2

// Bounds of the memory of a process. With MinMemoryBytes, the reserve for large bodies still
// has space for two of them with the bound of the users' platform.
const (
	MinMemoryBytes = 64 << 20
	maxMemoryBytes = 1 << 42
)

// Maximum durations in settings.
const (
	hourMillis = 3_600_000
	daySeconds = 86_400
)

func (s *Settings) checkLog(src *source) error {
	if s.Log.Format != "text" && s.Log.Format != "json" {
		return src.fieldError("/log/format", "must be text or json")
	}
	if s.Log.Level != "info" && s.Log.Level != "debug" {
		return src.fieldError("/log/level", "must be info or debug")
	}
	return nil
}
