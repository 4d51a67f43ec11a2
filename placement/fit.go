// Package placement allocates the slots of upstreams to the tasks of jobs.
//
// Upstreams are grouped into pools, and one instance is the broker of each pool. The
// instance that accepted a job, its home, requests slots from a broker for the tasks of the
// job; a ticket identifies the request. The broker decides which upstream runs each task,
// which requests go first, which are refused because they would be late, and which upstreams
// are ejected because their tasks fail. The package also chooses the brokers, and the
// witnesses that replicate the permit logs of homes.
//
// The package does no I/O and reads no clock: inputs and the time are passed in, and the
// resulting grants are returned.
package placement

// Resources is an amount of CPU, memory and accelerators: what a task needs besides its slot,
// or what an upstream offers.
type Resources struct {
	CPU          float64 // cores
	MemoryMB     uint64
	Accelerators uint32
}

// FitsIn reports whether n exceeds capacity in no resource.
func (n Resources) FitsIn(capacity Resources) bool {
	return n.CPU <= capacity.CPU && n.MemoryMB <= capacity.MemoryMB && n.Accelerators <= capacity.Accelerators
}

func (n Resources) plus(o Resources) Resources {
	return Resources{n.CPU + o.CPU, n.MemoryMB + o.MemoryMB, n.Accelerators + o.Accelerators}
}

// minus returns the difference, at least 0 for each resource, so that resources that are
// released twice do no harm.
func (n Resources) minus(o Resources) Resources {
	return Resources{max(n.CPU-o.CPU, 0), n.MemoryMB - min(o.MemoryMB, n.MemoryMB), n.Accelerators - min(o.Accelerators, n.Accelerators)}
}

// Upstream describes one upstream.
type Upstream struct {
	ID       string
	Region   string
	Zone     string
	Rack     string
	Capacity Resources
	Slots    int  // maximum number of concurrent tasks
	Leaving  bool // it is shutting down and gets no more tasks
}

// AnyLargeEnough reports whether some upstream could run a task with these needs if it were
// idle. It also returns true if there are no upstreams, because their list may be outdated.
func AnyLargeEnough(upstreams []Upstream, n Resources) bool {
	for i := range upstreams {
		if n.FitsIn(upstreams[i].Capacity) {
			return true
		}
	}
	return len(upstreams) == 0
}
