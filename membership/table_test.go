package membership

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs the scenarios in testdata. It compares the changes of state that each input
// causes with the expected ones.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := NewTable(Config{SuspectMs: 100, DeadMs: 300})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var changes []Change
			var b strings.Builder
			now := int64(0)
			if d.HasArg("at") {
				d.ScanArgs(t, "at", &now)
			}
			switch d.Cmd {
			case "list":
				var list []Listing
				for _, name := range strings.Fields(d.Input) {
					list = append(list, Listing{Instance: name, Address: name + ":1", Zone: "z"})
				}
				table.SetListed(list)
			case "met":
				table.ApplyHello(Listing{Instance: strings.TrimSpace(d.Input), Address: strings.TrimSpace(d.Input) + ":2", Zone: "z"})
			case "address":
				address, _ := table.Address(strings.TrimSpace(d.Input))
				return address + "\n"
			case "heard":
				var who string
				d.ScanArgs(t, "from", &who)
				changes = table.RecordHeartbeat(fate.Incarnation(who), Heartbeat{Leaving: d.HasArg("leaving")}, now)
			case "ended":
				var who string
				d.ScanArgs(t, "who", &who)
				changes = table.MarkEnded(fate.Incarnation(who))
			case "tick":
				changes = table.Tick(now)
			case "stalled-tick":
				stalled := table.DetectStall(now)
				changes = table.Tick(now)
				fmt.Fprintf(&b, "stalled for %d ms\n", stalled)
			case "peers":
				return describe(table)
			}
			for _, c := range changes {
				fmt.Fprintf(&b, "%s: %s -> %s\n", c.Peer.Incarnation, c.Previous, c.Peer.State)
			}
			return b.String()
		})
	})
}

func describe(t *Table) string {
	var b strings.Builder
	for p := range t.All() {
		fmt.Fprintf(&b, "%s %s %s\n", p.Instance, p.Incarnation, p.State)
	}
	return b.String()
}

// TestMayBeRunning checks for how long an incarnation may be running although it is silent.
func TestMayBeRunning(t *testing.T) {
	const silenceMs = 1000
	table := NewTable(Config{SuspectMs: 100, DeadMs: 300})
	table.SetListed([]Listing{{Instance: "a"}})
	check := func(what string, incarnation fate.Incarnation, now int64, want bool) {
		t.Helper()
		if got := table.MayBeRunning(incarnation, now, silenceMs); got != want {
			t.Errorf("%s: may be running %v, want %v", what, got, want)
		}
	}
	check("listed, not heard yet", "a.1", 0, true)
	check("unknown", "b.1", 0, false)
	table.RecordHeartbeat("a.1", Heartbeat{}, 0)
	table.Tick(400)
	check("dead, but silent only", "a.1", 400, true)
	check("silent for too long", "a.1", silenceMs+1, false)
	table.RecordHeartbeat("a.1", Heartbeat{}, 1500)
	check("heard again", "a.1", 1500, true)
	table.MarkEnded("a.1")
	check("ended", "a.1", 1500, false)
	table.RecordHeartbeat("a.2", Heartbeat{Leaving: true}, 1600)
	check("replaced", "a.1", 1600, false)
	check("leaving", "a.2", 1600, true)
}

// TestHasEnded checks that only an incarnation that has certainly ended counts as such, and not one
// that is silent or that the table does not know.
func TestHasEnded(t *testing.T) {
	table := NewTable(Config{SuspectMs: 100, DeadMs: 300})
	check := func(what string, want bool) {
		t.Helper()
		if got := table.HasEnded("a"); got != want {
			t.Errorf("%s: has ended %v, want %v", what, got, want)
		}
	}
	check("unknown", false)
	table.RecordHeartbeat("a.1", Heartbeat{}, 0)
	table.Tick(400)
	check("silent", false)
	table.MarkEnded("a.0")
	check("a former incarnation has ended", false)
	table.MarkEnded("a.1")
	check("ended", true)
	table.RecordHeartbeat("a.2", Heartbeat{}, 500)
	check("started again", false)
}
