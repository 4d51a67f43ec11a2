//go:build !linux

package clock

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

// sinceBoot is for systems whose clock is not known here. The error is Internal.
func sinceBoot() (time.Duration, error) {
	return 0, failure.Internal.New("no clock that counts suspended time is known for this system")
}
