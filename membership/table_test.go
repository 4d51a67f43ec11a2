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
			case "peers":
				return describe(table)
			}
			var b strings.Builder
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
