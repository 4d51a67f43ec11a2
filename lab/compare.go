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

// Variant is a named set of rules.
type Variant struct {
	Name     string
	Policies Policies
}

// Default is the rules of the product.
func Default() Variant {
	return Variant{Name: "product", Policies: Policies{Schedule: schedule.DefaultPolicy, Ingress: ingress.DefaultPolicy}}
}

// Rules lists the rules that can be switched off.
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

// Without returns the product's rules without some of them, which are named with
// commas between.
func Without(names string) (Variant, error) {
	v := Default()
	v.Name = "without " + names
	for _, name := range strings.Split(names, ",") {
		atOwners, atCoordinators := switchOff(&v.Policies.Schedule, name), switchOff(&v.Policies.Ingress, name)
		if !atOwners && !atCoordinators {
			return Variant{}, failure.Field(failure.InvalidInput, "without", "no rule is named %q; there are %s", name, strings.Join(Rules(), ", "))
		}
	}
	return v, nil
}

func switchOff(policy any, name string) bool {
	field := reflect.ValueOf(policy).Elem().FieldByName(name)
	if !field.IsValid() {
		return false
	}
	field.SetBool(false)
	return true
}

// Row is what one variant reached over all seeds.
type Row struct {
	Name    string  `json:"name"`
	Figures Figures `json:"figures"` // means
	// Gain is the mean difference in worth to the first variant, and Half half
	// its 95% confidence interval.
	Gain float64 `json:"gain"`
	Half float64 `json:"half_interval"`
}

// Compare runs variants on the deployments of seeds, side by side.
func Compare(setup Setup, first uint64, seeds int, variants []Variant) []Row {
	all := make([][]Figures, len(variants))
	for i := range all {
		all[i] = make([]Figures, seeds)
	}
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for n := range seeds {
		running.Add(1)
		free <- struct{}{}
		go func() {
			defer running.Done()
			seed := first + uint64(n)
			bound := draw(seed, setup).bound()
			for i, v := range variants {
				all[i][n] = run(draw(seed, setup), seed, v.Policies).figures()
				all[i][n].Bound = bound
			}
			<-free
		}()
	}
	running.Wait()
	rows := make([]Row, len(variants))
	for i, v := range variants {
		gains := make([]float64, seeds)
		for n := range seeds {
			gains[n] = all[i][n].Worth - all[0][n].Worth
		}
		rows[i] = Row{Name: v.Name, Figures: mean(all[i])}
		rows[i].Gain, rows[i].Half = interval(gains)
	}
	return rows
}

// mean returns the mean of each figure.
func mean(list []Figures) Figures {
	var sum Figures
	into := reflect.ValueOf(&sum).Elem()
	for _, f := range list {
		from := reflect.ValueOf(f)
		for i := range into.NumField() {
			into.Field(i).SetFloat(into.Field(i).Float() + from.Field(i).Float()/float64(len(list)))
		}
	}
	return sum
}
