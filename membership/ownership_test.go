package membership

import (
	"fmt"
	"testing"
)

func candidates(shares ...float64) []Candidate {
	var list []Candidate
	for i, s := range shares {
		list = append(list, Candidate{fmt.Sprintf("i%d", i), s})
	}
	return list
}

func TestAssign(t *testing.T) {
	groups := []string{"a/0", "a/1", "a/2", "a/3"}
	owners := Assign(groups, candidates(0.8, 0.8, 0.19, 0.19, 0.19))
	count := map[string]int{}
	for _, o := range owners {
		count[o]++
	}
	if count["i0"] != 2 || count["i1"] != 2 {
		t.Errorf("groups by owner: %v, want two each on the large instances i0 and i1", count)
	}
	small := Assign(groups, candidates(0.8, 0.8, 0.19, 0.19, 0.19)[2:])
	for _, g := range groups {
		if small[g] == "" {
			t.Errorf("group %s has no owner if all instances are equally small", g)
		}
	}
	if Assign(groups, nil) != nil {
		t.Error("groups are assigned although there are no candidates")
	}
}

func TestNextToken(t *testing.T) {
	first := NextToken(1000, 0, "a")
	if second := NextToken(1000, first, "b"); second <= first {
		t.Errorf("token %d is not higher than token %d of the same millisecond", second, first)
	}
	if earlier := NextToken(10, first, "a"); earlier <= first {
		t.Errorf("token %d is not higher than token %d after the clock was set back", earlier, first)
	}
	if NextToken(1000, 0, "a") == NextToken(1000, 0, "b") {
		t.Error("two instances created the same token")
	}
}

func TestGroupCount(t *testing.T) {
	for upstreams, want := range map[int]int{0: 1, 1: 1, 16: 1, 88: 1, 96: 1, 97: 2, 750: 8, 6400: 67} {
		if got := GroupCount(upstreams, 3, 0); got != want {
			t.Errorf("%d upstreams are divided into %d groups, want %d", upstreams, got, want)
		}
	}
	const megabit = 125_000
	for _, c := range []struct {
		upstreams, instances int
		megabits             float64
		want                 int
	}{
		{20, 3, 2, 3}, {20, 2, 2, 2}, {20, 9, 8, 1}, {20, 9, 2, 3}, // a link of 2 Mbit/s carries 9 upstreams
		{183, 24, 25, 2}, {183, 24, 1000, 2}, {48, 9, 1000, 1}, {300, 1, 2, 4},
	} {
		if got := GroupCount(c.upstreams, c.instances, c.megabits*megabit); got != c.want {
			t.Errorf("%d upstreams of %d instances with links of %v Mbit/s are divided into %d groups, want %d", c.upstreams, c.instances, c.megabits, got, c.want)
		}
	}
}
