package experiment

import (
	"encoding/json"
	"os"
	"testing"
)

func TestPlayFile(t *testing.T) {
	path := os.Getenv("SEDGE_SCENARIO")
	if path == "" {
		t.Skip("names no scenario")
	}
	s, err := LoadScenario(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Play()
	b, _ := json.MarshalIndent(r, "", " ")
	t.Logf("%s %v", b, err)
}
