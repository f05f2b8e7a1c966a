package storage

import (
	"errors"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
)

var errCrash = errors.New("crash")

// memFS is an in-memory file system that simulates crashes: every modification or sync
// after a given number of them fails, and crash then discards unsynced changes.
type memFS struct {
	live, durable map[string]*memFile
	// opsLeft is the number of operations that still succeed; negative for no limit.
	opsLeft int
	syncs   int
	// skipSync makes the sync of either every "file" or every "folder" do nothing.
	skipSync string
}

type memFile struct {
	fs           *memFS
	data, synced []byte
}

func newMemFS() *memFS {
	return &memFS{live: map[string]*memFile{}, durable: map[string]*memFile{}, opsLeft: -1}
}

// countOp counts an operation and returns the error with which it fails.
func (m *memFS) countOp() error {
	if m.opsLeft == 0 {
		return errCrash
	}
	m.opsLeft--
	return nil
}

// crash discards unsynced changes, except that each file keeps up to kept bytes that
// were appended after its last sync. If torn is set, the last of these bytes is
// corrupted. keepsName is called for each name that was created, renamed or removed since
// the last sync of its folder, and says whether that change is kept.
func (m *memFS) crash(kept int, torn bool, keepsName func() bool) {
	names := maps.Clone(m.durable)
	maps.Copy(names, m.live)
	after := maps.Clone(m.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		now, exists := m.live[name]
		if now == m.durable[name] || !keepsName() {
			continue
		}
		if after[name] = now; !exists {
			delete(after, name)
		}
	}
	m.live, m.durable = after, maps.Clone(after)
	m.opsLeft = -1
	for _, f := range m.live {
		common := min(len(f.synced), len(f.data))
		tail := slices.Clone(f.data[common:min(len(f.data), common+kept)])
		if torn && len(tail) > 0 {
			tail[len(tail)-1] ^= 0x5a
		}
		f.data = append(slices.Clone(f.synced), tail...)
	}
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.live {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Create(name string) (files.File, error) {
	f := &memFile{fs: m}
	m.live[name] = f
	return f, m.countOp()
}

func (m *memFS) Append(name string) (files.File, error) { return m.live[name], nil }

func (m *memFS) Rename(oldName, newName string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.live[newName] = m.live[oldName]
	delete(m.live, oldName)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	delete(m.live, name)
	return nil
}

func (m *memFS) SyncDir(dir string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	if m.skipSync == "folder" {
		return nil
	}
	maps.DeleteFunc(m.durable, func(name string, _ *memFile) bool { return filepath.Dir(name) == dir })
	for name, f := range m.live {
		if filepath.Dir(name) == dir {
			m.durable[name] = f
		}
	}
	return nil
}

func (f *memFile) Write(b []byte) (int, error) {
	f.data = append(f.data, b...)
	return len(b), f.fs.countOp()
}

func (f *memFile) Sync() error {
	if err := f.fs.countOp(); err != nil {
		return err
	}
	f.fs.syncs++
	if f.fs.skipSync == "file" {
		return nil
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return f.fs.countOp()
}

func (f *memFile) Close() error { return nil }
