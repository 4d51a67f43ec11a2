// Package experiment runs entries, stand-in upstreams and a stand-in platform
// over TCP on the loopback in one process, loads them, and checks what must
// always hold from the upstreams' own records.
package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/entry"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/kv"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/settings"
	"github.com/sedgehatch/sedgehatch/standin"
	"github.com/sedgehatch/sedgehatch/tracing"
)

// ZoneSpec is one availability zone of a cluster.
type ZoneSpec struct {
	Name      string
	Entries   int
	Upstreams int
}

// ClusterSpec describes a cluster.
type ClusterSpec struct {
	Zones                []ZoneSpec
	Slots                int // of each upstream
	CPU                  float64
	MemoryMB             uint64
	PerRack              int // upstreams in one rack
	HeartbeatInterval    time.Duration
	Membership           membership.Config
	InstancePollInterval time.Duration
	Dispatch             dispatch.Config
	Logger               *slog.Logger
	Tracer               *tracing.Tracer
	UsageLag             time.Duration
	// Network delays and cuts what entries open; nil is the plain loopback.
	Network *Network
	// Settings is the tree, in INI, that is in force from the start.
	Settings string
}

// platformZone is where the platform is, for cuts.
const platformZone = "platform"

func (s *ClusterSpec) fill() {
	if s.Slots == 0 {
		s.Slots = 8
	}
	if s.CPU == 0 {
		s.CPU, s.MemoryMB = 64, 128<<10
	}
	if s.PerRack == 0 {
		s.PerRack = 6
	}
	if s.HeartbeatInterval == 0 {
		s.HeartbeatInterval = 500 * time.Millisecond
	}
	if s.Membership == (membership.Config{}) {
		s.Membership = membership.DefaultConfig
	}
	if s.InstancePollInterval == 0 {
		s.InstancePollInterval = 500 * time.Millisecond
	}
	s.Logger = s.quietLog()
}

// quietLog returns the spec's logger, or one that drops all.
func (s *ClusterSpec) quietLog() *slog.Logger {
	if s.Logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return s.Logger
}

// Cluster is a running fleet in one process.
type Cluster struct {
	Spec      ClusterSpec
	Platform  *standin.Platform
	Recorder  *standin.StartRecorder
	Upstreams []*standin.Upstream

	mu     sync.Mutex
	nodes  map[string]*entry.Node
	past   []*entry.Node // killed or stopped; their counters still count
	losses []Loss
	zones  map[string]string
	ports  map[string]entry.Config // where each entry listened first
	order  []string
}

// StartCluster starts a cluster and waits until its entries know each other.
func StartCluster(spec ClusterSpec) (*Cluster, error) {
	spec.fill()
	p, err := standin.StartPlatform("")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Spec: spec, Platform: p, Recorder: standin.NewStartRecorder(), nodes: map[string]*entry.Node{}, zones: map[string]string{}, ports: map[string]entry.Config{}}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	c.locate(c.Platform.Address(), platformZone)
	if err := c.putSettings(); err != nil {
		return err
	}
	for _, z := range c.Spec.Zones {
		for i := range z.Upstreams {
			if err := c.addUpstream(z.Name, i); err != nil {
				return err
			}
		}
		for i := range z.Entries {
			name := fmt.Sprintf("%s-e%d", z.Name, i)
			c.zones[name] = z.Name
			c.order = append(c.order, name)
			if _, err := c.StartEntry(name); err != nil {
				return err
			}
		}
	}
	return c.AwaitMembers(len(c.order), 10*time.Second)
}

func (c *Cluster) addUpstream(zone string, i int) error {
	u, err := standin.StartUpstream(standin.UpstreamConfig{
		Info: api.UpstreamInfo{
			ID: fmt.Sprintf("%s-u%d", zone, i), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/c.Spec.PerRack),
			CPU: c.Spec.CPU, MemoryMB: c.Spec.MemoryMB, Slots: c.Spec.Slots, Connections: 64,
		},
		Recorder: c.Recorder, UsageLag: c.Spec.UsageLag,
	})
	if err != nil {
		return err
	}
	c.Upstreams = append(c.Upstreams, u)
	c.locate(u.Address(), zone)
	c.Platform.PutInstance(u.Instance())
	return nil
}

// StartEntry starts an entry, or starts it again as a new incarnation.
func (c *Cluster) StartEntry(name string) (*entry.Node, error) {
	cfg := entry.Config{
		Fleet: "experiment", Instance: name, Zone: c.zones[name], Rack: name + "-rack",
		ListenCallers: "127.0.0.1:0", ListenInner: "127.0.0.1:0", PlatformAddress: c.Platform.Address(),
		DrainTimeout: 30 * time.Second, HeartbeatInterval: c.Spec.HeartbeatInterval, InstancePollInterval: c.Spec.InstancePollInterval,
		Membership: c.Spec.Membership, Dispatch: c.Spec.Dispatch,
	}
	if before, again := c.ports[name]; again {
		cfg.ListenCallers, cfg.ListenInner = before.ListenCallers, before.ListenInner
	}
	for other, listens := range c.ports {
		if other != name {
			cfg.Seeds = append(cfg.Seeds, listens.ListenInner)
		}
	}
	n, err := entry.New(cfg, c.hooks(name), c.Spec.Logger)
	if err != nil {
		return nil, err
	}
	cfg.ListenCallers, cfg.ListenInner = n.CallerAddress(), n.Instance().Address
	c.ports[name] = cfg
	c.locate(n.Instance().Address, c.zones[name])
	c.locate(n.CallerAddress(), c.zones[name])
	c.Platform.PutInstance(n.Instance())
	n.Run()
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	return n, nil
}

