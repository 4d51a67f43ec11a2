package lab

import (
	"reflect"
	"runtime"
	"strings"
	"sync"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

// Variant is a named combination of policies to compare.
type Variant struct {
	Name     string
	Policies Policies
}

// Default returns the variant with the default policies of the product, in which all rules are
// enabled.
func Default() Variant {
	return Variant{Name: "product", Policies: Policies{Schedule: schedule.DefaultPolicy, Ingress: ingress.DefaultPolicy}}
}

// Rules returns the names of the rules that Without can disable: the names of the fields of
// schedule.Policy and ingress.Policy.
func Rules() []string {
	var names []string
	for _, policy := range []any{schedule.Policy{}, ingress.Policy{}} {
		t := reflect.TypeOf(policy)
		for i := range t.NumField() {
			names = append(names, t.Field(i).Name)
		}
	}
	return lo.Uniq(names)
}

// Without returns the variant of the default policies in which some rules are disabled. Names
// holds their names, separated by commas. It returns an InvalidInput error if one of them does
// not exist.
func Without(names string) (Variant, error) {
	v := Default()
	v.Name = "without " + names
	for _, name := range strings.Split(names, ",") {
		inSchedule, inIngress := switchOff(&v.Policies.Schedule, name), switchOff(&v.Policies.Ingress, name)
		if !inSchedule && !inIngress {
			return Variant{}, failure.Field(failure.InvalidInput, "without", "unknown rule %q; the rules are %s", name, strings.Join(Rules(), ", "))
		}
	}
	return v, nil
}

// switchOff disables a rule by setting the field of that name to false. Policy is a pointer to
// the struct. It returns false if the struct has no such field.
func switchOff(policy any, name string) bool {
	field := reflect.ValueOf(policy).Elem().FieldByName(name)
	if !field.IsValid() {
		return false
	}
	field.SetBool(false)
	return true
}

// Row is the result of one variant on the deployments of all seeds.
type Row struct {
	Name    string  `json:"name"`
	Metrics Metrics `json:"figures"` // means over all seeds
	// Gain is the Worth of this variant less that of the first variant, on average over all
	// seeds. HalfInterval is half the width of the 95% confidence interval of Gain.
	Gain         float64 `json:"gain"`
	HalfInterval float64 `json:"half_interval"`
}

// Compare simulates each variant on the same deployments, which are generated from seedCount
// consecutive seeds, and returns a row for each variant. It simulates several seeds in parallel.
func Compare(setup Setup, firstSeed uint64, seedCount int, variants []Variant) []Row {
	metrics := make([][]Metrics, len(variants))
	for i := range metrics {
		metrics[i] = make([]Metrics, seedCount)
	}
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for n := range seedCount {
		running.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer running.Done()
			seed := firstSeed + uint64(n)
			generated := generate(seed, setup)
			share := generated.packedShare()
			bound, packedBound := generated.worthBound(1), generated.worthBound(share)
			for i, v := range variants {
				metrics[i][n] = simulate(generate(seed, setup), seed, v.Policies).metrics()
				metrics[i][n].Bound, metrics[i][n].PackedBound, metrics[i][n].PackedShare = bound, packedBound, share
			}
			<-semaphore
		}()
	}
	running.Wait()
	rows := make([]Row, len(variants))
	for i, v := range variants {
		gains := make([]float64, seedCount)
		for n := range seedCount {
			gains[n] = metrics[i][n].Worth - metrics[0][n].Worth
		}
		rows[i] = Row{Name: v.Name, Metrics: mean(metrics[i])}
		rows[i].Gain, rows[i].HalfInterval = confidenceInterval(gains)
	}
	return rows
}

// mean returns the mean of each field over the given metrics.
func mean(list []Metrics) Metrics {
	var sum Metrics
	into := reflect.ValueOf(&sum).Elem()
	for _, f := range list {
		from := reflect.ValueOf(f)
		for i := range into.NumField() {
			into.Field(i).SetFloat(into.Field(i).Float() + from.Field(i).Float()/float64(len(list)))
		}
	}
	return sum
}
