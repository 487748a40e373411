// Package boottime reads a clock that includes the time in which the machine was
// suspended, which the monotonic clock of package time does not.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin.
type Clock func() time.Duration

// Now reads the boot-time clock of the machine. It falls back to the wall clock
// when the machine has no boot-time clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
