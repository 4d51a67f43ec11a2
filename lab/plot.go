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

// gains are the gains of rows with their confidence intervals.
type gains []Row

func (g gains) Len() int { return len(g) }

func (g gains) XY(i int) (x, y float64) { return float64(i), g[i].Gain }

func (g gains) YError(i int) (low, high float64) { return g[i].Half, g[i].Half }

// Plot draws the gains of all rows but the first into a file.
func Plot(rows []Row, file string) error {
	rest := gains(rows[1:])
	values, names := plotter.Values{}, []string{}
	for _, r := range rest {
		values = append(values, r.Gain)
		names = append(names, r.Name)
	}
	if len(values) == 0 {
		return failure.Field(failure.InvalidInput, "plot", "there is only one set of rules: name others by --without or --ablate")
	}
	p := plot.New()
	p.Title.Text = "Worth against " + rows[0].Name
	p.Y.Label.Text = "difference in worth, 95% interval"
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return failure.Internal.Wrap(err, "no bars can be drawn")
	}
	errors, err := plotter.NewYErrorBars(rest)
	if err != nil {
		return failure.Internal.Wrap(err, "no intervals can be drawn")
	}
	p.Add(bars, errors)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return failure.Field(failure.InvalidInput, "plot", "cannot be written: %v", err)
	}
	return nil
}
