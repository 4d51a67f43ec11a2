package experiment

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/placement"

	"gopkg.in/ini.v1"
)

// Scenario is a cluster, a load and the faults that befall it, as an INI file
// says it.
type Scenario struct {
	Name    string
	Cluster ClusterSection
	Load    LoadSection
	Service []ServiceSection
	Faults  []FaultSection
}

// ClusterSection is the [cluster] section.
type ClusterSection struct {
	Zones        string  `ini:"zones"` // names, comma separated
	Entries      string  `ini:"entries"`
	Upstreams    string  `ini:"upstreams"`
	Slots        int     `ini:"slots"`
	CPU          float64 `ini:"cpu"`
	MemoryMB     uint64  `ini:"memory_mb"`
	PerRack      int     `ini:"per_rack"`
	BetweenUs    int64   `ini:"between_zones_us"` // one way
	CallersUs    int64   `ini:"to_callers_us"`    // one way
	Order        string  `ini:"order"`
	HeartbeatMs  int64   `ini:"heartbeat_ms"`
	ReleaseMs    int64   `ini:"release_delay_ms"`
	Witness      string  `ini:"witness"`
	Placing      string  `ini:"placing"`
	MaxQueued    int     `ini:"max_queued"`
	NoEjection   bool    `ini:"no_ejection"`
	PlatformLag  int64   `ini:"list_lag_ms"`
	SettingsText string  `ini:"settings"`
}

// LoadSection is the [load] section.
type LoadSection struct {
	Seconds float64 `ini:"seconds"`
	// Level is the offered load as a share of all slots.
	Level float64 `ini:"level"`
	// Scale is what run times are divided by.
	Scale float64 `ini:"scale"`
	Seed  uint64  `ini:"seed"`
}

// ServiceSection is a [service NAME] section. Run times are in milliseconds
// before scaling.
type ServiceSection struct {
	Name       string
	Share      float64   `ini:"share"` // of the offered load
	Callers    int       `ini:"callers"`
	MinTasks   int       `ini:"min_tasks"`
	MaxTasks   int       `ini:"max_tasks"`
	MedianMs   float64   `ini:"median_ms"`
	Sigma      float64   `ini:"sigma"`
	MinMs      float64   `ini:"min_ms"`
	MaxMs      float64   `ini:"max_ms"`
	LongMs     float64   `ini:"long_ms"`
	LongShare  float64   `ini:"long_share"`
	Declared   float64   `ini:"declared"`
	CPU        float64   `ini:"cpu"`
	MemoryMB   uint64    `ini:"memory_mb"`
	DeadlineMs int64     `ini:"deadline_ms"` // before scaling
	Resubmit   float64   `ini:"resubmit"`
	QuotaSlots int       `ini:"quota_slots"`
	CancelAt   []float64 `ini:"cancel_at"` // seconds
	Burst      float64   `ini:"burst"`
	BurstAt    float64   `ini:"burst_at"`
	BurstTo    float64   `ini:"burst_to"`
}

// FaultSection is a [fault NAME] section.
type FaultSection struct {
	Name   string
	At     float64 `ini:"at"`  // seconds
	For    float64 `ini:"for"` // seconds; zero is to the end
	Kind   string  `ini:"kind"`
	Target string  `ini:"target"` // names of instances or zones, comma separated
	Factor int64   `ini:"factor"`
}

// ReadScenario reads and checks a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Field(failure.InvalidInput, path, "cannot be read: %v", err)
	}
	return ParseScenario(path, raw)
}

// ParseScenario is LoadScenario for text at hand.
func ParseScenario(name string, raw []byte) (*Scenario, error) {
	file, err := ini.Load(raw)
	if err != nil {
		return nil, failure.Field(failure.InvalidInput, name, "is not INI: %v", err)
	}
	s := &Scenario{
		Name:    strings.TrimSuffix(name[strings.LastIndexByte(name, '/')+1:], ".ini"),
		Cluster: ClusterSection{Slots: 8, CPU: 64, MemoryMB: 128 << 10, PerRack: 6, HeartbeatMs: 500, Witness: "zone", Placing: "broker", Order: string(placement.OrderFIFO)},
		Load:    LoadSection{Seconds: 5, Level: 0.7, Scale: 4, Seed: 1},
	}
	for _, section := range file.Sections() {
		if err := s.take(section); err != nil {
			return nil, failure.Field(failure.InvalidInput, section.Name(), "%s: %v", name, err)
		}
	}
	return s, s.check()
}

func (s *Scenario) take(section *ini.Section) error {
	kind, name, _ := strings.Cut(section.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		return nil
	case "cluster":
		return section.StrictMapTo(&s.Cluster)
	case "load":
		return section.StrictMapTo(&s.Load)
	case "service":
		v := ServiceSection{Name: name, Share: 1, Callers: 16, MinTasks: 20, MaxTasks: 20, MedianMs: 250, Sigma: 0.8, MinMs: 50, MaxMs: 1000}
		err := section.StrictMapTo(&v)
		s.Service = append(s.Service, v)
		return err
	case "fault":
		v := FaultSection{Name: name}
		err := section.StrictMapTo(&v)
		s.Faults = append(s.Faults, v)
		return err
	default:
		return failure.Field(failure.InvalidInput, section.Name(), "is no section of a scenario")
	}
}

