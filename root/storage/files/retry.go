package files

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// fullRetryInterval is the time between attempts to write to a full disk. There is no
// notification of free space, so the write is retried. The interval is short compared
// with the time that an operator takes to free space.
const fullRetryInterval = 200 * time.Millisecond

// RetryFS wraps a file system and retries writes to a full disk until there is space. A
// retry writes only the remaining bytes, so to the caller a full disk looks like a slow
// one. An error of Sync is returned without a retry, because the state on disk is then
// unknown.
type RetryFS struct {
	FS
	// onFull is called with waiting set when an operation on a file starts waiting for
	// space, and with waiting unset when that operation has succeeded or failed with
	// another error. It is not called when StopRetrying ends the wait.
	onFull func(name string, waiting bool)

	once    sync.Once
	stopped chan struct{}
}

// NewRetryFS returns a RetryFS that wraps fs.
func NewRetryFS(fs FS, onFull func(name string, waiting bool)) *RetryFS {
	return &RetryFS{FS: fs, onFull: onFull, stopped: make(chan struct{})}
}

// StopRetrying ends all waiting. From then on a full disk is returned as an error.
func (r *RetryFS) StopRetrying() { r.once.Do(func() { close(r.stopped) }) }

// Create creates a file, or truncates it if it exists.
func (r *RetryFS) Create(name string) (File, error) {
	var file File
	err := r.retryWhileFull(name, func() (err error) {
		file, err = r.FS.Create(name)
		return err
	})
	return r.wrap(name, file, err)
}

// Append opens an existing file for appending.
func (r *RetryFS) Append(name string) (File, error) {
	file, err := r.FS.Append(name)
	return r.wrap(name, file, err)
}

func (r *RetryFS) wrap(name string, file File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &retryFile{File: file, fs: r, name: name}, nil
}

// retryWhileFull calls try until it returns nil or an error other than that of a full
// disk, or until StopRetrying is called.
func (r *RetryFS) retryWhileFull(name string, try func() error) error {
	waiting := false
	for {
		err := try()
		if !isDiskFull(err) {
			if waiting {
				r.onFull(name, false)
			}
			return err
		}
		if !waiting {
			waiting = true
			r.onFull(name, true)
		}
		select {
		case <-r.stopped:
			return err
		case <-time.After(fullRetryInterval):
		}
	}
}

// isDiskFull reports whether err says that the disk or the quota is exhausted.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

type retryFile struct {
	File
	fs   *RetryFS
	name string
}

// Write appends all of data. It waits while the disk is full, unless StopRetrying was
// called.
func (f *retryFile) Write(data []byte) (int, error) {
	written := 0
	err := f.fs.retryWhileFull(f.name, func() error {
		n, err := f.File.Write(data[written:])
		written += n
		return err
	})
	return written, err
}
