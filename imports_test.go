package wagtaildyke_test

import (
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// purePackages hold decisions. Others may embed them.
var purePackages = []string{
	"./root/control/consensus", "./root/control/table", "./root/control/ledger",
	"./root/control/authority", "./root/control/fleet", "./root/control/roles",
	"./root/control/replicated", "./root/control/machine", "./root/control/view",
	"./root/control/routes", "./root/control/quarantine", "./root/traffic/placement", "./root/traffic/tenancy",
	"./root/traffic/admission", "./root/traffic/budget", "./root/traffic/scheduling", "./root/traffic/addresses",
}

// forbidden are imports that would tie a decision to an encoding or a front end.
var forbidden = []string{
	"net/http", "net", "encoding/json", "log", "log/slog", "os",
	"google.golang.org/protobuf", "github.com/go-logr/logr",
	"github.com/hashicorp/yamux", "github.com/go-chi/chi/v5",
	"github.com/wagtaildyke/wagtaildyke/api",
}

func TestPurePackagesImportNoEncodingOrTransport(t *testing.T) {
	c := qt.New(t)
	args := append([]string{"list", "-f", "{{.ImportPath}}: {{join .Imports \" \"}}"}, purePackages...)
	out, err := exec.Command("go", args...).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	c.Assert(len(lines), qt.Equals, len(purePackages))
	for _, line := range lines {
		name, imports, _ := strings.Cut(line, ": ")
		for _, imp := range strings.Fields(imports) {
			c.Check(isForbidden(imp), qt.IsFalse, qt.Commentf("%s imports %s", name, imp))
		}
	}
}

func isForbidden(path string) bool {
	for _, f := range forbidden {
		if path == f || strings.HasPrefix(path, "google.golang.org/protobuf/") {
			return true
		}
	}
	return false
}
