package fleet

import "time"

// Instance is what a process learns of itself and its surroundings when it
// starts.
type Instance struct {
	Name   string
	Zone   string
	Region string
	// The listeners, hosts and ports.
	CustomerAddress  string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string
	// SeedPeers are the peer addresses of a few instances, which may be stale.
	SeedPeers []string
	// FirstStart is true at the first start of the whole system.
	FirstStart bool

	CPUShare float64 // of a core
	LinkRate float64 // bytes a second of its network link; 0 where it is not known

	StoreAddress string
	MinLeaseTTL  time.Duration // that the store accepts

	Timing Timing
}

// InstanceEntry is what an instance tells the others of itself through the store.
type InstanceEntry struct {
	Address string // of the listener for peers
	Region  string
	Zone    string
	Share   float64 // of a processor
}

// Timing holds the bounds that an installation sets.
type Timing struct {
	MaxTaskLease         time.Duration // that upstreams grant
	Grace                time.Duration // from SIGTERM to SIGKILL
	MinOwnershipInterval time.Duration // in which two holders must not take turns
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
}
