package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/experiment"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/standin"

	"github.com/urfave/cli/v3"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a small fleet in this process and both users' services on it",
		Description: "Starts stand-ins of the platform and of upstreams, 4 entries in 2 availability\n" +
			"zones, submits jobs from several callers, resubmits some to other entries, and\n" +
			"checks what must always hold.",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			report, err := experiment.RunDemo()
			if err != nil {
				return err
			}
			out := c.Root().Writer
			printReports(out, []experiment.RunResult{{Name: "demo", Report: report}})
			if c.Bool("json") {
				if err := printJSON(out, report); err != nil {
					return err
				}
			}
			return broken(&report)
		},
	}
}

// broken returns an error when a run broke a promise.
func broken(r *experiment.Report) error {
	if len(r.Violations) > 0 || r.DuplicateStarts > 0 {
		return failure.Invariant.New("%d tasks started twice; %s", r.DuplicateStarts, strings.Join(r.Violations, "; "))
	}
	return nil
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "run scenarios, and compare policies, witnesses and loads",
		ArgsUsage:   "SCENARIO.ini ...",
		Description: "Each combination of the flags runs each scenario once, one after another.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Usage: "`ORDER` of waiting work: fifo, least_remaining; may be repeated"},
			&cli.StringSliceFlag{Name: "placing", Usage: "`WAY` of sharing upstreams: broker, static, guess, probe; may be repeated"},
			&cli.StringSliceFlag{Name: "witness", Usage: "`SCOPE` of the witness: none, zone, region; may be repeated"},
			&cli.Float64SliceFlag{Name: "load", Usage: "`SHARE` of all slots that is offered; may be repeated"},
			&cli.Float64Flag{Name: "seconds", Usage: "run each for so long instead"},
			&cli.StringFlag{Name: "plot", Usage: "write plots of ratio and messages against load to `DIR`"},
			jsonFlag(),
		},
		Action: bench,
	}
}

func bench(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return failure.Field(failure.InvalidInput, "SCENARIO.ini", "names no scenario")
	}
	variants := experiment.Variants{
		QueueOrders: c.StringSlice("policy"), Placements: c.StringSlice("placing"), Witnesses: c.StringSlice("witness"),
		Loads: c.Float64Slice("load"), Seconds: c.Float64("seconds"),
	}
	var rows []experiment.RunResult
	for _, path := range c.Args().Slice() {
		s, err := experiment.ReadScenario(path)
		if err != nil {
			return err
		}
		played, err := variants.Run(s, func(row *experiment.RunResult) { fmt.Fprintln(c.Root().ErrWriter, "done:", row.Name) })
		if err != nil {
			return err
		}
		rows = append(rows, played...)
	}
	if err := present(c, rows); err != nil {
		return err
	}
	for i := range rows {
		if err := broken(&rows[i].Report); err != nil {
			return err
		}
	}
	return nil
}

func present(c *cli.Command, rows []experiment.RunResult) error {
	if dir := c.String("plot"); dir != "" {
		if err := experiment.WritePlots(dir, rows); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, rows)
	}
	printReports(c.Root().Writer, rows)
	return nil
}

func printReports(w io.Writer, rows []experiment.RunResult) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "RUN\tJOBS\tTASKS\tCOMPLETE\tFAILED\tNOT RUN\tUNKNOWN\tTWICE\tMSG/TASK\tWASTED\tRATIO P50\tP99\tGOODPUT\tREFUSAL P99 MS\t")
	for _, row := range rows {
		r := &row.Report
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.4f\t%.3f\t%.3f\t%.3f\t%.2f\t\n", row.Name, r.Jobs, r.Tasks, r.Complete, r.Failed,
			r.NotRun, r.Unknown, r.DuplicateStarts, r.MessagesPerTask, r.WastedPerTask, r.RatioP50, r.RatioP99, r.GoodputShare, r.RefusalP99Ms)
	}
}

// standinCommand serves the stand-ins as processes, for trying the daemons.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "serve a stand-in of the platform or of an upstream, for trials",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "serve a platform with a fixed list of instances",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300"},
					&cli.StringFlag{Name: "instances", Usage: "`FILE` with the list, JSON", Required: true},
				},
				Action: servePlatform,
			},
			{
				Name: "upstream", Usage: "serve an upstream",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Required: true}, &cli.StringFlag{Name: "id", Required: true},
					&cli.StringFlag{Name: "zone", Required: true}, &cli.StringFlag{Name: "rack"},
					&cli.IntFlag{Name: "slots", Value: 8}, &cli.FloatFlag{Name: "cpu", Value: 64},
				},
				Action: serveUpstream,
			},
		},
	}
}

func servePlatform(ctx context.Context, c *cli.Command) error {
	raw, err := os.ReadFile(c.String("instances"))
	if err != nil {
		return failure.Field(failure.InvalidInput, "instances", "cannot be read: %v", err)
	}
	var list api.PlatformInstances
	if err := json.Unmarshal(raw, &list); err != nil {
		return failure.Field(failure.InvalidInput, "instances", "is not the JSON of a list: %v", err)
	}
	p, err := standin.StartPlatform(c.String("listen"))
	if err != nil {
		return err
	}
	defer p.Close()
	for _, i := range list.Instances {
		p.PutInstance(i)
	}
	untilSignal(ctx)
	return nil
}

func serveUpstream(ctx context.Context, c *cli.Command) error {
	u, err := standin.StartUpstream(standin.UpstreamConfig{Listen: c.String("listen"), Info: api.UpstreamInfo{
		ID: c.String("id"), Zone: c.String("zone"), Rack: c.String("rack"), Slots: c.Int("slots"),
		CPU: c.Float("cpu"), MemoryMB: 128 << 10, Connections: 64,
	}})
	if err != nil {
		return err
	}
	defer u.Close()
	untilSignal(ctx)
	return nil
}

func untilSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}
