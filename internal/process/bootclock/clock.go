// Package bootclock reads the time since the start of the machine, which goes on while the machine is suspended. Go's
// monotonic clock stands still then, so that a lease that lapsed during a suspension would still seem to hold.
//
// # Usage
//
//	since := bootclock.Now()
//	...
//	if bootclock.Now()-since > validity { ... }
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the fallback for kernels without the clock.
var start = time.Now()

// Now returns the time since the start of the machine. Only differences between two results have a meaning.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
