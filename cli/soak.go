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
		Usage: "run the daemon as processes against an emulated platform, inject faults, check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "the `PROGRAM` to run; by default sedgehatchd beside this program, then in the path, then built from the checkout that this is run in"},
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "how many seeds, one after the other", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "how long faults are injected for each seed", Value: 20 * time.Second},
			&cli.IntFlag{Name: "zones", Value: 2, Usage: "availability zones"},
			&cli.IntFlag{Name: "instances", Value: 3, Usage: "instances of each zone"},
			&cli.IntFlag{Name: "upstreams", Value: 4, Usage: "upstreams of each zone"},
			&cli.BoolFlag{Name: "evacuations", Value: true, Usage: "also evacuate availability zones"},
			&cli.BoolFlag{Name: "lives", Value: true, Usage: "also let upstreams start again under their ids, and shrink and grow"},
			&cli.IntFlag{Name: "customers", Value: 12, Usage: "customers that send one job after the other"},
			&cli.StringFlag{Name: "keep", Usage: "a `DIRECTORY` where the logs of all instances stay"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			// A run that is broken off, also by a pipe that closes, still ends
			// its processes.
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGPIPE)
			defer stop()
			daemon, cleanup, err := soakDaemon(c.String("daemon"))
			if err != nil {
				return err
			}
			defer cleanup()
			for i := range c.Int("seeds") {
				if ctx.Err() != nil {
					return failure.Stopping.New("the soak was broken off")
				}
				if err := soakSeed(ctx, c, daemon, c.Uint64("seed")+uint64(i)); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// daemonProgram is the name of the daemon's program.
const daemonProgram = "sedgehatchd"

// soakDaemon finds the daemon: the one that is named, one beside this program, one in
// the path, or one that it builds from the checkout in the working directory. Cleanup
// removes what was built. The error is InvalidInput and tells how to get one.
func soakDaemon(named string) (program string, cleanup func(), err error) {
	nothing := func() {}
	if named != "" {
		if program, err = exec.LookPath(named); err != nil {
			return "", nil, failure.Field(failure.InvalidInput, "daemon", "cannot be run: %v", err)
		}
		return program, nothing, nil
	}
	if self, err := os.Executable(); err == nil {
		if beside, err := exec.LookPath(filepath.Join(filepath.Dir(self), daemonProgram)); err == nil {
			return beside, nothing, nil
		}
	}
	if program, err := exec.LookPath(daemonProgram); err == nil {
		return program, nothing, nil
	}
	return buildDaemon()
}

func buildDaemon() (program string, cleanup func(), err error) {
	dir, err := os.MkdirTemp("", "sedgehatch-daemon-")
	if err != nil {
		return "", nil, failure.Internal.Wrap(err, "no directory for the daemon")
	}
	cleanup = func() { _ = os.RemoveAll(dir) } // it is the system's to clean otherwise
	program = filepath.Join(dir, daemonProgram)
	out, err := exec.Command("go", "build", "-o", program, "./cmd/"+daemonProgram).CombinedOutput()
	if err != nil {
		cleanup()
		return "", nil, failure.Field(failure.InvalidInput, "daemon",
			"no %s is beside this program or in the path, and none can be built here (%s); run this in a checkout with Go, or name one", daemonProgram, strings.TrimSpace(string(out)))
	}
	return program, cleanup, nil
}

// soakSeed runs one seed. The error is Invariant where a promise was broken.
func soakSeed(ctx context.Context, c *cli.Command, daemon string, seed uint64) error {
	dir := c.String("keep")
	if dir == "" {
		temporary, err := os.MkdirTemp("", "sedgehatch-soak-")
		if err != nil {
			return failure.Internal.Wrap(err, "no directory for settings and logs")
		}
		dir = temporary
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return failure.Field(failure.InvalidInput, "keep", "cannot make the directory: %v", err)
	}
	report, err := soak.Run(ctx, soak.Config{
		Daemon: daemon, Dir: dir, Seed: seed, Length: c.Duration("length"),
		Zones: c.Int("zones"), Instances: c.Int("instances"), Upstreams: c.Int("upstreams"), Customers: c.Int("customers"), Evacuations: c.Bool("evacuations"), Lives: c.Bool("lives"),
	})
	if err != nil {
		return failure.Field(failure.InvalidInput, "daemon", "the soak does not start: %v", err)
	}
	fmt.Fprintf(c.Root().Writer, "seed %d: %d faults, %d evacuations, %d starts, answers %v, %d broken\n", seed, report.Faults, report.Evacuations, report.Starts, report.Answers, len(report.Broken))
	for _, b := range report.Broken {
		fmt.Fprintln(c.Root().Writer, "  broken:", b)
	}
	if len(report.Broken) == 0 && c.String("keep") == "" {
		_ = os.RemoveAll(dir) // it is the system's to clean otherwise
	}
	if len(report.Broken) > 0 {
		fmt.Fprintln(c.Root().Writer, "  settings and logs:", dir)
		return failure.Invariant.New("seed %d broke %d promises", seed, len(report.Broken))
	}
	return nil
}
