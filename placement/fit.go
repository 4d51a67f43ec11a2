// Package placement decides where and when tasks run: which upstream fits,
// which work comes first, what is refused early, and which upstreams are left
// alone. All of it is pure: inputs and the time are passed in, and what has to
// be done comes out.
package placement

// Resources is what one task takes of an upstream, next to a slot.
type Resources struct {
	CPU          float64 // cores
	MemoryMB     uint64
	Accelerators uint32
}

// FitsIn reports whether n fits into capacity.
func (n Resources) FitsIn(capacity Resources) bool {
	return n.CPU <= capacity.CPU && n.MemoryMB <= capacity.MemoryMB && n.Accelerators <= capacity.Accelerators
}

func (n Resources) plus(o Resources) Resources {
	return Resources{n.CPU + o.CPU, n.MemoryMB + o.MemoryMB, n.Accelerators + o.Accelerators}
}

// minus never goes below nothing, so that a repeated release does no harm.
func (n Resources) minus(o Resources) Resources {
	return Resources{max(n.CPU-o.CPU, 0), n.MemoryMB - min(o.MemoryMB, n.MemoryMB), n.Accelerators - min(o.Accelerators, n.Accelerators)}
}

// Upstream is what placement knows of one upstream.
type Upstream struct {
	ID       string
	Region   string
	Zone     string
	Rack     string
	Capacity Resources
	Slots    int
	Leaving  bool
}

// AnyLargeEnough reports whether some upstream could run a task with these needs if
// it were empty. With no upstream known the answer is yes: the list may lag.
func AnyLargeEnough(upstreams []Upstream, n Resources) bool {
	for i := range upstreams {
		if n.FitsIn(upstreams[i].Capacity) {
			return true
		}
	}
	return len(upstreams) == 0
}
