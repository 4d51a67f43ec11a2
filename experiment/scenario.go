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

// Scenario is the contents of a scenario file in INI format: a cluster, a load and
// the faults to inject.
type Scenario struct {
	Name     string
	Cluster  ClusterSection
	Load     LoadSection
	Services []ServiceSection
	Faults   []FaultSection
}

// ClusterSection is the [cluster] section.
type ClusterSection struct {
	Zones          string  `ini:"zones"`            // names, comma separated
	Entries        string  `ini:"entries"`          // number in each zone, comma separated; the last number also applies to all further zones
	Upstreams      string  `ini:"upstreams"`        // number in each zone, comma separated; the last number also applies to all further zones
	Slots          int     `ini:"slots"`            // slots of each upstream
	CPU            float64 `ini:"cpu"`              // cores of each upstream
	MemoryMB       uint64  `ini:"memory_mb"`        // memory of each upstream
	PerRack        int     `ini:"per_rack"`         // upstreams in each rack
	BetweenZonesUs int64   `ini:"between_zones_us"` // one-way latency between zones, microseconds
	ToCallersUs    int64   `ini:"to_callers_us"`    // one-way latency from callers to entry instances, microseconds
	Order          string  `ini:"order"`            // order in which a broker serves waiting tasks
	HeartbeatMs    int64   `ini:"heartbeat_ms"`
	ReleaseDelayMs int64   `ini:"release_delay_ms"` // how long entry instances keep free slots in order to return several together
	Witness        string  `ini:"witness"`          // where witnesses are chosen: none is no witness, zone the home's zone, region another zone if there is one
	Placement      string  `ini:"placing"`          // how instances share upstreams: broker, static, guess or probe
	MaxQueued      int     `ini:"max_queued"`       // tasks that may wait at a broker
	NoEjection     bool    `ini:"no_ejection"`      // upstreams get tasks even if their tasks keep failing
	ListLagMs      int64   `ini:"list_lag_ms"`      // age of the platform's list of instances
	Settings       string  `ini:"settings"`         // accepted, but without effect
}

// LoadSection is the [load] section.
type LoadSection struct {
	Seconds float64 `ini:"seconds"`
	// Level is the offered load as a share of the capacity of all slots.
	Level float64 `ini:"level"`
	// Scale is the number by which all run times and deadlines of the scenario are
	// divided, so that the scenario runs faster.
	Scale float64 `ini:"scale"`
	Seed  uint64  `ini:"seed"`
}

// ServiceSection is a [service NAME] section. Run times are in milliseconds and are
// divided by LoadSection.Scale.
type ServiceSection struct {
	Name       string
	Share      float64   `ini:"share"` // weight of the service when the offered load is divided among the services
	Callers    int       `ini:"callers"`
	MinTasks   int       `ini:"min_tasks"`
	MaxTasks   int       `ini:"max_tasks"`
	MedianMs   float64   `ini:"median_ms"`
	Sigma      float64   `ini:"sigma"`
	MinMs      float64   `ini:"min_ms"`
	MaxMs      float64   `ini:"max_ms"`
	LongMs     float64   `ini:"long_ms"`    // maximum run time of the tasks in LongShare
	LongShare  float64   `ini:"long_share"` // share of tasks that run between MaxMs and LongMs
	Declared   float64   `ini:"declared"`   // declared run time, as a multiple of the actual one
	CPU        float64   `ini:"cpu"`
	MemoryMB   uint64    `ini:"memory_mb"`
	DeadlineMs int64     `ini:"deadline_ms"` // divided by LoadSection.Scale
	Resubmit   float64   `ini:"resubmit"`    // share of jobs that are resubmitted while they run
	QuotaSlots int       `ini:"quota_slots"`
	CancelAt   []float64 `ini:"cancel_at"` // seconds since the start
	Burst      float64   `ini:"burst"`     // factor of the rate from BurstAt to BurstTo
	BurstAt    float64   `ini:"burst_at"`  // seconds since the start
	BurstTo    float64   `ini:"burst_to"`  // seconds since the start
}

// FaultSection is a [fault NAME] section.
type FaultSection struct {
	Name   string
	At     float64 `ini:"at"`  // seconds since the start
	For    float64 `ini:"for"` // duration in seconds; zero means until the end of the run
	Kind   string  `ini:"kind"`
	Target string  `ini:"target"` // names of instances or zones, or prefixes of upstream IDs, comma separated
	Factor int64   `ini:"factor"` // factor of run times (straggle) or number of kills (losses)
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Field(failure.InvalidInput, path, "cannot be read: %v", err)
	}
	return ParseScenario(path, raw)
}

// ParseScenario parses and validates the text of a scenario. The scenario's name
// is the base name of name without the suffix ".ini".
func ParseScenario(name string, raw []byte) (*Scenario, error) {
	file, err := ini.Load(raw)
	if err != nil {
		return nil, failure.Field(failure.InvalidInput, name, "is not valid INI: %v", err)
	}
	s := &Scenario{
		Name:    strings.TrimSuffix(name[strings.LastIndexByte(name, '/')+1:], ".ini"),
		Cluster: ClusterSection{Slots: 8, CPU: 64, MemoryMB: 128 << 10, PerRack: 6, HeartbeatMs: 500, Witness: "zone", Placement: "broker", Order: string(placement.OrderFIFO)},
		Load:    LoadSection{Seconds: 5, Level: 0.7, Scale: 4, Seed: 1},
	}
	for _, section := range file.Sections() {
		if err := s.parseSection(section); err != nil {
			return nil, failure.Field(failure.InvalidInput, section.Name(), "%s: %v", name, err)
		}
	}
	return s, s.validate()
}

