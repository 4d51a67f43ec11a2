// Package experiment runs a fleet in one process: entry instances, emulated
// upstreams and an emulated platform, connected over TCP on the loopback
// interface. It submits load, injects faults, and checks the invariants: that no
// task was started twice, according to the starts that the upstreams recorded, and
// that no slot stays held without a job.
//
// An entry instance accepts jobs of callers; an upstream runs their tasks. A slot
// is room for one task on an upstream. The home of a job is the entry instance
// that accepted the job. The witness of the job is the entry instance that
// replicates the home's record of task starts and takes over when the home is
// lost. A broker is the entry instance that allocates the slots of one pool of
// upstreams. The fate of a job is its final outcome for the caller.
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

// ZoneSpec is an availability zone of a cluster, with its numbers of entry
// instances and upstreams.
type ZoneSpec struct {
	Name      string
	Entries   int
	Upstreams int
}

// ClusterSpec describes a cluster. Most zero fields are replaced by defaults.
type ClusterSpec struct {
	Zones                []ZoneSpec
	Slots                int     // slots of each upstream
	CPU                  float64 // cores of each upstream
	MemoryMB             uint64  // memory of each upstream
	PerRack              int     // upstreams in each rack
	HeartbeatInterval    time.Duration
	Membership           membership.Config
	InstancePollInterval time.Duration // between reads of the platform's list of instances
	Dispatch             dispatch.Config
	Logger               *slog.Logger // nil discards all log entries
	Tracer               *tracing.Tracer
	UsageLag             time.Duration // maximum age of the upstreams' usage reports
	// Network adds latencies and network partitions to the connections that entry
	// instances open. If it is nil, the connections have neither.
	Network *Network
	// Settings is the settings tree, as INI text, that is in force from the start.
	Settings string
}

// platformZone is the zone that a Network has for the platform, so that the
// platform can be partitioned from the zones of the cluster.
const platformZone = "platform"

func (s *ClusterSpec) applyDefaults() {
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
	s.Logger = s.loggerOrDiscard()
}

// loggerOrDiscard returns the spec's logger, or one that discards all entries if
// there is none.
func (s *ClusterSpec) loggerOrDiscard() *slog.Logger {
	if s.Logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return s.Logger
}

// Cluster is a fleet that runs in this process.
type Cluster struct {
	Spec      ClusterSpec
	Platform  *standin.Platform
	Recorder  *standin.StartRecorder
	Upstreams []*standin.Upstream

	mu           sync.Mutex
	nodes        map[string]*entry.Node
	stoppedNodes []*entry.Node // killed or shut down; Messages still counts their messages
	losses       []Loss
	zoneOf       map[string]string       // zone of each entry instance, by name
	configs      map[string]entry.Config // configuration of each entry instance, by name; a restart reuses the addresses in it
	entryNames   []string
}

// StartCluster starts a cluster and waits until its entry instances have
// discovered each other and the upstreams.
func StartCluster(spec ClusterSpec) (*Cluster, error) {
	spec.applyDefaults()
	p, err := standin.StartPlatform("")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Spec: spec, Platform: p, Recorder: standin.NewStartRecorder(), nodes: map[string]*entry.Node{}, zoneOf: map[string]string{}, configs: map[string]entry.Config{}}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	c.setZone(c.Platform.Address(), platformZone)
	if err := c.writeInitialSettings(); err != nil {
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
			c.zoneOf[name] = z.Name
			c.entryNames = append(c.entryNames, name)
			if _, err := c.StartEntry(name); err != nil {
				return err
			}
		}
	}
	return c.AwaitMembers(len(c.entryNames), 10*time.Second)
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
	c.setZone(u.Address(), zone)
	c.Platform.PutInstance(u.Instance())
	return nil
}

// StartEntry starts an entry instance, or restarts it as a new incarnation.
func (c *Cluster) StartEntry(name string) (*entry.Node, error) {
	cfg := entry.Config{
		Fleet: "experiment", Instance: name, Zone: c.zoneOf[name], Rack: name + "-rack",
		ListenCallers: "127.0.0.1:0", ListenInner: "127.0.0.1:0", PlatformAddress: c.Platform.Address(),
		DrainTimeout: 30 * time.Second, HeartbeatInterval: c.Spec.HeartbeatInterval, InstancePollInterval: c.Spec.InstancePollInterval,
		Membership: c.Spec.Membership, Dispatch: c.Spec.Dispatch,
	}
	if previous, restarted := c.configs[name]; restarted {
		cfg.ListenCallers, cfg.ListenInner = previous.ListenCallers, previous.ListenInner
	}
	for other, otherConfig := range c.configs {
		if other != name {
			cfg.Seeds = append(cfg.Seeds, otherConfig.ListenInner)
		}
	}
	n, err := entry.New(cfg, c.hooks(name), c.Spec.Logger)
	if err != nil {
		return nil, err
	}
	cfg.ListenCallers, cfg.ListenInner = n.CallerAddress(), n.Instance().Address
	c.configs[name] = cfg
	c.setZone(n.Instance().Address, c.zoneOf[name])
	c.setZone(n.CallerAddress(), c.zoneOf[name])
	c.Platform.PutInstance(n.Instance())
	n.Run()
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	return n, nil
}

// hooks returns hooks that open the connections of an entry instance through the
// spec's Network, if there is one.
func (c *Cluster) hooks(name string) entry.Hooks {
	h := entry.Hooks{Tracer: c.Spec.Tracer}
	if c.Spec.Network == nil {
		return h
	}
	zone := c.zoneOf[name]
	dial := func(address string) (net.Conn, error) { return c.Spec.Network.Dial(zone, address) }
	h.DialInner = func(_ context.Context, address string) (net.Conn, error) { return dial(address) }
	h.DialUpstream = dial
	h.DialPlatform = dial
	return h
}

