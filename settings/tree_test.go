package settings

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

const sample = `
[fleet]
deadline_ms = 20000
witness = zone
[zone vacoas]
deadline_ms = 10000
[service desk]
weight = 5
[caller carnival]
deadline_ms = 3000
`

func mustParse(t *testing.T, text string) *Tree {
	t.Helper()
	tree, problems := Parse(text)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return tree
}

func TestInheritance(t *testing.T) {
	tree := mustParse(t, sample)
	for _, c := range []struct {
		path Path
		key  string
		want string
		from string
	}{
		{Path{}, KeyDeadlineMs, "20000", "fleet"},
		{Path{Zone: "vacoas"}, KeyDeadlineMs, "10000", "zone vacoas"},
		{Path{Zone: "curepipe"}, KeyDeadlineMs, "20000", "fleet"},
		{Path{Zone: "vacoas", Service: "desk"}, KeyDeadlineMs, "10000", "zone vacoas"},
		{Path{Zone: "vacoas", Service: "desk", Caller: "carnival"}, KeyDeadlineMs, "3000", "caller carnival"},
		{Path{Service: "desk"}, KeyWeight, "5", "service desk"},
		{Path{Service: "other"}, KeyWeight, "1", "default"},
	} {
		if v := tree.Get(c.path, c.key); v.Text != c.want || v.From.String() != c.from {
			t.Errorf("wrong value or origin: %s for path %+v is %q from %s", c.key, c.path, v.Text, v.From)
		}
	}
}

// TestEveryProblem checks that Parse returns all problems of a text at once.
func TestEveryProblem(t *testing.T) {
	_, problems := Parse("[fleet]\ncolour = red\ndeadline_ms = soon\n[planet x]\n[zone]\n[service s]\nweight = 0\n")
	if len(problems) != 5 {
		t.Errorf("Parse returned the problems %v, want 5", problems)
	}
	for _, p := range problems {
		if !failure.Is(p, failure.InvalidInput) || failure.FieldOf(p) == "" {
			t.Errorf("problem %v is not of type InvalidInput or names no field", p)
		}
	}
}

func TestDiffAndWith(t *testing.T) {
	before := mustParse(t, sample)
	value := "9000"
	after, problems := before.With(Node{LevelZone, "vacoas"}, KeyDeadlineMs, &value)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	after, problems = after.With(Node{LevelService, "desk"}, KeyWeight, nil)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := []Difference{
		{Node{LevelService, "desk"}, KeyWeight, "5", ""},
		{Node{LevelZone, "vacoas"}, KeyDeadlineMs, "10000", "9000"},
	}
	got := before.Diff(after)
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("Diff returned %v, want the changed deadline and the removed weight", got)
	}
	bad := "never"
	if _, problems := before.With(Node{Level: LevelFleet}, KeyDeadlineMs, &bad); len(problems) != 1 {
		t.Errorf("With an invalid value returned the problems %v, want 1", problems)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("[fleet]\nx")
	f.Fuzz(func(t *testing.T, text string) {
		tree, problems := Parse(text)
		if len(problems) > 0 {
			return
		}
		value := "7"
		changed, problems := tree.With(Node{LevelService, "fuzz"}, KeyWeight, &value)
		if len(problems) > 0 {
			t.Fatalf("With made a valid tree invalid: %v", problems)
		}
		if d := tree.Diff(changed); len(d) > 1 {
			t.Fatalf("one change led to several differences: %v", d)
		}
	})
}
