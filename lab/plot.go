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

// gainPoints are the rows of the bar chart, one point each. It implements plotter.XYer with
// their gains, and plotter.YErrorer with the confidence intervals of the gains.
type gainPoints []Row

func (g gainPoints) Len() int { return len(g) }

func (g gainPoints) XY(i int) (x, y float64) { return float64(i), g[i].Gain }

func (g gainPoints) YError(i int) (low, high float64) { return g[i].HalfInterval, g[i].HalfInterval }

// Plot writes a bar chart to a file. It shows the gain of each row but the first one, which is the
// variant that the others are compared with.
func Plot(rows []Row, file string) error {
	compared := gainPoints(rows[1:])
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
