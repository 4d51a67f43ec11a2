package experiment

import (
	"path/filepath"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

// TestScenariosAreRight checks that every scenario in bench is valid.
func TestScenariosAreRight(t *testing.T) {
	files, err := filepath.Glob("../bench/*.ini")
	if err != nil || len(files) < 15 {
		t.Fatalf("found %d scenario files, error %v, want at least 15", len(files), err)
	}
	for _, file := range files {
		if filepath.Base(file) == "bounds.ini" {
			continue
		}
		if _, err := ReadScenario(file); err != nil {
			t.Error(err)
		}
	}
}

func TestWrongScenario(t *testing.T) {
	for name, text := range map[string]string{
		"no service":   "[cluster]\nzones = a\n",
		"unknown part": "[planet]\n",
		"wrong number": "[cluster]\nzones = a\nslots = many\n[service s]\n",
		"wrong fault":  "[cluster]\nzones = a\n[service s]\n[fault f]\nkind = rain\n",
	} {
		if _, err := ParseScenario("x.ini", []byte(text)); !failure.Is(err, failure.InvalidInput) || failure.FieldOf(err) == "" {
			t.Errorf("scenario with the fault %q: error %v, want InvalidInput in a field", name, err)
		}
	}
}

// TestShortPlay runs one scenario with faults, shortened to one second.
func TestShortPlay(t *testing.T) {
	s, err := ReadScenario("../bench/entry-loss.ini")
	if err != nil {
		t.Fatal(err)
	}
	s.Load.Seconds, s.Faults[0].At, s.Faults[0].Factor = 1, 0.3, 1
	r, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || r.DuplicateStarts > 0 || r.Jobs == 0 || r.Losses.Entries != 1 {
		t.Errorf("violations, duplicate starts, no jobs, or not one kill in the report: %+v", r)
	}
}
