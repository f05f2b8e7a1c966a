package settings_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

const validFile = `{
  // One VM of the co-operative.
  "cluster": "wigs",
  "vm": "vm-1",
  "members": [
    {"vm": "vm-1", "failure_domain": "a", "address": "127.0.0.1:7001", "replica": true},
  ],
  "peers": {"listen": "127.0.0.1:7001", "allow_plaintext": true},
  "entry": {"listen": "127.0.0.1:8001"},
  "replica": {"data_folder": "data"},
  "operator": {"listen": "127.0.0.1:9001"},
}`

func TestParseValid(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("vm.jsonc", []byte(validFile))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Self().FailureDomain, qt.Equals, "a")
	c.Assert(s.Replicas(), qt.DeepEquals, []string{"vm-1"})
	c.Assert(s.Limits.MaxBodyBytes, qt.Equals, int64(8<<20))
}

func TestParseErrors(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"vm": "vm-1",` + "\n", `"vn": "vm-1",` + "\n", `vm.jsonc:4: vn: unknown field`},
		{`"vm": "vm-1",` + "\n", `"vm": 7,` + "\n", `vm.jsonc:4: vm: wants a string, not number`},
		{`"vm": "vm-1",` + "\n", `"vm": "vm-2",` + "\n", `vm.jsonc:4: vm: "vm-2" is not one of members`},
		{`"cluster": "wigs",`, ``, `vm.jsonc:1: cluster: must name the cluster`},
		{`, "allow_plaintext": true`, ``, `vm.jsonc:8: peers: needs tls, or allow_plaintext true`},
		{`"listen": "127.0.0.1:9001"`, `"listen": "0.0.0.0:9001"`, `vm.jsonc:11: operator.token_file: must be given`},
		{`"failure_domain": "a"`, `"failure_domain": "a", "zone": "x"`, `vm.jsonc:6: members.0.zone: unknown field`},
		{`"replica": {"data_folder": "data"},`, ``, `vm.jsonc:1: replica: must be given exactly when`},
		{`"cluster": "wigs",`, `"cluster": "wigs", "cluster": "x",`, `vm.jsonc:3: cluster: given twice`},
		{`"address": "127.0.0.1:7001"`, `"address": "127.0.0.1:0"`, `vm.jsonc:6: members.0.address: port "0" must be 1 to 65535`},
		{`"address": "127.0.0.1:7001"`, `"address": "0.0.0.0:7001"`, `vm.jsonc:6: members.0.address: 0.0.0.0 can't be dialled`},
		{`"address": "127.0.0.1:7001"`, `"address": ":7001"`, `vm.jsonc:6: members.0.address: must name a host`},
		{`"replica": true},`, `"replica": true}, {"vm": "x", "failure_domain": "b", "address": "127.0.0.1:7001"},`,
			`vm.jsonc:6: members.1.address: 127.0.0.1:7001 is the address of "vm-1" already`},
		{`"listen": "127.0.0.1:8001"`, `"listen": "127.0.0.1:http"`, `vm.jsonc:9: entry.listen: port "http" must be 0 to 65535`},
		{`"cluster": "wigs",`, `"cluster": "wigs", "limits": {"body_timeout_ms": 3600001},`, `vm.jsonc:3: limits.body_timeout_ms: must be 1 to 3600000`},
		{`"cluster": "wigs",`, `"cluster": "wigs", "stop": {"drain_limit_seconds": 0},`, `vm.jsonc:3: stop.drain_limit_seconds: must be 1 to 86400`},
		{`"allow_plaintext": true`, `"tls": {"cert_file": "c", "ca_file": "a"}`, `vm.jsonc:8: peers.tls.cert_file: stat c: no such file`},
		{`"listen": "127.0.0.1:9001"`, `"listen": "0.0.0.0:9001", "token_file": "none"`, `vm.jsonc:11: operator.token_file: stat none: no such file`},
		{`"data_folder": "data"`, `"data_folder": "data"` + "\n, !", `vm.jsonc:11: column 3: invalid character`},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.Parse("vm.jsonc", []byte(strings.Replace(validFile, test.old, test.new, 1)))
			c.Assert(err, qt.IsNotNil)
			c.Assert(fault.KindOf(err), qt.Equals, fault.Settings)
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"members":[{}],"entry":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if err == nil && s.Self().VM == "" {
			t.Fatal("accepted settings without this VM among the members")
		}
	})
}

// The memory is written in the exponent form that the template of the platform renders, and
// a process must not start with so little that it can't read one body.
func TestMemoryOfTheProcess(t *testing.T) {
	c := qt.New(t)
	base := `{"cluster":"c","vm":"v","members":[{"vm":"v","failure_domain":"a","address":"10.0.0.1:1","replica":false},` +
		`{"vm":"r","failure_domain":"a","address":"10.0.0.2:1","replica":true}],"peers":{"listen":"10.0.0.1:1","allow_plaintext":true},` +
		`"operator":{"listen":"127.0.0.1:0"},"limits":{%s}}`
	for limits, want := range map[string]string{
		`"memory_bytes": 184e6`:   "",
		`"memory_bytes": 283.5e6`: "",
		``:                        "",
		`"memory_bytes": 1e6`:     "memory_bytes",
		`"memory_bytes": 100e6, "max_body_bytes": 30000000`: "max_body_bytes",
		`"max_header_lines": 0`:                             "max_header_lines",
		`"connections": -1`:                                 "connections",
		`"body_progress_timeout_ms": 0`:                     "body_progress_timeout_ms",
	} {
		_, err := settings.Parse("s.jsonc", []byte(fmt.Sprintf(base, limits)))
		if want == "" {
			c.Check(err, qt.IsNil, qt.Commentf("%s", limits))
			continue
		}
		c.Check(err, qt.ErrorMatches, ".*limits."+want+".*", qt.Commentf("%s", limits))
	}
}
