// Package boottime reads the clock that counts the time since the machine was started,
// including the time for which it was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the machine.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Fails only on kernels before 2.6.39, which do not have the clock.
	}
	return time.Duration(t.Nano())
}
