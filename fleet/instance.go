package fleet

import "time"

// Instance holds the settings with which an instance of sedgehatch starts.
type Instance struct {
	Name   string
	Zone   string
	Region string
	// The addresses of its listeners, as host:port.
	CustomerAddress  string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string
	// SeedPeers are the PeerAddresses of a few instances, which may be outdated. The
	// instance contacts them while it knows no other peers.
	SeedPeers []string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool

	CPUShare float64 // fraction of a core that the instance may use
	LinkRate float64 // speed of the instance's network link in bytes per second; 0 if unknown

	StoreAddress string
	MinLeaseTTL  time.Duration // shortest time to live that the store accepts for its leases

	Timing Timing
}

// InstanceEntry is the entry of an instance in the store, by which other instances find it.
type InstanceEntry struct {
	Address string // address of the listener for peers
	Region  string
	Zone    string
	Share   float64 // fraction of a core, as Instance.CPUShare
}

// Timing holds the properties of an installation that concern time, as set by its operators.
type Timing struct {
	MaxTaskLease         time.Duration // longest lease that upstreams grant to a task
	Grace                time.Duration // time between SIGTERM and SIGKILL
	MinOwnershipInterval time.Duration // the ownership of an upstream must not move to another instance and back within this time
	// RemoteFactor is how many times longer a task takes on an upstream outside the rack of
	// its data.
	RemoteFactor float64
}
