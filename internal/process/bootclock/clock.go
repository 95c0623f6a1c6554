// Package bootclock reads the time since the machine booted, which includes the time in which the machine was suspended.
// Go's monotonic clock stops during a suspension, so with it a lease that expired in that time would still seem valid.
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

// start is the reference time of the fallback for kernels without CLOCK_BOOTTIME.
var start = time.Now()

// Now returns the time since the machine booted, or since the start of the process on kernels without CLOCK_BOOTTIME. Only
// differences between two results are meaningful.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
