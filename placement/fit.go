// Package placement allocates the slots of upstreams to the tasks of jobs.
//
// A slot is the capacity of an upstream to run one task. Upstreams are grouped into pools,
// and one instance is the broker of each pool. The home of a job, the instance that accepted
// it, requests slots from a broker for the tasks of the job; a ticket identifies the
// request. The broker decides which upstream runs each task, which requests go first, and
// which are refused because they would miss their deadlines. It ejects upstreams whose tasks
// fail: they get no tasks for some time, and then a single task as a probe.
//
// The package also chooses the brokers, and the witnesses of permit logs. A permit log is
// the record in which a home notes the starts of tasks; its witness is another instance,
// which keeps a copy of it.
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

// minus returns the difference, with 0 in place of negative values, so that the release of
// more resources than are in use cannot make the amount negative.
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

// AnyLargeEnough reports whether one of the upstreams could run a task with these needs if
// the upstream were idle. For an empty list it returns true, because the list may be
// outdated.
func AnyLargeEnough(upstreams []Upstream, n Resources) bool {
	for i := range upstreams {
		if n.FitsIn(upstreams[i].Capacity) {
			return true
		}
	}
	return len(upstreams) == 0
}