func (s *Scenario) parseSection(section *ini.Section) error {
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
		s.Services = append(s.Services, v)
		return err
	case "fault":
		v := FaultSection{Name: name}
		err := section.StrictMapTo(&v)
		s.Faults = append(s.Faults, v)
		return err
	default:
		return failure.Field(failure.InvalidInput, section.Name(), "is not a section of a scenario")
	}
}

func (s *Scenario) validate() error {
	if len(s.zones()) == 0 || len(s.Services) == 0 {
		return failure.Field(failure.InvalidInput, "cluster.zones", "a scenario needs at least one zone and one service")
	}
	for _, f := range s.Faults {
		if _, ok := faultKinds[f.Kind]; !ok {
			return failure.Field(failure.InvalidInput, "fault "+f.Name+".kind", "is %q, which is not a known kind of fault", f.Kind)
		}
	}
	return nil
}

func (s *Scenario) zones() []ZoneSpec {
	names := splitList(s.Cluster.Zones)
	entries, upstreams := splitList(s.Cluster.Entries), splitList(s.Cluster.Upstreams)
	var list []ZoneSpec
	for i, name := range names {
		list = append(list, ZoneSpec{Name: name, Entries: numberAt(entries, i), Upstreams: numberAt(upstreams, i)})
	}
	return list
}

// splitList splits a list at commas and spaces.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}

// numberAt returns the number at index i of list, or the last one if the list is
// shorter. For an empty list, it returns zero.
func numberAt(list []string, i int) int {
	if len(list) == 0 {
		return 0
	}
	n := 0
	for _, r := range list[min(i, len(list)-1)] {
		n = n*10 + int(r-'0')
	}
	return n
}

// Run starts the scenario's cluster, submits its load while it injects the
// faults, and returns the report.
func (s *Scenario) Run() (Report, error) {
	betweenZones, toCallers := microseconds(s.Cluster.BetweenZonesUs), microseconds(s.Cluster.ToCallersUs)
	network := NewNetwork(func(from, to string) time.Duration {
		switch {
		case from == callersZone:
			return toCallers
		case from == to:
			return 0
		default:
			return betweenZones
		}
	})
	c, err := StartCluster(s.clusterSpec(network))
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	c.Platform.Faults.ListLagMs.Store(s.Cluster.ListLagMs)
	load := s.buildLoad(network, c)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.injectFaults(c, network, stop)
	}()
	report, err := RunLoad(c, load)
	close(stop)
	<-done
	return report, err
}

// callersZone is the zone that a Network has for all callers, none of which is in a
// zone of the cluster.
const callersZone = "callers"

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (s *Scenario) clusterSpec(network *Network) ClusterSpec {
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
			Broker: broker, Placement: dispatch.PlacementMode(s.Cluster.Placement), ReleaseDelay: time.Duration(s.Cluster.ReleaseDelayMs) * time.Millisecond,
			UpstreamLostAfter: 2 * time.Second, WitnessTimeout: 2 * heartbeat,
		},
		Settings: "[fleet]\nwitness = " + s.Cluster.Witness + "\n" + s.quotaSettings(),
	}
}

// quotaSettings returns, as INI text, the settings of the services with a quota.
func (s *Scenario) quotaSettings() string {
	text := ""
	for _, v := range s.Services {
		if v.QuotaSlots > 0 {
			text += fmt.Sprintf("[service %s]\nquota_slots = %d\n", v.Name, v.QuotaSlots)
		}
	}
	return text
}

func (s *Scenario) buildLoad(network *Network, c *Cluster) Load {
	slots := float64(len(c.Upstreams) * c.Spec.Slots)
	load := Load{Seed: s.Load.Seed, Duration: time.Duration(s.Load.Seconds * float64(time.Second))}
	totalShare := 0.0
	for _, v := range s.Services {
		totalShare += v.Share
	}
	for _, v := range s.Services {
		service := v.serviceLoad(s.Load.Scale)
		runMsPerJob := service.RunMs.Mean() * float64(v.MinTasks+v.MaxTasks) / 2
		service.Rate = s.Load.Level * slots * 1000 / runMsPerJob * v.Share / totalShare
		load.Services = append(load.Services, service)
	}
	load.ClientConfig = func(int) client.Config {
		return client.Config{Dial: func(address string) (net.Conn, error) { return network.Dial(callersZone, address) }}
	}
	return load
}

func (v *ServiceSection) serviceLoad(scale float64) ServiceLoad {
	l := ServiceLoad{
		Name: v.Name, Callers: v.Callers, MinTasks: v.MinTasks, MaxTasks: v.MaxTasks,
		RunMs: Dist{
			Median: v.MedianMs / scale, Sigma: v.Sigma, Min: v.MinMs / scale, Max: v.MaxMs / scale,
			LongMax: v.LongMs / scale, LongShare: v.LongShare,
		},
		DeclaredFactor: v.Declared, CPU: v.CPU, MemoryMB: v.MemoryMB, Resubmit: v.Resubmit,
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
