// Package cli is the command line of operators and callers.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/urfave/cli/v3"
)

// The exit codes. Each fate of a job has its own.
const (
	ExitComplete  = 0 // or any other success
	ExitError     = 1 // the command failed; nothing is known of a fate
	ExitUsage     = 2 // the command line or the input is wrong
	ExitConflict  = 3 // somebody else changed the settings first
	ExitFailed    = 10
	ExitNotRun    = 11
	ExitUnknown   = 12
	ExitPending   = 13 // the job has no fate yet
	ExitInvariant = 20 // one of the product's promises was seen broken
)

// exitOf gives the exit code of a fate.
var exitOf = map[fate.Kind]int{
	fate.Complete: ExitComplete, fate.Failed: ExitFailed, fate.NotRun: ExitNotRun,
	fate.Unknown: ExitUnknown, fate.Pending: ExitPending,
}

// exit ends the process with a code, after what had to be said was said.
type exit struct{ code int }

func (e exit) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// Main runs the command line, and returns the exit code of the process.
func Main(args []string) int {
	return Run(context.Background(), args, os.Stdout, os.Stderr)
}

// Run is Main with its outputs passed in.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := root(out, errOut).Run(ctx, args)
	var code exit
	switch {
	case err == nil:
		return ExitComplete
	case errors.As(err, &code):
		return code.code
	}
	fmt.Fprintln(errOut, "sedgehatch:", wordError(err))
	switch {
	case failure.Is(err, failure.InvalidInput), failure.Is(err, failure.TooLarge):
		return ExitUsage
	case failure.Is(err, failure.Conflict):
		return ExitConflict
	case failure.Is(err, failure.Invariant):
		return ExitInvariant
	case failure.Code(err) == "internal":
		return ExitUsage // an error of the command line itself
	default:
		return ExitError
	}
}

// wordError words an error for a person: the field, what is wrong, the type.
func wordError(err error) string {
	text := failure.Text(err)
	if field := failure.FieldOf(err); field != "" {
		text = field + ": " + text
	}
	return text + " (" + failure.Code(err) + ")"
}

func root(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "sedgehatch",
		Usage:                 "submit jobs to sedgehatch, and operate it",
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: "Exit codes: 0 complete, 1 error, 2 wrong usage or input, 3 conflict,\n" +
			"10 failed, 11 not run, 12 unknown, 13 pending, 20 a promise was broken.",
		Commands: []*cli.Command{
			demoCommand(), submitCommand(), jobCommand(), settingsCommand(), instancesCommand(),
			benchCommand(), explainCommand(), soakCommand(), labCommand(), standinCommand(), versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version of this program",
		Action: func(_ context.Context, c *cli.Command) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			fmt.Fprintln(c.Root().Writer, "sedgehatch", version)
			return nil
		},
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

// callerFlags are the flags of commands that speak to entries.
func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Aliases: []string{"e"}, Usage: "`HOST:PORT` of an entry or the balancer; may be repeated",
			Sources: cli.EnvVars("SEDGEHATCH_ENTRY"), Value: []string{"127.0.0.1:7400"},
		},
		&cli.StringFlag{Name: "caller", Usage: "the `NAME` to submit as", Value: "operator", Sources: cli.EnvVars("SEDGEHATCH_CALLER")},
	}
}

func newClient(c *cli.Command) (*client.Client, error) {
	return client.New(client.Config{Entries: c.StringSlice("entry"), Caller: c.String("caller")})
}

func printJSON(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return failure.Internal.Wrap(err, "the answer does not encode")
	}
	fmt.Fprintln(w, string(body))
	return nil
}
