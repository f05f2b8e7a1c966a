package settings_test

import (
	"strings"
	"testing"

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