func (s *Scenario) check() error {
	if len(s.zones()) == 0 || len(s.Service) == 0 {
		return failure.Field(failure.InvalidInput, "cluster.zones", "a scenario needs zones and a service")
	}
	for _, f := range s.Faults {
		if _, known := faultKinds[f.Kind]; !known {
			return failure.Field(failure.InvalidInput, "fault "+f.Name+".kind", "is %q, which is no kind of fault", f.Kind)
		}
	}
	return nil
}

func (s *Scenario) zones() []ZoneSpec {
	names := fields(s.Cluster.Zones)
	entries, upstreams := fields(s.Cluster.Entries), fields(s.Cluster.Upstreams)
	var list []ZoneSpec
	for i, name := range names {
		list = append(list, ZoneSpec{Name: name, Entries: number(entries, i), Upstreams: number(upstreams, i)})
	}
	return list
}

func fields(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}

// number returns the i-th number of list, or the last one.
func number(list []string, i int) int {
	if len(list) == 0 {
		return 0
	}
	n := 0
	for _, r := range list[min(i, len(list)-1)] {
		n = n*10 + int(r-'0')
	}
	return n
}

// Run starts the scenario's cluster, runs its load through its faults, and
// returns what came of it.
func (s *Scenario) Run() (Report, error) {
	between, callers := micros(s.Cluster.BetweenUs), micros(s.Cluster.CallersUs)
	network := NewNetwork(func(from, to string) time.Duration {
		switch {
		case from == callersZone:
			return callers
		case from == to:
			return 0
		default:
			return between
		}
	})
	c, err := StartCluster(s.spec(network))
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	c.Platform.Faults.ListLagMs.Store(s.Cluster.PlatformLag)
	load := s.load(network, c)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.faults(c, network, stop)
	}()
	report, err := RunLoad(c, load)
	close(stop)
	<-done
	return report, err
}

// callersZone is where callers dial from.
const callersZone = "callers"

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (s *Scenario) spec(network *Network) ClusterSpec {
	broker := placement.DefaultBrokerConfig
	broker.Order = placement.Order(s.Cluster.Order)
	if s.Cluster.MaxQueued > 0 {
		broker.MaxQueued = s.Cluster.MaxQueued
	}
	if s.Cluster.NoEjection {
		broker.Health.MaxEjected = 0
	}
	heartbeat := time.Duration(s.Cluster.HeartbeatMs) * time.Millisecond
	return ClusterSpec{
		Zones: s.zones(), Slots: s.Cluster.Slots, CPU: s.Cluster.CPU, MemoryMB: s.Cluster.MemoryMB, PerRack: s.Cluster.PerRack,
		HeartbeatInterval: heartbeat, Network: network,
		Membership: membership.Config{SuspectMs: 3 * s.Cluster.HeartbeatMs, DeadMs: 6 * s.Cluster.HeartbeatMs},
		Dispatch: dispatch.Config{
			Broker: broker, Placement: dispatch.PlacementMode(s.Cluster.Placing), ReleaseDelay: time.Duration(s.Cluster.ReleaseMs) * time.Millisecond,
			UpstreamLostAfter: 2 * time.Second, WitnessTimeout: 2 * heartbeat,
		},
		Settings: "[fleet]\nwitness = " + s.Cluster.Witness + "\n" + s.quotas(),
	}
}

// quotas returns the settings of services that have a quota.
func (s *Scenario) quotas() string {
	text := ""
	for _, v := range s.Service {
		if v.QuotaSlots > 0 {
			text += fmt.Sprintf("[service %s]\nquota_slots = %d\n", v.Name, v.QuotaSlots)
		}
	}
	return text
}

func (s *Scenario) load(network *Network, c *Cluster) Load {
	slots := float64(len(c.Upstreams) * c.Spec.Slots)
	load := Load{Seed: s.Load.Seed, Duration: time.Duration(s.Load.Seconds * float64(time.Second))}
	shares := 0.0
	for _, v := range s.Service {
		shares += v.Share
	}
	for _, v := range s.Service {
		service := v.load(s.Load.Scale)
		perJob := service.RunMs.Mean() * float64(v.MinTasks+v.MaxTasks) / 2
		service.Rate = s.Load.Level * slots * 1000 / perJob * v.Share / shares
		load.Services = append(load.Services, service)
	}
	load.Dial = func(int) client.Config {
		return client.Config{Dial: func(address string) (net.Conn, error) { return network.Dial(callersZone, address) }}
	}
	return load
}

func (v *ServiceSection) load(scale float64) ServiceLoad {
	l := ServiceLoad{
		Name: v.Name, Callers: v.Callers, MinTasks: v.MinTasks, MaxTasks: v.MaxTasks,
		RunMs: Dist{
			Median: v.MedianMs / scale, Sigma: v.Sigma, Min: v.MinMs / scale, Max: v.MaxMs / scale,
			Long: v.LongMs / scale, LongShare: v.LongShare,
		},
		Declared: v.Declared, CPU: v.CPU, MemoryMB: v.MemoryMB, Resubmit: v.Resubmit,
		Deadline: time.Duration(float64(v.DeadlineMs) / scale * float64(time.Millisecond)),
		Burst:    v.Burst, BurstAt: seconds(v.BurstAt), BurstTo: seconds(v.BurstTo),
	}
	for _, at := range v.CancelAt {
		l.CancelAt = append(l.CancelAt, seconds(at))
	}
	slices.SortFunc(l.CancelAt, cmp.Compare[time.Duration])
	return l
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
