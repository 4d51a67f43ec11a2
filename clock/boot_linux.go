package clock

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, including the time during which it
// was suspended. The error is Internal.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, failure.Internal.Wrap(err, "the system has no clock that includes suspended time")
	}
	return time.Duration(t.Nano()), nil
}
