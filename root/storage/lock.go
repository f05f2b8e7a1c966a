package storage

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
)

const lockMode = 0o600

// lock locks the folder against other processes. It does nothing for file systems
// other than files.OS, which no other process can access.
func lock(fsys files.FS, folder string) (unlock func(), err error) {
	if _, ok := fsys.(files.OS); !ok {
		return func() {}, nil
	}
	name := filepath.Join(folder, lockName)
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, lockMode)
	if err != nil {
		return nil, unavailableError(err, "cannot open %s", name)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fault.Wrap(err, fault.Conflict, part, "folder %s is in use by another process", folder)
	}
	return func() { f.Close() }, nil
}
