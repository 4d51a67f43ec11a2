package cli

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/soak"

	"github.com/urfave/cli/v3"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemon processes against an emulated platform, inject faults and check invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "the `PROGRAM` to run; by default sedgehatchd in the directory of this program, then in the PATH, then built from the checkout in the working directory"},
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of consecutive seeds to run, one after the other", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "how long faults are injected for each seed", Value: 20 * time.Second},
			&cli.IntFlag{Name: "zones", Value: 2, Usage: "number of availability zones"},
			&cli.IntFlag{Name: "instances", Value: 3, Usage: "number of instances in each zone"},
			&cli.IntFlag{Name: "upstreams", Value: 4, Usage: "number of upstreams in each zone"},
			&cli.BoolFlag{Name: "evacuations", Value: true, Usage: "also evacuate availability zones"},
			&cli.BoolFlag{Name: "lives", Value: true, Usage: "also restart upstreams under the same IDs and change their capacity"},
			&cli.BoolFlag{Name: "uneven", Value: true, Usage: "also use upstreams of different speed, and drain upstreams at short notice"},
			&cli.BoolFlag{Name: "cancellations", Value: true, Usage: "also let customers cancel some of their jobs, at any instance"},
			&cli.IntFlag{Name: "customers", Value: 12, Usage: "number of customers, each of which sends one job after the other"},
			&cli.StringFlag{Name: "keep", Usage: "`DIRECTORY` in which to keep the settings and logs of all instances"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			// An interrupted run must still stop the daemons that it has started. SIGPIPE
			// arrives if the reader of its output ends first.
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGPIPE)
			defer stop()
			daemon, cleanup, err := findDaemon(c.String("daemon"))
			if err != nil {
				return err
			}
			defer cleanup()
			for i := range c.Int("seeds") {
				if ctx.Err() != nil {
					return failure.Stopping.New("the soak run was interrupted")
				}
				if err := runSoak(ctx, c, daemon, c.Uint64("seed")+uint64(i)); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// daemonName is the name of the daemon's executable.
const daemonName = "sedgehatchd"

// findDaemon returns the path of the daemon's executable. This is name, if it is not empty. If it
// is empty, findDaemon looks in the directory of this program and then in the PATH, and otherwise
// builds the daemon from the checkout in the working directory. Cleanup removes what was built. If
// there is no daemon, the error is InvalidInput and says how to provide one.
func findDaemon(name string) (program string, cleanup func(), err error) {
	noCleanup := func() {}
	if name != "" {
		if program, err = exec.LookPath(name); err != nil {
			return "", nil, failure.Field(failure.InvalidInput, "daemon", "cannot be run: %v", err)
		}
		return program, noCleanup, nil
	}
	if self, err := os.Executable(); err == nil {
		if sibling, err := exec.LookPath(filepath.Join(filepath.Dir(self), daemonName)); err == nil {
			return sibling, noCleanup, nil
		}
	}
	if program, err := exec.LookPath(daemonName); err == nil {
		return program, noCleanup, nil
	}
	return buildDaemon()
}

func buildDaemon() (program string, cleanup func(), err error) {
	dir, err := os.MkdirTemp("", "sedgehatch-daemon-")
	if err != nil {
		return "", nil, failure.Internal.Wrap(err, "cannot create a directory for the daemon")
	}
	cleanup = func() { _ = os.RemoveAll(dir) } // if it fails, the system cleans its temporary directory
	program = filepath.Join(dir, daemonName)
	out, err := exec.Command("go", "build", "-o", program, "./cmd/"+daemonName).CombinedOutput()
	if err != nil {
		cleanup()
		return "", nil, failure.Field(failure.InvalidInput, "daemon",
			"%s is neither in the directory of this program nor in the PATH, and cannot be built here (%s); run this in a checkout with Go, or set --daemon", daemonName, strings.TrimSpace(string(out)))
	}
	return program, cleanup, nil
}

// runSoak does the soak run of one seed and prints a summary. The error is Invariant if an
// invariant was violated; the settings and logs of the instances are then kept.
func runSoak(ctx context.Context, c *cli.Command, daemon string, seed uint64) error {
	dir := c.String("keep")
	if dir == "" {
		temporary, err := os.MkdirTemp("", "sedgehatch-soak-")
		if err != nil {
			return failure.Internal.Wrap(err, "cannot create a directory for settings and logs")
		}
		dir = temporary
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return failure.Field(failure.InvalidInput, "keep", "cannot create the directory: %v", err)
	}
	report, err := soak.Run(ctx, soak.Config{
		Daemon: daemon, Dir: dir, Seed: seed, InjectionTime: c.Duration("length"),
		Zones: c.Int("zones"), Instances: c.Int("instances"), Upstreams: c.Int("upstreams"), Customers: c.Int("customers"), Evacuations: c.Bool("evacuations"), RestartsAndResizes: c.Bool("lives"), Uneven: c.Bool("uneven"), Cancellations: c.Bool("cancellations"),
	})
	if err != nil {
		return failure.Field(failure.InvalidInput, "daemon", "the soak run cannot start: %v", err)
	}
	fmt.Fprintf(c.Root().Writer, "seed %d: %d faults, %d evacuations, %d starts, answers %v, %d broken\n", seed, report.Faults, report.Evacuations, report.Starts, report.Responses, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Fprintln(c.Root().Writer, "  broken:", violation)
	}
	if len(report.Violations) == 0 && c.String("keep") == "" {
		_ = os.RemoveAll(dir) // if it fails, the system cleans its temporary directory
	}
	if len(report.Violations) > 0 {
		fmt.Fprintln(c.Root().Writer, "  settings and logs:", dir)
		return failure.Invariant.New("seed %d violated %d invariants", seed, len(report.Violations))
	}
	return nil
}
