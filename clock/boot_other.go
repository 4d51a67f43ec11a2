//go:build !linux

package clock

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

// sinceBoot always returns an Internal error: this package supports no clock that includes
// suspended time on this system.
func sinceBoot() (time.Duration, error) {
	return 0, failure.Internal.New("a clock that includes suspended time is not supported on this system")
}
