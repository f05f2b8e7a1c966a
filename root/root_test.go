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

// single opens a process that is entry and only replica.
func single(t *testing.T, folder string, log logr.Logger) (*root.Process, error) {
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

func format(t *testing.T) string {
	folder := filepath.Join(t.TempDir(), "data")
	id := storage.Identity{Cluster: "test", Replica: root.FirstIdentity("vm-1")}
	qt.Assert(t, storage.Format(folder, id), qt.IsNil)
	return folder
}

// TestTreeIsTheFolders holds that each folder below root is a place in the tree,
// and that a place without a folder is one service of its folder.
func TestTreeIsTheFolders(t *testing.T) {
	c := qt.New(t)
	p, err := single(t, format(t), logr.Discard())
	c.Assert(err, qt.IsNil)
	places := map[string]bool{}
	var walk func(supervise.Info)
	walk = func(n supervise.Info) {
		places[n.Path] = true
		for _, child := range n.Children {
			walk(child)
		}
	}
	walk(p.Tree())
	folders := foldersBelow(t, ".")
	for _, f := range folders {
		c.Check(places[f], qt.IsTrue, qt.Commentf("folder root/%s is no place in the tree", f))
	}
	for place := range places {
		inFolder := place == "" || slices.Contains(folders, place) || slices.Contains(folders, filepath.Dir(place))
		c.Check(inFolder, qt.IsTrue, qt.Commentf("place %s has no folder", place))
	}
	stopNow(t, p)
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

// stopNow serves with a context that has ended, which stops gracefully.
func stopNow(t *testing.T, p *root.Process) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, p.Serve(ctx), qt.IsNil)
}

// TestLogPrefixIsThePlace holds that a line names the folder it comes from.
func TestLogPrefixIsThePlace(t *testing.T) {
	c := qt.New(t)
	prefixes := map[string]bool{}
	log := funcr.New(func(prefix, _ string) { prefixes[prefix] = true }, funcr.Options{Verbosity: 1})
	p, err := single(t, format(t), log)
	c.Assert(err, qt.IsNil)
	stopNow(t, p)
	folders := foldersBelow(t, ".")
	c.Assert(len(prefixes) > 0, qt.IsTrue)
	for prefix := range prefixes {
		c.Check(prefix == "" || slices.Contains(folders, prefix), qt.IsTrue, qt.Commentf("prefix %q", prefix))
	}
}

func TestAFolderInUseIsRefused(t *testing.T) {
	c := qt.New(t)
	folder := format(t)
	p, err := single(t, folder, logr.Discard())
	c.Assert(err, qt.IsNil)
	_, err = single(t, folder, logr.Discard())
	c.Assert(fault.Is(err, fault.Conflict), qt.IsTrue, qt.Commentf("%v", err))
	stopNow(t, p)
}

func TestADamagedLogStopsTheStart(t *testing.T) {
	c := qt.New(t)
	folder := format(t)
	p, err := single(t, folder, logr.Discard())
	c.Assert(err, qt.IsNil)
	stopNow(t, p)
	segments, err := filepath.Glob(filepath.Join(folder, "wal", "*"))
	c.Assert(err, qt.IsNil)
	data, err := os.ReadFile(segments[0])
	c.Assert(err, qt.IsNil)
	data[0] ^= 0xff
	c.Assert(os.WriteFile(segments[0], data, 0o600), qt.IsNil)
	_, err = single(t, folder, logr.Discard())
	c.Assert(fault.Is(err, fault.Corrupt), qt.IsTrue, qt.Commentf("%v", err))
}
