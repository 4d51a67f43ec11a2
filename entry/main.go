package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/node"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/urfave/cli/v3"
)

// The exit codes of the daemon.
const (
	ExitOK        = 0
	ExitFailed    = 1 // the daemon could not start
	ExitConfig    = 2 // the configuration or the command line is invalid
	ExitUndrained = 3 // a planned shutdown ended with jobs still in flight
)

// Main runs the daemon with the given process arguments and returns its exit code.
func Main(args []string) int {
	code := ExitOK
	app := &cli.Command{
		Name:  "sedgehatchd",
		Usage: "run an instance of sedgehatch",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "path of the INI configuration `FILE`; required"},
			&cli.BoolFlag{Name: "check", Usage: "check the configuration and exit"},
		},
		Commands: []*cli.Command{{
			Name:  "platform",
			Usage: "run on the users' platform; the path of its settings file is in the environment ($" + platform.SettingsVariable + ")",
			Flags: []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}},
			Action: func(_ context.Context, c *cli.Command) error {
				code = node.Main(c.Bool("check"), os.Stderr)
				return nil
			},
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("config") == "" {
				return failure.Field(failure.InvalidInput, "config", "--config FILE is required")
			}
			code = runDaemon(ctx, c.String("config"), c.Bool("check"), os.Stderr)
			return nil
		},
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "sedgehatchd:", err)
		return ExitConfig
	}
	return code
}

// runDaemon runs an instance until a signal is received.
func runDaemon(ctx context.Context, path string, checkOnly bool, out io.Writer) int {
	cfg, problems := LoadConfig(path)
	for _, p := range problems {
		fmt.Fprintln(out, "sedgehatchd:", failure.Text(p))
	}
	if len(problems) > 0 {
		return ExitConfig
	}
	if checkOnly {
		fmt.Fprintf(out, "sedgehatchd: %s is valid\n", path)
		return ExitOK
	}
	node, err := New(cfg, Hooks{}, NewLogger(cfg, out))
	if err != nil {
		fmt.Fprintln(out, "sedgehatchd:", err)
		return ExitFailed
	}
	node.Metrics().Publish("sedgehatch")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	node.Run()
	return node.runUntilSignal(ctx, signals)
}

// runUntilSignal waits for a signal and then shuts the instance down gracefully. A second
// signal ends it at once.
func (n *Node) runUntilSignal(ctx context.Context, signals <-chan os.Signal) int {
	<-signals
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if !n.Stop(ctx) {
		return ExitUndrained
	}
	return ExitOK
}

// NewLogger returns the logger described by a configuration.
func NewLogger(cfg Config, out io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(cfg.LogLevel)) // cannot fail: ParseConfig has checked the level
	options := &slog.HandlerOptions{Level: level}
	if cfg.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
