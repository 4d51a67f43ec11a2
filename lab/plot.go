package lab

import (
	"github.com/sedgehatch/sedgehatch/failure"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
)

// gains holds the rows to plot. It implements plotter.XYer and plotter.YErrorer with their
// gains and confidence intervals.
type gains []Row

func (g gains) Len() int { return len(g) }

func (g gains) XY(i int) (x, y float64) { return float64(i), g[i].Gain }

func (g gains) YError(i int) (low, high float64) { return g[i].HalfInterval, g[i].HalfInterval }

// Plot writes a bar chart to a file that shows the gain of each row over the first one.
func Plot(rows []Row, file string) error {
	compared := gains(rows[1:])
	values, names := plotter.Values{}, []string{}
	for _, r := range compared {
		values = append(values, r.Gain)
		names = append(names, r.Name)
	}
	if len(values) == 0 {
		return failure.Field(failure.InvalidInput, "plot", "only one variant was run; add others with --without or --ablate")
	}
	p := plot.New()
	p.Title.Text = "Worth against " + rows[0].Name
	p.Y.Label.Text = "difference in worth, 95% interval"
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return failure.Internal.Wrap(err, "cannot draw the bars")
	}
	errorBars, err := plotter.NewYErrorBars(compared)
	if err != nil {
		return failure.Internal.Wrap(err, "cannot draw the confidence intervals")
	}
	p.Add(bars, errorBars)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return failure.Field(failure.InvalidInput, "plot", "cannot be written: %v", err)
	}
	return nil
}
