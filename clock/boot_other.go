//go:build !linux

package clock

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

// sinceBoot always fails: on this system no clock that includes suspended time is supported.
// The error is Internal.
func sinceBoot() (time.Duration, error) {
	return 0, failure.Internal.New("a clock that includes suspended time is not supported on this system")
}
