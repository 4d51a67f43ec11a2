package api

// The paths of the platform's interface.
const (
	PathKV               = "/v1/kv"        // GET ?key=&after=&wait_ms=, PUT
	PathPlatformLeases   = "/v1/leases"    // POST grant, PUT renew, DELETE revoke
	PathPlatformInstance = "/v1/instances" // GET the list of instances
)

// KVEntry is one value of the key-value service.
type KVEntry struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // of this key; zero where it is absent
}

// KVWrite is a compare-and-swap: it takes effect only while the key's version
// is Expect; zero expects that the key is absent.
type KVWrite struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  string `json:"lease,omitempty"` // the key goes when this lease ends
}

// KVLease is a lease of the key-value service.
type KVLease struct {
	ID    string `json:"id"`
	TTLMs int64  `json:"ttl_ms"`
}

// The roles of instances in the platform's list.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// PlatformInstance is one instance of the platform's list.
type PlatformInstance struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"` // of an entry's inner listener, or of an upstream
	// CallerAddress is where an entry takes callers.
	CallerAddress string `json:"caller_address,omitempty"`
	Region        string `json:"region,omitempty"`
	Zone          string `json:"zone"`
	Rack          string `json:"rack"`
	Leaving       bool   `json:"leaving"`
	// Capacity of an upstream.
	CPU          float64 `json:"cpu,omitempty"`
	MemoryMB     uint64  `json:"memory_mb,omitempty"`
	Accelerators uint32  `json:"accelerators,omitempty"`
	Slots        int     `json:"slots,omitempty"`
	Connections  int     `json:"connections,omitempty"`
}

// PlatformInstances is the list of live and leaving instances.
type PlatformInstances struct {
	Instances []PlatformInstance `json:"instances"`
}
