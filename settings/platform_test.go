package settings_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

const validPlatformFile = `{
  "cluster": "wagtaildyke", "vm": "10.1.0.35", "failure_domain": "a",
  "discovery": { "seeds": ["10.1.0.37:8146", "10.2.0.30:8146"], "peers_port": 7660, "bootstrap": true },
  "peers": { "listen": "10.1.0.35:7660", "allow_plaintext": true },
  "operator": { "listen": "127.0.0.1:7661" },
  "platform": { "frontend": "10.1.0.35:8144", "readiness": "10.1.0.35:8140", "heartbeat_ms": 1200,
    "grace_period_seconds": 8, "retry_ratio": 0.2, "retry_extra": 54, "retry_window_seconds": 10 }
}`

func TestPlatformSettings(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("vm.jsonc", []byte(validPlatformFile))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Self().FailureDomain, qt.Equals, "a")
	c.Assert(s.Replicas(), qt.DeepEquals, []string{"10.1.0.37", "10.2.0.30"})
	c.Assert(s.Discovery.PeerAddress("10.1.0.37"), qt.Equals, "10.1.0.37:7660")
	c.Assert(s.Platform.AddressLifetimeMillis, qt.Equals, 1000)
}

// TestPlatformNumbers reads the numbers that the platform fills in as fractions, as huge
// values and not at all.
func TestPlatformNumbers(t *testing.T) {
	c := qt.New(t)
	const valid = `"heartbeat_ms": 1200,
    "grace_period_seconds": 8, "retry_ratio": 0.2, "retry_extra": 54, "retry_window_seconds": 10`
	parse := func(numbers string) (*settings.Platform, error) {
		s, err := settings.Parse("vm.jsonc", []byte(strings.Replace(validPlatformFile, valid, numbers, 1)))
		if err != nil {
			return nil, err
		}
		return s.Platform, nil
	}

	p, err := parse(`"heartbeat_ms": 1200.5, "grace_period_seconds": 7.5, "retry_ratio": 0.25,
		"retry_extra": 32.73684210526316, "retry_window_seconds": 9.5`)
	c.Assert(err, qt.IsNil)
	c.Check(settings.Millis(p.HeartbeatMillis), qt.Equals, 1200*time.Millisecond+500*time.Microsecond)
	c.Check(p.GracePeriodSeconds, qt.Equals, 7.5)
	c.Check(p.RetryExtra, qt.Equals, 32.73684210526316)
	c.Check(p.RetryWindowSeconds, qt.Equals, 9.5)

	p, err = parse(`"retry_ratio": 1e30, "retry_extra": 1e300`)
	c.Assert(err, qt.IsNil)
	c.Check(p.RetryExtra, qt.Equals, 1e300)

	p, err = parse(`"retry_extra": 0, "retry_ratio": 0`)
	c.Assert(err, qt.IsNil)
	c.Check(p.RetryRatio, qt.Equals, 0.0)

	p, err = parse(``)
	c.Assert(err, qt.IsNil)
	c.Check(p.RetryExtra, qt.Equals, 0.0)
	c.Check(p.RetryRatio, qt.Equals, 0.1)
	c.Check(p.RetryWindowSeconds, qt.Equals, 10.0)

	for numbers, want := range map[string]string{
		`"heartbeat_ms": 1e300`:       `vm.jsonc:6: platform.heartbeat_ms: must be 1 to .*`,
		`"retry_extra": -1`:           `vm.jsonc:6: platform.retry_extra: must be 0 to .*`,
		`"retry_extra": 1e999`:        `vm.jsonc:6: platform.retry_extra: wants a number \(fractions are allowed\), not number 1e999`,
		`"retry_extra": "54"`:         `vm.jsonc:6: platform.retry_extra: wants a number \(fractions are allowed\), not string`,
		`"address_lifetime_ms": 10.5`: `vm.jsonc:6: platform.address_lifetime_ms: wants a whole number, not number 10.5`,
	} {
		_, err := parse(numbers)
		c.Check(err, qt.ErrorMatches, `.*`+want)
	}
}

func TestPlatformErrors(t *testing.T) {
	c := qt.New(t)
	for want, change := range map[string][2]string{
		"discovery.seeds":               {`["10.1.0.37:8146", "10.2.0.30:8146"]`, `[]`},
		"discovery.seeds.0":             {`"10.1.0.37:8146"`, `"10.1.0.37"`},
		"discovery.peers_port":          {`"peers_port": 7660`, `"peers_port": 0`},
		"platform.frontend":             {`10.1.0.35:8144`, `8144`},
		"platform.heartbeat_ms":         {`"heartbeat_ms": 1200`, `"heartbeat_ms": 0`},
		"platform.retry_ratio":          {`"retry_ratio": 0.2`, `"retry_ratio": -1`},
		"platform.grace_period_seconds": {`"grace_period_seconds": 8`, `"grace_period_seconds": 0`},
		"platform":                      {`"operator"`, `"entry": { "listen": "127.0.0.1:1" }, "operator"`},
	} {
		text := strings.Replace(validPlatformFile, change[0], change[1], 1)
		_, err := settings.Parse("vm.jsonc", []byte(text))
		c.Check(fault.Is(err, fault.Settings), qt.IsTrue, qt.Commentf("%s", want))
		c.Check(err, qt.ErrorMatches, `(?s).*: `+want+`: .*`)
	}
}
