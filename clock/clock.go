// Package clock reads the time by which leases are measured. Go's monotonic clock, like
// every timeout built on it, stands still while a VM is suspended; a lease that was
// granted by another VM does not.
package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// bootTimeID is the Linux clock CLOCK_BOOTTIME, which counts the time in suspension.
const bootTimeID = 7

// leaseClock adds what a reading has advanced to the time of its start.
type leaseClock struct {
	start        time.Time
	startReading time.Duration
	reading      func() time.Duration
}

func newLeaseClock(reading func() time.Duration) *leaseClock {
	return &leaseClock{start: time.Now(), startReading: reading(), reading: reading}
}

func (c *leaseClock) now() time.Time { return c.start.Add(c.reading() - c.startReading) }

func (c *leaseClock) suspended() time.Duration {
	// In this order a pause between the two readings adds to the result.
	running := time.Since(c.start)
	return max(0, c.reading()-c.startReading-running)
}

var process = newLeaseClock(bootTime)

// Now returns the current time, which includes time in suspension. Its time of day is that
// of the start of the process plus the time since, so it does not follow changes of the
// system clock. Its results are not comparable with those of time.Now, which fall behind
// by each suspension.
func Now() time.Time { return process.now() }

// Suspended returns how long this VM was suspended since the process started. It is never
// less than the true value.
func Suspended() time.Duration { return process.suspended() }

// bootTime returns the reading of CLOCK_BOOTTIME.
func bootTime() time.Duration {
	var ts syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, bootTimeID, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		// Only a kernel older than Linux 2.6.39 lacks the clock.
		panic("clock: cannot read CLOCK_BOOTTIME: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}
