package experiment

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Variants lists the values of a scenario's parameters to compare. The scenario is
// run once for each combination of the values. Where a list is empty or Seconds is
// zero, the value in the scenario applies.
type Variants struct {
	QueueOrders []string
	Placements  []string
	Witnesses   []string
	Loads       []float64
	Seconds     float64
}

// RunResult is the result of one run of a scenario.
type RunResult struct {
	Name    string  `json:"name"`
	Variant string  `json:"way"` // the values of all parameters that vary except the load, as text
	Load    float64 `json:"load"`
	Report  Report  `json:"report"`
}

// Run runs s once for each combination of values in v, one after another, and
// calls done after each run.
func (v *Variants) Run(s *Scenario, done func(*RunResult)) ([]RunResult, error) {
	var results []RunResult
	for _, placement := range orDefault(v.Placements, s.Cluster.Placement) {
		for _, queueOrder := range orDefault(v.QueueOrders, s.Cluster.Order) {
			for _, witness := range orDefault(v.Witnesses, s.Cluster.Witness) {
				for _, load := range orDefault(v.Loads, s.Load.Level) {
					result, err := v.runOne(*s, placement, queueOrder, witness, load)
					if err != nil {
						return results, err
					}
					results = append(results, result)
					done(&result)
				}
			}
		}
	}
	return results, nil
}

// orDefault returns list, or if list is empty, a list that holds only value.
func orDefault[T any](list []T, value T) []T {
	if len(list) == 0 {
		return []T{value}
	}
	return list
}

func (v *Variants) runOne(s Scenario, placement, queueOrder, witness string, load float64) (RunResult, error) {
	s.Cluster.Placement, s.Cluster.Order, s.Cluster.Witness, s.Load.Level = placement, queueOrder, witness, load
	if v.Seconds > 0 {
		s.Load.Seconds = v.Seconds
	}
	result := RunResult{Variant: fmt.Sprintf("%s %s %s witness=%s", s.Name, placement, queueOrder, witness), Load: load}
	result.Name = fmt.Sprintf("%s load=%g", result.Variant, load)
	report, err := s.Run()
	result.Report = report
	return result, err
}

// RunDemo runs jobs of two services, modelled on those of the two users of
// sedgehatch and scaled down, on a small fleet. Some jobs are resubmitted on purpose
// while they run.
func RunDemo() (Report, error) {
	c, err := StartCluster(ClusterSpec{
		Zones:             []ZoneSpec{{"plaine", 2, 6}, {"depot", 2, 6}},
		HeartbeatInterval: 200 * time.Millisecond, InstancePollInterval: 200 * time.Millisecond,
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	return RunLoad(c, Load{Seed: 1, Duration: 5 * time.Second, Services: []ServiceLoad{
		{
			Name: "wardrobe-desk", Callers: 6, Rate: 12, MinTasks: 5, MaxTasks: 30, Resubmit: 0.1,
			RunMs: Dist{Median: 50, Sigma: 0.8, Min: 12, Max: 250, LongMax: 800, LongShare: 0.005}, Deadline: 8 * time.Second,
		},
		{
			Name: "dispatch", Callers: 4, Rate: 12, MinTasks: 1, MaxTasks: 20, Resubmit: 0.1,
			RunMs: Dist{Median: 50, Sigma: 0.8, Min: 12, Max: 250, LongMax: 800, LongShare: 0.005}, Deadline: 8 * time.Second,
		},
	}})
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// WritePlots writes plots of the response ratios and the messages per task as PNG
// files in dir. The horizontal axis is the load; each variant is one line.
func WritePlots(dir string, results []RunResult) error {
	plots := []struct {
		file, title, axis string
		value             func(*Report) float64
	}{
		{"ratio-p50.png", "Response against the ideal, median", "ratio", func(r *Report) float64 { return r.RatioP50 }},
		{"ratio-p99.png", "Response against the ideal, 99th percentile", "ratio", func(r *Report) float64 { return r.RatioP99 }},
		{"messages.png", "Messages", "messages per task", func(r *Report) float64 { return r.MessagesPerTask }},
	}
	for _, p := range plots {
		if err := drawPlot(filepath.Join(dir, p.file), p.title, p.axis, results, p.value); err != nil {
			return err
		}
	}
	return nil
}

func drawPlot(path, title, axis string, results []RunResult, value func(*Report) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, share of all slots"
	p.Y.Label.Text = axis
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	lineOf := map[string]int{}
	for i := range results {
		line, ok := lineOf[results[i].Variant]
		if !ok {
			line = len(lines) + 1
			lineOf[results[i].Variant] = line
			lines = append(lines, results[i].Variant, plotter.XYs{})
		}
		lines[line] = append(lines[line].(plotter.XYs), plotter.XY{X: results[i].Load, Y: value(&results[i].Report)})
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return failure.Internal.Wrap(err, "cannot draw the plot")
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Field(failure.InvalidInput, "plot", "cannot be written: %v", err)
	}
	return nil
}
