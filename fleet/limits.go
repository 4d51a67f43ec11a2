package fleet

import "time"

// Limits of the values that customers, operators and upstreams supply. Within them, sums over all
// tasks and upstreams of a deployment stay far below the range of int64.
const (
	// MaxTasks is the maximum number of tasks of a step.
	MaxTasks = 10_000
	// MaxResource is the maximum amount of each resource of a task or an upstream.
	MaxResource = 1 << 40
	// MaxDuration is the maximum of estimates, timeouts and the slack of a route.
	MaxDuration = 24 * time.Hour
	// MaxStretch is the maximum stretch of a route.
	MaxStretch = 1000
)
