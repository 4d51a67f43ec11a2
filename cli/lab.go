package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/lab"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
)

func labCommand() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "compare rules of decision on drawn deployments in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "how many deployments are drawn", Value: 100},
			&cli.FloatFlag{Name: "load", Usage: "load of the crowded stretch as a share of the room; 0 draws it"},
			&cli.StringFlag{Name: "trouble", Usage: "what goes wrong: " + troubleNames(), Value: string(lab.Mixed)},
			&cli.FloatFlag{Name: "share", Usage: "share of upstreams, or of calls, that the trouble strikes; 0 draws it"},
			&cli.FloatFlag{Name: "size", Usage: "mean size of a task as a share of the smaller upstreams; 0 draws it"},
			&cli.IntFlag{Name: "returns", Usage: "how often refused customers come back at most"},
			&cli.IntFlag{Name: "zones", Usage: "how many availability zones there are, each with a group; 0 draws 2 to 4"},
			&cli.IntFlag{Name: "coordinators", Usage: "how many coordinators each availability zone has", Value: 1},
			&cli.DurationFlag{Name: "views", Usage: "how often owners tell their load; 0 is as often as the product does"},
			&cli.FloatFlag{Name: "shift", Usage: "share of the first zone's customers that are in the second in the crowded stretch"},
			&cli.FloatFlag{Name: "added", Usage: "share of each zone's upstreams that are added in the crowded stretch"},
			&cli.StringSliceFlag{Name: "without", Usage: "also run without these `RULES`, with + between; may come several times"},
			&cli.BoolFlag{Name: "ablate", Usage: "also run without each rule, one by one"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "plot", Usage: "also draw the gains into this PNG `FILE`"},
		},
		Action: runLab,
	}
}

func troubleNames() string {
	return strings.Join(lo.Map(lab.Troubles, func(t lab.Trouble, _ int) string { return string(t) }), ", ")
}

func runLab(_ context.Context, c *cli.Command) error {
	setup := lab.Setup{
		Load: c.Float("load"), Trouble: lab.Trouble(c.String("trouble")), Share: c.Float("share"), Returns: c.Int("returns"), Zones: c.Int("zones"), Size: c.Float("size"),
		Coordinators: c.Int("coordinators"), Views: c.Duration("views"), Shift: c.Float("shift"), Added: c.Float("added"),
	}
	switch {
	case c.Int("seeds") < 1:
		return failure.Field(failure.InvalidInput, "seeds", "must be at least 1")
	case setup.Returns < 0:
		return failure.Field(failure.InvalidInput, "returns", "must not be negative")
	case setup.Zones < 0 || setup.Zones > lab.MostZones:
		return failure.Field(failure.InvalidInput, "zones", "must lie between 0 and %d", lab.MostZones)
	case setup.Coordinators < 1 || setup.Coordinators > lab.MostCoordinators:
		return failure.Field(failure.InvalidInput, "coordinators", "must lie between 1 and %d", lab.MostCoordinators)
	case setup.Views < 0:
		return failure.Field(failure.InvalidInput, "views", "must not be negative")
	case setup.Shift < 0 || setup.Shift > 1:
		return failure.Field(failure.InvalidInput, "shift", "must lie between 0 and 1")
	case setup.Added < 0 || setup.Added >= 1:
		return failure.Field(failure.InvalidInput, "added", "must be at least 0 and less than 1")
	case setup.Size < 0 || setup.Size > 1:
		return failure.Field(failure.InvalidInput, "size", "must lie between 0 and 1")
	case setup.Load < 0:
		return failure.Field(failure.InvalidInput, "load", "must not be negative")
	case setup.Share < 0 || setup.Share > 1:
		return failure.Field(failure.InvalidInput, "share", "must lie between 0 and 1")
	case !lo.Contains(lab.Troubles, setup.Trouble):
		return failure.Field(failure.InvalidInput, "trouble", "must be one of %s", troubleNames())
	}
	variants, err := labVariants(c)
	if err != nil {
		return err
	}
	rows := lab.Compare(setup, c.Uint64("seed"), c.Int("seeds"), variants)
	if file := c.String("plot"); file != "" {
		if err := lab.Plot(rows, file); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(rows)
	}
	return labTable(c.Root().Writer, rows)
}

func labVariants(c *cli.Command) ([]lab.Variant, error) {
	names := lo.Map(c.StringSlice("without"), func(s string, _ int) string { return strings.ReplaceAll(s, "+", ",") })
	if c.Bool("ablate") {
		names = append(names, lab.Rules()...)
	}
	variants := []lab.Variant{lab.Default()}
	for _, name := range names {
		v, err := lab.Without(name)
		if err != nil {
			return nil, err
		}
		variants = append(variants, v)
	}
	return variants, nil
}

func labTable(out io.Writer, rows []lab.Row) error {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rules\tworth\tgain\t±\tcrowded\tbound\tin time\tlate\trefused\troom\tgiven up\tfailed\twasted\ttell p50\tp90\tp99 ms\tkind\tlarge\tzone\tlater\tlater s\tdoubts\tsilences\t")
	for _, r := range rows {
		f := r.Figures
		fmt.Fprintf(t, "%s\t%.4f\t%+.4f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.4f\t%.4f\t%.3f\t%.2f\t%.2f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t\n",
			r.Name, f.Worth, r.Gain, r.Half, f.Crowd, f.Bound, f.InTime, f.Late, f.Refused, f.Room, f.GivenUp, f.Failed, f.Wasted,
			f.TellP50, f.TellP90, f.TellP99, f.Kind, f.Large, f.Zone, f.Later, f.LaterS, f.Doubts, f.Silent)
	}
	return t.Flush()
}
