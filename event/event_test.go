package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events of this package, and
// that their numbers increase.
func TestCatalogue(t *testing.T) {
	raw, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	last := 0
	for _, e := range Catalogue() {
		if e.Number <= last {
			t.Errorf("event numbers must increase, but %d follows %d", e.Number, last)
		}
		last = e.Number
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.Meaning))
	}
	if got, want := strings.Join(rows, "\n"), strings.Join(want, "\n"); got != want {
		t.Errorf("docs/EVENTS.md and the code differ; the code says:\n%s", want)
	}
}
