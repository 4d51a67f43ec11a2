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

// Variants are ways to compare on one scenario. An empty list is what the
// scenario says itself.
type Variants struct {
	QueueOrders []string
	Placements  []string
	Witnesses   []string
	Loads       []float64
	Seconds     float64
}

// RunResult is one run.
type RunResult struct {
	Name    string  `json:"name"`
	Variant string  `json:"way"` // the variant without its load
	Load    float64 `json:"load"`
	Report  Report  `json:"report"`
}

// Run runs every variant of s, one after another, and calls done after each.
func (v *Variants) Run(s *Scenario, done func(*RunResult)) ([]RunResult, error) {
	var rows []RunResult
	for _, placing := range orOwn(v.Placements, s.Cluster.Placing) {
		for _, policy := range orOwn(v.QueueOrders, s.Cluster.Order) {
			for _, witness := range orOwn(v.Witnesses, s.Cluster.Witness) {
				for _, load := range orOwn(v.Loads, s.Load.Level) {
					row, err := v.runOne(*s, placing, policy, witness, load)
					if err != nil {
						return rows, err
					}
					rows = append(rows, row)
					done(&row)
				}
			}
		}
	}
	return rows, nil
}

func orOwn[T any](list []T, own T) []T {
	if len(list) == 0 {
		return []T{own}
	}
	return list
}

func (v *Variants) runOne(s Scenario, placing, policy, witness string, load float64) (RunResult, error) {
	s.Cluster.Placing, s.Cluster.Order, s.Cluster.Witness, s.Load.Level = placing, policy, witness, load
	if v.Seconds > 0 {
		s.Load.Seconds = v.Seconds
	}
	row := RunResult{Variant: fmt.Sprintf("%s %s %s witness=%s", s.Name, placing, policy, witness), Load: load}
	row.Name = fmt.Sprintf("%s load=%g", row.Variant, load)
	report, err := s.Run()
	row.Report = report
	return row, err
}

// RunDemo runs both users' services, scaled down, on a small fleet, with some
// jobs resubmitted on purpose to another entry.
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
			RunMs: Dist{Median: 50, Sigma: 0.8, Min: 12, Max: 250, Long: 800, LongShare: 0.005}, Deadline: 8 * time.Second,
		},
		{
			Name: "dispatch", Callers: 4, Rate: 12, MinTasks: 1, MaxTasks: 20, Resubmit: 0.1,
			RunMs: Dist{Median: 50, Sigma: 0.8, Min: 12, Max: 250, Long: 800, LongShare: 0.005}, Deadline: 8 * time.Second,
		},
	}})
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// WritePlots writes response ratios and messages against load as PNG files in dir.
func WritePlots(dir string, rows []RunResult) error {
	plots := []struct {
		file, title, axis string
		value             func(*Report) float64
	}{
		{"ratio-p50.png", "Response against the ideal, median", "ratio", func(r *Report) float64 { return r.RatioP50 }},
		{"ratio-p99.png", "Response against the ideal, 99th percentile", "ratio", func(r *Report) float64 { return r.RatioP99 }},
		{"messages.png", "Messages", "messages per task", func(r *Report) float64 { return r.MessagesPerTask }},
	}
	for _, p := range plots {
		if err := drawPlot(filepath.Join(dir, p.file), p.title, p.axis, rows, p.value); err != nil {
			return err
		}
	}
	return nil
}

func drawPlot(path, title, axis string, rows []RunResult, value func(*Report) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, share of all slots"
	p.Y.Label.Text = axis
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	index := map[string]int{}
	for i := range rows {
		at, known := index[rows[i].Variant]
		if !known {
			at = len(lines) + 1
			index[rows[i].Variant] = at
			lines = append(lines, rows[i].Variant, plotter.XYs{})
		}
		lines[at] = append(lines[at].(plotter.XYs), plotter.XY{X: rows[i].Load, Y: value(&rows[i].Report)})
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return failure.Internal.Wrap(err, "the plot cannot be drawn")
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Field(failure.InvalidInput, "plot", "cannot be written: %v", err)
	}
	return nil
}
