package root_test

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root"
	"github.com/wagtaildyke/wagtaildyke/root/storage"
	"github.com/wagtaildyke/wagtaildyke/settings"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// openSingle opens a process that is an entry and the only replica.
func openSingle(t *testing.T, folder string, log logr.Logger) (*root.Process, error) {
	s := settings.Defaults()
	s.Cluster = "test"
	s.VM = "vm-1"
	s.Peers = settings.Peers{Listen: "127.0.0.1:0", AllowPlaintext: true}
	s.Operator = settings.Operator{Listen: "127.0.0.1:0"}
	s.Entry = &settings.Entry{Listen: "127.0.0.1:0", AddressLifetimeSeconds: 1}
	s.Replica = &settings.Replica{DataFolder: folder, CompactEveryEntries: 100}
	s.Members = []settings.Member{{VM: "vm-1", FailureDomain: "a", Address: "127.0.0.1:1", Replica: true}}
	return root.Open(&s, log)
}

func formatFolder(t *testing.T) string {
	folder := filepath.Join(t.TempDir(), "data")
	id := storage.Identity{Cluster: "test", Replica: root.InitialReplicaID("vm-1")}
	qt.Assert(t, storage.Format(folder, id), qt.IsNil)
	return folder
}

// TestTreeMatchesFolders checks that each folder below root is a node of the
// supervisor tree, and that each node has a folder or its parent has one.
func TestTreeMatchesFolders(t *testing.T) {
	c := qt.New(t)
	p, err := openSingle(t, formatFolder(t), logr.Discard())
	c.Assert(err, qt.IsNil)
	paths := map[string]bool{}
	var walk func(supervise.Info)
	walk = func(n supervise.Info) {
		paths[n.Path] = true
		for _, child := range n.Children {
			walk(child)
		}
	}
	walk(p.Tree())
	folders := foldersBelow(t, ".")
	for _, f := range folders {
		c.Check(paths[f], qt.IsTrue, qt.Commentf("folder root/%s has no node in the tree", f))
	}
	for path := range paths {
		inFolder := path == "" || slices.Contains(folders, path) || slices.Contains(folders, filepath.Dir(path))
		c.Check(inFolder, qt.IsTrue, qt.Commentf("node %s has no folder", path))
	}
	serveAndStop(t, p)
}

func foldersBelow(t *testing.T, dir string) []string {
	var out []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && path != dir && !strings.Contains(path, "testdata") {
			out = append(out, filepath.ToSlash(path))
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return out
}

// serveAndStop calls Serve with a canceled context, which shuts the process down
// gracefully.
func serveAndStop(t *testing.T, p *root.Process) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, p.Serve(ctx), qt.IsNil)
}

// TestLogPrefixIsFolder checks that the prefix of each log line is empty or the path
// of a folder below root.
func TestLogPrefixIsFolder(t *testing.T) {
	c := qt.New(t)
	prefixes := map[string]bool{}
	log := funcr.New(func(prefix, _ string) { prefixes[prefix] = true }, funcr.Options{Verbosity: 1})
	p, err := openSingle(t, formatFolder(t), log)
	c.Assert(err, qt.IsNil)
	serveAndStop(t, p)
	folders := foldersBelow(t, ".")
	c.Assert(len(prefixes) > 0, qt.IsTrue)
	for prefix := range prefixes {
		c.Check(prefix == "" || slices.Contains(folders, prefix), qt.IsTrue, qt.Commentf("prefix %q", prefix))
	}
}

func TestOpenRejectsFolderInUse(t *testing.T) {
	c := qt.New(t)
	folder := formatFolder(t)
	p, err := openSingle(t, folder, logr.Discard())
	c.Assert(err, qt.IsNil)
	_, err = openSingle(t, folder, logr.Discard())
	c.Assert(fault.Is(err, fault.Conflict), qt.IsTrue, qt.Commentf("%v", err))
	serveAndStop(t, p)
}

func TestOpenRejectsCorruptLog(t *testing.T) {
	c := qt.New(t)
	folder := formatFolder(t)
	p, err := openSingle(t, folder, logr.Discard())
	c.Assert(err, qt.IsNil)
	serveAndStop(t, p)
	segments, err := filepath.Glob(filepath.Join(folder, "wal", "*"))
	c.Assert(err, qt.IsNil)
	data, err := os.ReadFile(segments[0])
	c.Assert(err, qt.IsNil)
	data[0] ^= 0xff
	c.Assert(os.WriteFile(segments[0], data, 0o600), qt.IsNil)
	_, err = openSingle(t, folder, logr.Discard())
	c.Assert(fault.Is(err, fault.Corrupt), qt.IsTrue, qt.Commentf("%v", err))
}
