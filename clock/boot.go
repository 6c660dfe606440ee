package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the machine's steady clock that goes on while the machine is
// suspended. Leases are measured on it: the clock behind time.Now stands still
// meanwhile. Its times have no relation to the date.
type Boot struct{}

// Now returns the time since the machine started as a time.
func (Boot) Now() time.Time {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		// The kernel has had this clock since 2.6.39, and the call has no
		// other way to fail.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(since.Unix())
}
