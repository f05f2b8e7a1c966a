package files

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// roomRetry is the time between two tries to write to a full disk. Nothing tells
// when there is room; this is short beside the time that operators take to make it.
const roomRetry = 200 * time.Millisecond

// Patient is a file system that waits for room on a full disk. A write goes on
// with the rest of its bytes, so that callers see a slow disk. Errors of a sync are
// passed on: what is on disk is then unknown.
type Patient struct {
	FS
	// full is called when a file begins to wait and when it goes on.
	full func(name string, waits bool)

	once   sync.Once
	giveUp chan struct{}
}

// NewPatient returns a patient file system over another one.
func NewPatient(fs FS, full func(name string, waits bool)) *Patient {
	return &Patient{FS: fs, full: full, giveUp: make(chan struct{})}
}

// GiveUp ends all waiting, now and later: a full disk is an error from here on.
func (p *Patient) GiveUp() { p.once.Do(func() { close(p.giveUp) }) }

// Create makes an empty file or empties an existing one.
func (p *Patient) Create(name string) (File, error) {
	var file File
	err := p.patiently(name, func() (err error) {
		file, err = p.FS.Create(name)
		return err
	})
	return p.wrap(name, file, err)
}

// Append opens an existing file to write at its end.
func (p *Patient) Append(name string) (File, error) {
	file, err := p.FS.Append(name)
	return p.wrap(name, file, err)
}

func (p *Patient) wrap(name string, file File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &patientFile{File: file, fs: p, name: name}, nil
}

// patiently tries until there is room.
func (p *Patient) patiently(name string, try func() error) error {
	waits := false
	for {
		err := try()
		if !isFull(err) {
			if waits {
				p.full(name, false)
			}
			return err
		}
		if !waits {
			waits = true
			p.full(name, true)
		}
		select {
		case <-p.giveUp:
			return err
		case <-time.After(roomRetry):
		}
	}
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

type patientFile struct {
	File
	fs   *Patient
	name string
}

// Write appends all of data, or returns an error other than that of a full disk.
func (f *patientFile) Write(data []byte) (int, error) {
	written := 0
	err := f.fs.patiently(f.name, func() error {
		n, err := f.File.Write(data[written:])
		written += n
		return err
	})
	return written, err
}
