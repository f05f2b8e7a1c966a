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

// smallDisk takes so many bytes, in parts of at most three.
type smallDisk struct {
	files.OS
	room atomic.Int64
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
	n := min(int64(len(data)), f.disk.room.Load(), 3)
	f.disk.room.Add(-n)
	if _, err := f.File.Write(data[:n]); err != nil {
		return 0, err
	}
	if int(n) < len(data) {
		return int(n), f.disk.err
	}
	return int(n), nil
}

func patient(c *qt.C, err error, said *[]bool) (*smallDisk, *files.Patient, files.File, string) {
	disk := &smallDisk{err: err}
	p := files.NewPatient(disk, func(_ string, waits bool) { *said = append(*said, waits) })
	name := filepath.Join(c.TempDir(), "log")
	f, createErr := p.Create(name)
	c.Assert(createErr, qt.IsNil)
	return disk, p, f, name
}

func TestAWriteWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var said []bool
		disk, p, f, name := patient(c, syscall.ENOSPC, &said)
		disk.room.Store(5)
		go func() {
			time.Sleep(time.Minute)
			disk.room.Store(100)
		}()
		n, err := f.Write([]byte("0123456789"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 10)
		data, err := p.ReadFile(name)
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, "0123456789")
		c.Assert(said, qt.DeepEquals, []bool{true, false})
	})
}

func TestOtherErrorsAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	var said []bool
	_, _, f, _ := patient(c, syscall.EIO, &said)
	_, err := f.Write([]byte("x"))
	c.Assert(errors.Is(err, syscall.EIO), qt.IsTrue)
	c.Assert(said, qt.HasLen, 0)
}

func TestGivingUpEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var said []bool
		_, p, f, _ := patient(c, syscall.ENOSPC, &said)
		go func() {
			time.Sleep(time.Minute)
			p.GiveUp()
		}()
		_, err := f.Write([]byte("x"))
		c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue)
	})
}