// hooks sends what an entry opens through the network.
func (c *Cluster) hooks(name string) entry.Hooks {
	h := entry.Hooks{Tracer: c.Spec.Tracer}
	if c.Spec.Network == nil {
		return h
	}
	zone := c.zones[name]
	dial := func(address string) (net.Conn, error) { return c.Spec.Network.Dial(zone, address) }
	h.DialInner = func(_ context.Context, address string) (net.Conn, error) { return dial(address) }
	h.DialUpstream = dial
	h.DialPlatform = dial
	return h
}

// locate tells the network where an address is.
func (c *Cluster) locate(address, zone string) {
	if c.Spec.Network != nil {
		c.Spec.Network.SetZone(address, zone)
	}
}

// store returns the settings at the platform.
func (c *Cluster) store() *settings.Store {
	return settings.NewStore(kv.NewClient(c.Platform.Address(), nil, nil), func() int64 { return time.Now().UnixMilli() })
}

// putSettings makes the spec's settings the first revision.
func (c *Cluster) putSettings() error {
	if c.Spec.Settings == "" {
		return nil
	}
	_, _, err := c.store().Update(0, "experiment", func(*settings.Tree) (*settings.Tree, []error) { return settings.Parse(c.Spec.Settings) })
	return err
}

// AwaitMembers waits until every entry hears want entries, itself included,
// and knows the upstreams.
func (c *Cluster) AwaitMembers(want int, within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		ready := true
		for _, n := range c.Nodes() {
			ready = ready && n.FleetSizeAtLeast(want, len(c.Upstreams)) && (c.Spec.Settings == "" || n.Revision() > 0)
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return failure.Timeout.New("the entries did not find each other within %v", within)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Nodes returns the entries that run.
func (c *Cluster) Nodes() []*entry.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*entry.Node
	for _, name := range c.order {
		if n := c.nodes[name]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

// Node returns a running entry by name, or nil.
func (c *Cluster) Node(name string) *entry.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// Names returns the names of all entries, running or not.
func (c *Cluster) Names() []string { return c.order }

// take removes an entry from those that run.
func (c *Cluster) take(name string) *entry.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	delete(c.nodes, name)
	if n != nil {
		c.past = append(c.past, n)
	}
	return n
}

// Loss is an entry that was killed, and when.
type Loss struct {
	Name string
	At   time.Time
}

// Losses returns the entries that were killed so far.
func (c *Cluster) Losses() []Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Loss(nil), c.losses...)
}

// KillEntry ends an entry abruptly. The platform's list keeps it for a while,
// as it would.
func (c *Cluster) KillEntry(name string) {
	if n := c.take(name); n != nil {
		c.mu.Lock()
		c.losses = append(c.losses, Loss{name, time.Now()})
		c.mu.Unlock()
		n.Kill()
	}
}

// StopEntry stops an entry as planned, and reports whether it drained.
func (c *Cluster) StopEntry(ctx context.Context, name string) bool {
	n := c.take(name)
	return n == nil || n.Stop(ctx)
}

// CallerAddresses returns where the running entries take callers.
func (c *Cluster) CallerAddresses() []string {
	var list []string
	for _, n := range c.Nodes() {
		list = append(list, n.CallerAddress())
	}
	return list
}

// Client returns a client of the running entries.
func (c *Cluster) Client(caller string) (*client.Client, error) {
	return client.New(client.Config{Entries: c.CallerAddresses(), Caller: caller, Tracer: c.Spec.Tracer})
}

// Messages returns what all entries sent so far, and what of it was wasted, by
// kind.
func (c *Cluster) Messages() (sent, wasted map[string]int64) {
	c.mu.Lock()
	nodes := append([]*entry.Node(nil), c.past...)
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	c.mu.Unlock()
	sent, wasted = map[string]int64{}, map[string]int64{}
	for _, n := range nodes {
		n.Metrics().AddMessagesTo(sent, wasted)
	}
	return sent, wasted
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, name := range c.order {
		c.KillEntry(name)
	}
	for _, u := range c.Upstreams {
		u.Close()
	}
	c.Platform.Close()
}

// idleWait is how long places may stay held after the last job's fate: tasks
// of failed jobs run on for a while.
const idleWait = 10 * time.Second

// LeakedSlots waits until nothing is held any more, and returns how many places are
// held all the same.
func (c *Cluster) LeakedSlots() int {
	deadline := time.Now().Add(idleWait)
	for {
		held := 0
		for _, n := range c.Nodes() {
			held += n.HeldSlots()
		}
		if held == 0 || time.Now().After(deadline) {
			return held
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// RunningTasks returns how many tasks run at the upstreams now.
func (c *Cluster) RunningTasks() int {
	running := 0
	for _, u := range c.Upstreams {
		running += u.Running()
	}
	return running
}

// quietMembership fits many entries on one machine, where silence may mean that
// the machine is busy.
var quietMembership = membership.Config{SuspectMs: 5000, DeadMs: 10000}

// listIdle lists upstreams that do not run, to see what knowing them costs.
func (c *Cluster) listIdle(count int) {
	for i := range count {
		zone := c.Spec.Zones[i%len(c.Spec.Zones)].Name
		c.Platform.PutInstance(api.PlatformInstance{
			ID: fmt.Sprintf("idle-%d", i), Role: api.RoleUpstream, Address: "127.0.0.1:1", Zone: zone,
			CPU: 64, MemoryMB: 128 << 10, Slots: 8, Connections: 64,
		})
	}
}
