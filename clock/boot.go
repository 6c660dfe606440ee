package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the machine's monotonic clock that includes the time the machine is
// suspended (CLOCK_BOOTTIME). Leases are measured with it, because the monotonic
// clock of time.Now stops during suspension. Its times have no relation to the
// date.
type Boot struct{}

// Now returns the time since the machine booted, as an offset from the Unix
// epoch.
func (Boot) Now() time.Time {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		// Linux has had this clock since 2.6.39, and the call can't fail for
		// another reason.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(sinceBoot.Unix())
}
