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
	ExitFailed    = 1 // it could not start or run
	ExitConfig    = 2 // the configuration or the command line is wrong
	ExitUndrained = 3 // a planned stop ended with work in flight
)

// Main runs the daemon with the arguments of a process, and returns its exit
// code.
func Main(args []string) int {
	code := ExitOK
	app := &cli.Command{
		Name:  "sedgehatchd",
		Usage: "one entry instance of sedgehatch",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the configuration `FILE` (INI); required"},
			&cli.BoolFlag{Name: "check", Usage: "only check the configuration"},
		},
		Commands: []*cli.Command{{
			Name:  "platform",
			Usage: "run on the users' platform, with its settings file ($" + platform.SettingsVariable + ")",
			Flags: []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "only check the settings"}},
			Action: func(_ context.Context, c *cli.Command) error {
				code = node.Main(c.Bool("check"), os.Stderr)
				return nil
			},
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("config") == "" {
				return failure.Field(failure.InvalidInput, "config", "--config FILE is required")
			}
			code = daemon(ctx, c.String("config"), c.Bool("check"), os.Stderr)
			return nil
		},
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "sedgehatchd:", err)
		return ExitConfig
	}
	return code
}

// daemon runs one instance until a signal.
func daemon(ctx context.Context, path string, checkOnly bool, out io.Writer) int {
	cfg, problems := LoadConfig(path)
	for _, p := range problems {
		fmt.Fprintln(out, "sedgehatchd:", failure.Text(p))
	}
	if len(problems) > 0 {
		return ExitConfig
	}
	if checkOnly {
		fmt.Fprintf(out, "sedgehatchd: %s is right\n", path)
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
	return node.untilSignal(ctx, signals)
}

// untilSignal stops as planned on the first signal, and at once on a second.
func (n *Node) untilSignal(ctx context.Context, signals <-chan os.Signal) int {
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

// NewLogger returns the logger that a configuration asks for.
func NewLogger(cfg Config, out io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(cfg.LogLevel)) // checked with the configuration
	options := &slog.HandlerOptions{Level: level}
	if cfg.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
