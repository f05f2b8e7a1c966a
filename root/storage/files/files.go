// Package files is the small part of a file system that storage needs. Tests
// replace it to lose writes that were not synced and to tear others.
package files

import (
	"io"
	"os"
	"path/filepath"
)

// File is a file opened for writing at its end.
type File interface {
	io.Writer
	// Sync makes everything written durable.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	Close() error
}

// FS is a file system. Errors are those of package os.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in a directory in order.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file or empties an existing one.
	Create(name string) (File, error)
	// Append opens an existing file to write at its end.
	Append(name string) (File, error)
	// Rename replaces newName. It is durable after SyncDir.
	Rename(oldName, newName string) error
	Remove(name string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll makes dir and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, folderMode) }

// List returns the names in dir in order.
func (OS) List(dir string) ([]string, error) {
	found, err := os.ReadDir(dir)
	names := make([]string, 0, len(found))
	for _, f := range found {
		names = append(names, f.Name())
	}
	return names, err
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create makes an empty file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens an existing file to write at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename replaces newName by oldName.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// tempSuffix marks a file that is not complete.
const tempSuffix = ".tmp"

// Replace writes a file so that a crash leaves either the old content or the
// new one, durable on return.
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

// Stage writes and syncs the content under a temporary name and leaves it open.
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

// Publish gives a staged file its name and makes that durable.
func Publish(fs FS, name string) error {
	if err := fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

// Staged reports whether name is that of a file staged and not published.
func Staged(name string) bool { return filepath.Ext(name) == tempSuffix }
