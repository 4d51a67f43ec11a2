package api

// The paths of the platform's interface.
const (
	PathKV               = "/v1/kv"        // GET ?key=&after=&wait_ms=, PUT
	PathPlatformLeases   = "/v1/leases"    // POST grants a lease, PUT renews it, DELETE revokes it
	PathPlatformInstance = "/v1/instances" // GET the list of instances
)

// KVEntry is a key of the key-value store with its value.
type KVEntry struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // increases with each write of the key; 0 if the key does not exist
}

// KVWrite is a compare-and-swap write. It takes effect only if the version of the key is
// Expect; 0 means that the key must not exist.
type KVWrite struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  string `json:"lease,omitempty"` // the key is deleted when this lease ends
}

// KVLease is a lease of the key-value store: keys tied to it are deleted when it ends.
type KVLease struct {
	ID    string `json:"id"`
	TTLMs int64  `json:"ttl_ms"`
}

// The roles of instances in the platform's list.
const (
	RoleEntry    = "entry"    // runs jobs for callers
	RoleUpstream = "upstream" // runs tasks
)

// PlatformInstance is one instance of the platform's list.
type PlatformInstance struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"` // where an upstream accepts starts of tasks, or an entry instance accepts connections of its peers
	// CallerAddress is the address on which an instance with RoleEntry accepts requests
	// of callers.
	CallerAddress string `json:"caller_address,omitempty"`
	Region        string `json:"region,omitempty"`
	Zone          string `json:"zone"`
	Rack          string `json:"rack"`
	Leaving       bool   `json:"leaving"`
	// The capacity of an upstream; empty for RoleEntry.
	CPU          float64 `json:"cpu,omitempty"`
	MemoryMB     uint64  `json:"memory_mb,omitempty"`
	Accelerators uint32  `json:"accelerators,omitempty"`
	Slots        int     `json:"slots,omitempty"`
	Connections  int     `json:"connections,omitempty"`
}

// PlatformInstances is the platform's list of instances, including those that are leaving.
type PlatformInstances struct {
	Instances []PlatformInstance `json:"instances"`
}
