package lab

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

// encode returns rows as JSON, in which all metrics can be compared at once.
func encode(t *testing.T, rows []Row) string {
	t.Helper()
	text, err := json.Marshal(rows)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// variants returns the default variant and, for each of the names, the variant without the rule
// of that name.
func variants(t *testing.T, names ...string) []Variant {
	t.Helper()
	list := []Variant{Default()}
	for _, name := range names {
		v, err := Without(name)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, v)
	}
	return list
}

// TestRepeats checks that two comparisons with the same seeds give exactly the same metrics.
func TestRepeats(t *testing.T) {
	setup := Setup{Fault: MixedFaults, Load: 1.2}
	first := encode(t, Compare(setup, 5, 2, variants(t)))
	if second := encode(t, Compare(setup, 5, 2, variants(t))); first != second {
		t.Errorf("two comparisons with the same seeds differ:\n%s\n%s", first, second)
	}
}

// TestSwitches checks that each rule can be disabled by its name, and that an unknown name is an
// error.
func TestSwitches(t *testing.T) {
	if _, err := Without("NoSuchRule"); !failure.Is(err, failure.InvalidInput) || failure.FieldOf(err) != "without" {
		t.Errorf("unknown rule: error %v, want InvalidInput for the field without", err)
	}
	for _, name := range Rules() {
		v, err := Without(name)
		if err != nil {
			t.Errorf("rule %s cannot be disabled: %v", name, err)
			continue
		}
		if v.Policies == Default().Policies {
			t.Errorf("without %s: the policies are the default ones", name)
		}
	}
}

// TestBound checks that the default policies do not earn more than the bound, and that the bound
// does not rise with the load and is below 1 under overload.
func TestBound(t *testing.T) {
	last := 2.0
	for _, load := range []float64{0.6, 1.6, 2.4} {
		row := Compare(Setup{Fault: NoFault, Load: load}, 3, 1, variants(t))[0]
		if row.Metrics.Worth > row.Metrics.Bound {
			t.Errorf("load %.1f: worth %.3f exceeds the bound %.3f", load, row.Metrics.Worth, row.Metrics.Bound)
		}
		if row.Metrics.Bound > last {
			t.Errorf("load %.1f: bound %.3f is higher than %.3f at a lower load", load, row.Metrics.Bound, last)
		}
		last = row.Metrics.Bound
	}
	if last >= 1 {
		t.Error("load 2.4: the bound is 1, so it does not limit anything")
	}
}

// TestPackedBound checks that the best packing known loses more capacity to large tasks than to
// small ones, and that the bound with its share of the capacity is the lower one.
func TestPackedBound(t *testing.T) {
	share := func(size float64) float64 {
		d := generate(7, Setup{Fault: NoFault, Load: 1.6, TaskSize: size, MaxTaskSize: 0.75})
		share := d.packedShare()
		if packed, bound := d.worthBound(share), d.worthBound(1); packed > bound {
			t.Errorf("size %.2f: the bound for %.3f of the capacity is %.4f, more than the %.4f for all of it", size, share, packed, bound)
		}
		return share
	}
	half, fifth := share(0.5), share(0.2)
	if half < 0.9 || half >= fifth || fifth >= 1 {
		t.Errorf("%.3f of the capacity is busy with tasks of half an upstream, %.3f with those of a fifth", half, fifth)
	}
}

// TestCrowdedDays checks the behaviour under overload:
//   - Jobs that are not served get their responses early.
//   - Few jobs are given up after they have started.
//   - Few jobs are refused while there is free capacity for them.
//   - The worth is at least 0.7 times the bound.
func TestCrowdedDays(t *testing.T) {
	m := Compare(Setup{Fault: NoFault, Load: 1.6}, 1, 3, variants(t))[0].Metrics
	unserved := m.Refused + m.GivenUp
	if m.UnservedResponseP50 > 0.5 || m.UnservedResponseP90 > 1 {
		t.Errorf("response times of jobs not served, as multiples of the objective: median %.2f, want at most 0.5; 90th percentile %.2f, want at most 1", m.UnservedResponseP50, m.UnservedResponseP90)
	}
	if m.GivenUp > unserved/10 {
		t.Errorf("share of jobs given up after they started is %.4f, want at most a tenth of the %.4f not served", m.GivenUp, unserved)
	}
	if m.RefusedWithRoom > unserved/20 {
		t.Errorf("share of jobs refused while there was free capacity is %.4f, want at most a twentieth of the %.4f not served", m.RefusedWithRoom, unserved)
	}
	if m.Worth > m.Bound || m.Worth < 0.7*m.Bound {
		t.Errorf("worth %.3f, want at least 0.7 times the bound %.3f and no more than the bound", m.Worth, m.Bound)
	}
}

