// Package files abstracts the file system operations that storage needs. Tests use an
// implementation that loses unsynced writes and tears others in a simulated crash.
package files

import (
	"io"
	"os"
	"path/filepath"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync makes all previous writes durable.
	Sync() error
	// Truncate changes the size of the file to size bytes.
	Truncate(size int64) error
	Close() error
}

// FS is a file system. Its errors are those of package os.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in a directory, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates it if it exists.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Rename renames oldName to newName and replaces a file of that name. The change
	// is durable after SyncDir.
	Rename(oldName, newName string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in a directory durable.
	SyncDir(dir string) error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates dir and any missing parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the names in dir, sorted.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates a file, or truncates it if it exists.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens an existing file for appending.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames oldName to newName and replaces a file of that name.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the creation, renaming and removal of files in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// tempSuffix is the suffix of temporary files, which may be incomplete.
const tempSuffix = ".tmp"

// Replace atomically replaces the content of a file. After a crash the file has either
// the old content or the new one. The new content is durable on return.
func Replace(fs FS, name string, data []byte) error {
	f, err := Stage(fs, name, data)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return Publish(fs, name)
}

// Stage writes and syncs data to a temporary file and returns the open file. Publish
// renames it to name.
func Stage(fs FS, name string, data []byte) (File, error) {
	f, err := fs.Create(name + tempSuffix)
	if err != nil {
		return nil, err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Publish renames a staged file to its final name and makes the rename durable.
func Publish(fs FS, name string) error {
	if err := fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

// IsStaged reports whether name is that of a temporary file: one that is staged but not
// published.
func IsStaged(name string) bool { return filepath.Ext(name) == tempSuffix }
