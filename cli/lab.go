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
		Usage: "compare scheduling policies on random deployments in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of deployments, generated from consecutive seeds", Value: 100},
			&cli.FloatFlag{Name: "load", Usage: "load in the peak period as a share of the usable capacity; 0 is random"},
			&cli.StringFlag{Name: "trouble", Usage: "fault to inject: " + faultNames(), Value: string(lab.MixedFaults)},
			&cli.FloatFlag{Name: "share", Usage: "share of upstreams that the fault affects, or twice the share of calls; 0 is random"},
			&cli.FloatFlag{Name: "size", Usage: "mean CPU demand of a task as a share of the smaller upstreams; 0 is random"},
			&cli.FloatFlag{Name: "largest", Usage: "limit of the CPU demand of a task as a share of the smaller upstreams; 0 is 1"},
			&cli.IntFlag{Name: "returns", Usage: "maximum number of times that a customer resubmits a refused job"},
			&cli.IntFlag{Name: "zones", Usage: "number of availability zones, each with one group of upstreams; 0 is random from 2 to 4"},
			&cli.IntFlag{Name: "coordinators", Usage: "number of coordinators in each availability zone", Value: 1},
			&cli.DurationFlag{Name: "views", Usage: "interval at which owners report their load to coordinators; 0 is that of the product"},
			&cli.FloatFlag{Name: "shift", Usage: "share of the first zone's jobs that are sent to the second zone in the peak period"},
			&cli.FloatFlag{Name: "added", Usage: "share of each zone's upstreams that are added only in the peak period"},
			&cli.DurationFlag{Name: "notice", Usage: "how long leaving upstreams say that they stay; 0 is 1.8s"},
			&cli.FloatSliceFlag{Name: "speeds", Usage: "factors by which tasks take longer on the upstreams at all times, by turns"},
			&cli.DurationFlag{Name: "lead", Usage: "how long the base load lasts before the workload"},
			&cli.StringSliceFlag{Name: "without", Usage: "also run without these `RULES`, separated by +; may be repeated"},
			&cli.BoolFlag{Name: "ablate", Usage: "also run without each single rule"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "plot", Usage: "also plot the gains into this PNG `FILE`"},
		},
		Action: runLab,
	}
}

func faultNames() string {
	return strings.Join(lo.Map(lab.Faults, func(t lab.Fault, _ int) string { return string(t) }), ", ")
}

func runLab(_ context.Context, c *cli.Command) error {
	setup := lab.Setup{
		Load: c.Float("load"), Fault: lab.Fault(c.String("trouble")), FaultShare: c.Float("share"), MaxResubmissions: c.Int("returns"), Zones: c.Int("zones"), TaskSize: c.Float("size"), MaxTaskSize: c.Float("largest"),
		CoordinatorsPerZone: c.Int("coordinators"), LoadReportInterval: c.Duration("views"), ShiftedShare: c.Float("shift"), AddedShare: c.Float("added"), Notice: c.Duration("notice"),
		SpeedFactors: c.FloatSlice("speeds"), Lead: c.Duration("lead"),
	}
	switch {
	case c.Int("seeds") < 1:
		return failure.Field(failure.InvalidInput, "seeds", "must be at least 1")
	case setup.MaxResubmissions < 0:
		return failure.Field(failure.InvalidInput, "returns", "must not be negative")
	case setup.Zones < 0 || setup.Zones > lab.MaxZones:
		return failure.Field(failure.InvalidInput, "zones", "must lie between 0 and %d", lab.MaxZones)
	case setup.CoordinatorsPerZone < 1 || setup.CoordinatorsPerZone > lab.MaxCoordinators:
		return failure.Field(failure.InvalidInput, "coordinators", "must lie between 1 and %d", lab.MaxCoordinators)
	case setup.LoadReportInterval < 0:
		return failure.Field(failure.InvalidInput, "views", "must not be negative")
	case setup.Notice < 0:
		return failure.Field(failure.InvalidInput, "notice", "must not be negative")
	case setup.ShiftedShare < 0 || setup.ShiftedShare > 1:
		return failure.Field(failure.InvalidInput, "shift", "must lie between 0 and 1")
	case setup.AddedShare < 0 || setup.AddedShare >= 1:
		return failure.Field(failure.InvalidInput, "added", "must be at least 0 and less than 1")
	case setup.TaskSize < 0 || setup.TaskSize > 1:
		return failure.Field(failure.InvalidInput, "size", "must lie between 0 and 1")
	case setup.MaxTaskSize < 0 || setup.MaxTaskSize > 1:
		return failure.Field(failure.InvalidInput, "largest", "must lie between 0 and 1")
	case setup.Lead < 0:
		return failure.Field(failure.InvalidInput, "lead", "must not be negative")
	case lo.SomeBy(setup.SpeedFactors, func(f float64) bool { return f <= 0 }):
		return failure.Field(failure.InvalidInput, "speeds", "must be above 0")
	case setup.Load < 0:
		return failure.Field(failure.InvalidInput, "load", "must not be negative")
	case setup.FaultShare < 0 || setup.FaultShare > 1:
		return failure.Field(failure.InvalidInput, "share", "must lie between 0 and 1")
	case !lo.Contains(lab.Faults, setup.Fault):
		return failure.Field(failure.InvalidInput, "trouble", "must be one of %s", faultNames())
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
	return printLabTable(c.Root().Writer, rows)
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

// printLabTable prints a line for each row. These headings differ from the fields of lab.Metrics
// below them:
//   - crowded: PeakWorth
//   - packed: PackedBound
//   - room, at once: RefusedWithRoom, RejectedAtOnce
//   - tell p50, p90, p99 ms: UnservedP50, UnservedP90, UnservedP99Ms
//   - kind, large, zone: WorstKind, WorstLarge, WorstZone
//   - later, later s: ServedLater, ServedLaterSeconds
//   - doubts, silences: FalseEjections, FalseSilences
//   - slow: SlowStops
//   - held, out: HeldBack, OutOfUse
func printLabTable(out io.Writer, rows []lab.Row) error {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rules\tworth\tgain\t±\tcrowded\tbound\tpacked\tin time\tlate\trefused\troom\tat once\toffers\tgiven up\tfailed\twasted\ttell p50\tp90\tp99 ms\tkind\tlarge\tzone\tlater\tlater s\tdoubts\tsilences\tbusy\tfragments\theld\tvacant\tout\tslow\t")
	for _, r := range rows {
		m := r.Metrics
		fmt.Fprintf(t, "%s\t%.4f\t%+.4f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.3f\t%.2f\t%.4f\t%.4f\t%.3f\t%.2f\t%.2f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.5f\t\n",
			r.Name, m.Worth, r.Gain, r.HalfInterval, m.PeakWorth, m.Bound, m.PackedBound, m.InTime, m.Late, m.Refused, m.RefusedWithRoom, m.RejectedAtOnce, m.Offers, m.GivenUp, m.Failed, m.Wasted,
			m.UnservedResponseP50, m.UnservedResponseP90, m.UnservedResponseP99Ms, m.WorstKind, m.WorstLarge, m.WorstZone, m.ServedLater, m.ServedLaterSeconds, m.FalseEjections, m.FalseSilences, m.Busy, m.Fragments, m.HeldBack, m.Vacant, m.OutOfUse, m.SlowStops)
	}
	return t.Flush()
}