// metricsWithoutFault returns the metrics of the default policies on a deployment of the given
// setup, but without a fault.
func metricsWithoutFault(t *testing.T, s Setup) Metrics {
	t.Helper()
	s.Fault = NoFault
	return Compare(s, 200, 1, variants(t))[0].Metrics
}

// TestShiftedCustomers checks that zones serve each other's customers. At a load of 0.9, the
// customers of one of three zones send all their jobs to another zone in the peak period. The
// worth must not be more than 0.01 lower than if they had not.
func TestShiftedCustomers(t *testing.T) {
	s := Setup{Load: 0.9, Zones: 3, CoordinatorsPerZone: 6}
	stayed := metricsWithoutFault(t, s).Worth
	s.ShiftedShare = 1
	if moved := metricsWithoutFault(t, s).Worth; moved < stayed-0.01 {
		t.Errorf("worth %.4f with shifted customers, %.4f without; want a difference of at most 0.01", moved, stayed)
	}
}

// TestViewsOfCoordinators checks that it is sufficient to report loads at the intervals of the
// product. A single coordinator per zone always knows the current load of the owner in its
// zone, because both are on one instance. With 24 coordinators per zone, most know it only from
// reports; the worth must be at most 0.01 lower. The test also checks that longer intervals make
// a difference, and so that the simulation depends on the reports.
func TestViewsOfCoordinators(t *testing.T) {
	s := Setup{Load: 1.1, Zones: 2}
	local := metricsWithoutFault(t, s)
	s.CoordinatorsPerZone = 24
	reported := metricsWithoutFault(t, s)
	if reported.Worth < local.Worth-0.01 {
		t.Errorf("worth %.4f with 24 coordinators per zone, %.4f with one on the owner's instance; want at most 0.01 less", reported.Worth, local.Worth)
	}
	s.LoadReportInterval = 5 * zoneReportInterval
	if old := metricsWithoutFault(t, s); old == reported {
		t.Error("the metrics do not change if loads are reported at intervals five times as long")
	}
}

// TestAddedUpstreams checks that upstreams that are added during a peak are used. At a load of
// 1.2, three tenths of the upstreams are added only at faultStart. The worth must be at most a
// tenth lower than with all upstreams from the start.
func TestAddedUpstreams(t *testing.T) {
	s := Setup{Load: 1.2, Zones: 2}
	all := metricsWithoutFault(t, s).Worth
	s.AddedShare = 0.3
	added := metricsWithoutFault(t, s).Worth
	if added < 0.9*all {
		t.Errorf("worth %.4f with upstreams added later, %.4f with all from the start; want at most a tenth less", added, all)
	}
}

// TestUnevenUpstreams checks the lasting speed of upstreams (schedule.Policy.LastingSpeed). Where
// tasks always take 0.6, 1 and 1.6 times as long by turns, at most a fifth as many runs on sound
// upstreams are stopped as slow as without the rule, once the speeds have been learned, and the worth
// is not lower. Where all upstreams are equally fast, nothing changes.
func TestUnevenUpstreams(t *testing.T) {
	uneven := Setup{Fault: NoFault, Load: 0.7, Zones: 2, SpeedFactors: []float64{0.6, 1, 1.6}, Lead: 20 * time.Second}
	rows := Compare(uneven, 1, 2, variants(t, "LastingSpeed"))
	with, without := rows[0].Metrics, rows[1].Metrics
	if with.SlowStops > without.SlowStops/5 || with.Worth < without.Worth {
		t.Errorf("share of runs stopped as slow %.4f, worth %.4f; without the rule %.4f, %.4f", with.SlowStops, with.Worth, without.SlowStops, without.Worth)
	}
	rows = Compare(Setup{Fault: NoFault, Load: 1.2, Zones: 2}, 1, 2, variants(t, "LastingSpeed"))
	if rows[0].Metrics != rows[1].Metrics {
		t.Errorf("the rule changes the results on even upstreams: %+v, without it %+v", rows[0].Metrics, rows[1].Metrics)
	}
}
