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
		Name: "demo", Usage: "run a small fleet in this process and submit jobs of two services to it",
		Description: "Starts an emulated platform, emulated upstreams and 4 instances in 2 availability\n" +
			"zones, submits jobs from several callers, resubmits some of them to other\n" +
			"instances, and checks the invariants.",
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
			return invariantError(&report)
		},
	}
}

// invariantError returns an Invariant error if a run violated an invariant or started a task
// twice.
func invariantError(r *experiment.Report) error {
	if len(r.Violations) > 0 || r.DuplicateStarts > 0 {
		return failure.Invariant.New("%d tasks started twice; %s", r.DuplicateStarts, strings.Join(r.Violations, "; "))
	}
	return nil
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "run scenarios and compare policies, witness scopes and loads",
		ArgsUsage:   "SCENARIO.ini ...",
		Description: "Runs each scenario once with each combination of the flags' values, one after another.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Usage: "`ORDER` of waiting tasks: fifo, least_remaining; may be repeated"},
			&cli.StringSliceFlag{Name: "placing", Usage: "`MODE` of allocating upstreams: broker, static, guess, probe; may be repeated"},
			&cli.StringSliceFlag{Name: "witness", Usage: "`SCOPE` of the witness: none, zone, region; may be repeated"},
			&cli.Float64SliceFlag{Name: "load", Usage: "offered load as a `SHARE` of all slots; may be repeated"},
			&cli.Float64Flag{Name: "seconds", Usage: "duration of each run; overrides that of the scenario"},
			&cli.StringFlag{Name: "plot", Usage: "write plots of response time ratios and messages over load to `DIR`"},
			jsonFlag(),
		},
		Action: bench,
	}
}

func bench(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return failure.Field(failure.InvalidInput, "SCENARIO.ini", "is missing; name at least one scenario")
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
		results, err := variants.Run(s, func(row *experiment.RunResult) { fmt.Fprintln(c.Root().ErrWriter, "done:", row.Name) })
		if err != nil {
			return err
		}
		rows = append(rows, results...)
	}
	if err := outputRows(c, rows); err != nil {
		return err
	}
	for i := range rows {
		if err := invariantError(&rows[i].Report); err != nil {
			return err
		}
	}
	return nil
}

func outputRows(c *cli.Command, rows []experiment.RunResult) error {
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

// standinCommand runs an emulated platform or upstream as a process, for manual tests of the
// daemon.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run an emulated platform or upstream, for manual tests",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run an emulated platform with a fixed list of instances",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300"},
					&cli.StringFlag{Name: "instances", Usage: "`FILE` with the list of instances as JSON", Required: true},
				},
				Action: servePlatform,
			},
			{
				Name: "upstream", Usage: "run an emulated upstream",
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
		return failure.Field(failure.InvalidInput, "instances", "is not a list of instances as JSON: %v", err)
	}
	p, err := standin.StartPlatform(c.String("listen"))
	if err != nil {
		return err
	}
	defer p.Close()
	for _, i := range list.Instances {
		p.PutInstance(i)
	}
	waitForSignal(ctx)
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
	waitForSignal(ctx)
	return nil
}

func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}