// setZone records the zone of an address in the spec's Network, if there is one.
func (c *Cluster) setZone(address, zone string) {
	if c.Spec.Network != nil {
		c.Spec.Network.SetZone(address, zone)
	}
}

// settingsStore returns a client of the settings that the platform stores.
func (c *Cluster) settingsStore() *settings.Store {
	return settings.NewStore(kv.NewClient(c.Platform.Address(), nil, nil), func() int64 { return time.Now().UnixMilli() })
}

// writeInitialSettings stores the spec's settings as the first revision.
func (c *Cluster) writeInitialSettings() error {
	if c.Spec.Settings == "" {
		return nil
	}
	_, _, err := c.settingsStore().Update(0, "experiment", func(*settings.Tree) (*settings.Tree, []error) { return settings.Parse(c.Spec.Settings) })
	return err
}

// AwaitMembers waits until all running entry instances are ready. An instance is
// ready when
//   - its membership table has count members, including itself;
//   - it has discovered all upstreams;
//   - it has applied the settings, if the spec has any.
func (c *Cluster) AwaitMembers(count int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		ready := true
		for _, n := range c.Nodes() {
			ready = ready && n.FleetSizeAtLeast(count, len(c.Upstreams)) && (c.Spec.Settings == "" || n.Revision() > 0)
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return failure.Timeout.New("entry instances did not discover each other within %v", timeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Nodes returns the running entry instances.
func (c *Cluster) Nodes() []*entry.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*entry.Node
	for _, name := range c.entryNames {
		if n := c.nodes[name]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

// Node returns the running entry instance with the given name, or nil.
func (c *Cluster) Node(name string) *entry.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// Names returns the names of all entry instances, running or not.
func (c *Cluster) Names() []string { return c.entryNames }

// removeNode takes an entry instance that is about to be ended out of the running
// ones. It returns the instance, or nil if it was not running.
func (c *Cluster) removeNode(name string) *entry.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	delete(c.nodes, name)
	if n != nil {
		c.stoppedNodes = append(c.stoppedNodes, n)
	}
	return n
}

// Loss records that an entry instance was killed, and when.
type Loss struct {
	Name string
	At   time.Time
}

// Losses returns which entry instances were killed so far, and when.
func (c *Cluster) Losses() []Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Loss(nil), c.losses...)
}

// KillEntry ends an entry instance abruptly. The instance stays in the platform's
// list of instances, as a crashed instance does for a while.
func (c *Cluster) KillEntry(name string) {
	if n := c.removeNode(name); n != nil {
		c.mu.Lock()
		c.losses = append(c.losses, Loss{name, time.Now()})
		c.mu.Unlock()
		n.Kill()
	}
}

// StopEntry shuts an entry instance down gracefully. It returns false if ctx was
// cancelled or the drain timeout passed before all work of the instance had ended,
// and true otherwise, also if the instance was not running.
func (c *Cluster) StopEntry(ctx context.Context, name string) bool {
	n := c.removeNode(name)
	return n == nil || n.Stop(ctx)
}

// CallerAddresses returns the addresses at which the running entry instances
// accept callers.
func (c *Cluster) CallerAddresses() []string {
	var list []string
	for _, n := range c.Nodes() {
		list = append(list, n.CallerAddress())
	}
	return list
}

// Client returns a client for the named caller. The client will call the entry
// instances that are running now.
func (c *Cluster) Client(caller string) (*client.Client, error) {
	return client.New(client.Config{Entries: c.CallerAddresses(), Caller: caller, Tracer: c.Spec.Tracer})
}

// Messages returns, by kind, the number of messages that the entry instances have
// sent so far, and the number of messages among these that were wasted, that is,
// turned out to be useless. It includes messages of instances that have ended.
func (c *Cluster) Messages() (sent, wasted map[string]int64) {
	c.mu.Lock()
	nodes := append([]*entry.Node(nil), c.stoppedNodes...)
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

// Close ends the entry instances, the upstreams and the platform.
func (c *Cluster) Close() {
	for _, name := range c.entryNames {
		c.KillEntry(name)
	}
	for _, u := range c.Upstreams {
		u.Close()
	}
	c.Platform.Close()
}

// slotReleaseTimeout is how long slots may stay held after the fate of the last
// job is known, because tasks of failed jobs keep running for a while. Slots that
// are held longer count as leaked.
const slotReleaseTimeout = 10 * time.Second

// LeakedSlots waits until no slots are held any more, but at most for
// slotReleaseTimeout, and returns the number of slots that are still held.
func (c *Cluster) LeakedSlots() int {
	deadline := time.Now().Add(slotReleaseTimeout)
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

// RunningTasks returns how many tasks are running on the upstreams.
func (c *Cluster) RunningTasks() int {
	running := 0
	for _, u := range c.Upstreams {
		running += u.Running()
	}
	return running
}

// tolerantMembership has long timeouts for clusters of many entry instances. With
// shorter ones, late heartbeats on a busy machine would count as lost instances.
var tolerantMembership = membership.Config{SuspectMs: 5000, DeadMs: 10000}

// addUnreachableUpstreams adds count upstreams to the platform's list of instances
// without starting them, to measure what it costs entry instances to track them.
func (c *Cluster) addUnreachableUpstreams(count int) {
	for i := range count {
		zone := c.Spec.Zones[i%len(c.Spec.Zones)].Name
		c.Platform.PutInstance(api.PlatformInstance{
			ID: fmt.Sprintf("idle-%d", i), Role: api.RoleUpstream, Address: "127.0.0.1:1", Zone: zone,
			CPU: 64, MemoryMB: 128 << 10, Slots: 8, Connections: 64,
		})
	}
}
