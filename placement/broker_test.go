package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs the scenarios in testdata, each a sequence of broker inputs with the
// expected grants.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		cfg := DefaultBrokerConfig
		cfg.MaxQueued = 20
		cfg.Health = HealthConfig{FailuresToEject: 2, MaxEjected: 0.5, FirstEjectionMs: 100, MaxEjectionMs: 1000, SlowFactor: 1.5}
		s := &scenario{cfg: cfg, b: NewBroker(cfg, 0)}
		datadriven.RunTest(t, path, s.step)
	})
}

type scenario struct {
	cfg BrokerConfig
	b   *Broker
	now int64
}

func (s *scenario) step(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		d.ScanArgs(t, "at", &s.now)
	}
	switch d.Cmd {
	case "order":
		s.cfg.Order = Order(strings.TrimSpace(d.Input))
		s.b = NewBroker(s.cfg, 0)
		return ""
	case "upstreams":
		return formatGrants(s.b.SetUpstreams(s.upstreams(t, d), s.now))
	case "request":
		return formatGrants(s.b.Request(s.request(t, d), s.now))
	case "release":
		s.b.Release(arg(t, d, "home", "h"), []ReleasedSlots{s.usage(t, d)}, s.now)
		return formatGrants(s.b.Tick(s.now))
	case "withdraw":
		s.b.Withdraw(arg(t, d, "home", "h"), []string{arg(t, d, "ticket", "")})
		return formatGrants(s.b.Tick(s.now))
	case "gone":
		return formatGrants(s.b.HandleHomeLost(arg(t, d, "home", "h"), s.now))
	case "sync":
		return formatGrants(s.sync(t, d))
	case "shares":
		s.b.SetShares(shares(t, d))
		return formatGrants(s.b.Tick(s.now))
	case "ask":
		return fmt.Sprintln("homes to ask:", s.b.HomesToAsk(s.now))
	case "tick":
		return formatGrants(s.b.Tick(s.now))
	case "state":
		return fmt.Sprintf("free %d, queued %d\n", s.b.FreeSlots(), s.b.QueuedTasks())
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func arg(t *testing.T, d *datadriven.TestData, key, fallback string) string {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &fallback)
	}
	return fallback
}

func num(t *testing.T, d *datadriven.TestData, key string, fallback int) int {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &fallback)
	}
	return fallback
}

// upstreams reads one upstream per line: ID, zone, slots, CPU cores, accelerators. A further
// word, whatever it is, means that the upstream is leaving.
func (s *scenario) upstreams(t *testing.T, d *datadriven.TestData) []Upstream {
	var list []Upstream
	for line := range strings.Lines(d.Input) {
		u := Upstream{Capacity: Resources{MemoryMB: 1000}}
		fields := strings.Fields(line)
		if _, err := fmt.Sscan(strings.Join(fields[:5], " "), &u.ID, &u.Zone, &u.Slots, &u.Capacity.CPU, &u.Capacity.Accelerators); err != nil {
			t.Fatal(err)
		}
		u.Leaving = len(fields) > 5
		list = append(list, u)
	}
	return list
}

func (s *scenario) request(t *testing.T, d *datadriven.TestData) Request {
	r := Request{
		Home: arg(t, d, "home", "h"), Ticket: arg(t, d, "ticket", "t"), Count: num(t, d, "count", 1),
		Needs:      Resources{CPU: float64(num(t, d, "cpu", 0)), Accelerators: uint32(num(t, d, "accelerators", 0))},
		RunMs:      float64(num(t, d, "run", 100)),
		DeadlineMs: int64(num(t, d, "deadline", 0)), Zone: arg(t, d, "zone", "z"), Service: arg(t, d, "service", "s"),
	}
	if d.HasArg("avoid") {
		r.AvoidZones = []string{arg(t, d, "avoid", "")}
	}
	return r
}

func (s *scenario) usage(t *testing.T, d *datadriven.TestData) ReleasedSlots {
	return ReleasedSlots{
		Upstream: arg(t, d, "upstream", "u"), Count: num(t, d, "count", 1), Service: arg(t, d, "service", "s"),
		RunMs: float64(num(t, d, "run", 0)), Failed: num(t, d, "failed", 0), HoldMs: int64(num(t, d, "hold", 0)),
	}
}

// shares reads one service per line: name, weight, maximum number of slots.
func shares(t *testing.T, d *datadriven.TestData) map[string]Share {
	all := map[string]Share{}
	for line := range strings.Lines(d.Input) {
		var name string
		var share Share
		if _, err := fmt.Sscan(line, &name, &share.Weight, &share.MaxSlots); err != nil {
			t.Fatal(err)
		}
		all[name] = share
	}
	return all
}

// sync reads the slots held by a home, one upstream per line: ID, number of slots.
func (s *scenario) sync(t *testing.T, d *datadriven.TestData) []Grant {
	var held []UpstreamSlots
	for line := range strings.Lines(d.Input) {
		var p UpstreamSlots
		if _, err := fmt.Sscan(line, &p.Upstream, &p.Count); err != nil {
			t.Fatal(err)
		}
		held = append(held, p)
	}
	return s.b.Sync(arg(t, d, "home", "h"), uint64(num(t, d, "sequence", 0)), held, nil, s.now)
}

func formatGrants(grants []Grant) string {
	var text strings.Builder
	for _, g := range grants {
		fmt.Fprintf(&text, "%s/%s:", g.Home, g.Ticket)
		for _, p := range g.Slots {
			fmt.Fprintf(&text, " %s=%d", p.Upstream, p.Count)
		}
		if g.Refusal != "" {
			fmt.Fprintf(&text, " refused %s, retry after %d", g.Refusal, g.RetryAfterMs)
		}
		text.WriteString("\n")
	}
	return text.String()
}
