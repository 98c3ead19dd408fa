package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host was started. Unlike the monotonic clock of package time, it also counts the
// time for which the host was suspended, so that facts that expire do so while the process stands still.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the kernel has had this clock since version 2.6.39
	}
	return time.Duration(t.Nano())
}
