package files_test

import (
	"errors"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
)

// smallDisk has space for free bytes and writes at most three bytes per call. A short
// write returns err.
type smallDisk struct {
	files.OS
	free atomic.Int64
	err  error
}

type smallFile struct {
	files.File
	disk *smallDisk
}

func (d *smallDisk) Create(name string) (files.File, error) {
	f, err := d.OS.Create(name)
	return &smallFile{f, d}, err
}

func (f *smallFile) Write(data []byte) (int, error) {
	n := min(int64(len(data)), f.disk.free.Load(), 3)
	f.disk.free.Add(-n)
	if _, err := f.File.Write(data[:n]); err != nil {
		return 0, err
	}
	if int(n) < len(data) {
		return int(n), f.disk.err
	}
	return int(n), nil
}

func newFullDisk(c *qt.C, err error, calls *[]bool) (*smallDisk, *files.RetryFS, files.File, string) {
	disk := &smallDisk{err: err}
	fs := files.NewRetryFS(disk, func(_ string, waiting bool) { *calls = append(*calls, waiting) })
	name := filepath.Join(c.TempDir(), "log")
	f, createErr := fs.Create(name)
	c.Assert(createErr, qt.IsNil)
	return disk, fs, f, name
}

func TestWriteWaitsForSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var calls []bool
		disk, fs, f, name := newFullDisk(c, syscall.ENOSPC, &calls)
		disk.free.Store(5)
		go func() {
			time.Sleep(time.Minute)
			disk.free.Store(100)
		}()
		n, err := f.Write([]byte("0123456789"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 10)
		data, err := fs.ReadFile(name)
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, "0123456789")
		c.Assert(calls, qt.DeepEquals, []bool{true, false})
	})
}

func TestOtherErrorsAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	var calls []bool
	_, _, f, _ := newFullDisk(c, syscall.EIO, &calls)
	_, err := f.Write([]byte("x"))
	c.Assert(errors.Is(err, syscall.EIO), qt.IsTrue)
	c.Assert(calls, qt.HasLen, 0)
}

func TestStopRetryingEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var calls []bool
		_, fs, f, _ := newFullDisk(c, syscall.ENOSPC, &calls)
		go func() {
			time.Sleep(time.Minute)
			fs.StopRetrying()
		}()
		_, err := f.Write([]byte("x"))
		c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue)
	})
}
