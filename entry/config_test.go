package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

const validConfig = `
[instance]
fleet = f
name = e1
zone = a
[listen]
callers = 127.0.0.1:7400
inner = 127.0.0.1:7500
[platform]
address = 127.0.0.1:7300
`

func TestConfigDefaults(t *testing.T) {
	c, problems := ParseConfig("e.ini", []byte(validConfig))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if c.Instance != "e1" || c.HeartbeatInterval != 500*time.Millisecond || c.DrainTimeout != 30*time.Second || c.LogFormat != "text" {
		t.Errorf("unexpected default values: %+v", c)
	}
}

// TestConfigListsEveryProblem verifies that a single check reports all problems of a file.
func TestConfigListsEveryProblem(t *testing.T) {
	_, problems := ParseConfig("e.ini", []byte(`
[instance]
fleet = f
name = e.1
[listen]
callers = localhost:99
inner = 127.0.0.1:7500
colour = red
[platform]
address = 127.0.0.1:7300
[peers]
suspect_ms = 500
dead_ms = 400
[tracing]
ratio = 2
`))
	var fields []string
	for _, p := range problems {
		if !failure.Is(p, failure.InvalidInput) {
			t.Errorf("problem is not of type InvalidInput: %v", p)
		}
		fields = append(fields, failure.FieldOf(p))
	}
	slices.Sort(fields)
	want := []string{"instance.name", "instance.zone", "listen.callers", "listen.colour", "peers.dead_ms", "tracing.ratio"}
	if !slices.Equal(fields, want) {
		t.Errorf("problems %v, want %v", fields, want)
	}
}

func TestConfigIsNotINI(t *testing.T) {
	if _, problems := ParseConfig("e.ini", []byte("[instance\nx")); len(problems) != 1 {
		t.Errorf("content that is not INI: problems %v, want exactly one", problems)
	}
	if _, problems := LoadConfig("no/such/file.ini"); len(problems) != 1 {
		t.Errorf("missing file: problems %v, want exactly one", problems)
	}
}
