// Package cli implements the sedgehatch command-line tool for operators and callers.
//
// A caller is a program or person that submits jobs. The fate of a job is its final outcome:
// complete, failed, not run or unknown. A job is identified by the session in which it was
// submitted, its sequence number in that session and its generation. Settings are a tree of
// values, and each change to them makes a new revision.
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

// The exit codes of the process. Each fate of a job has its own code.
const (
	ExitComplete  = 0 // the job is complete, or another command succeeded
	ExitError     = 1 // the command failed for a reason other than the fate of a job
	ExitUsage     = 2 // the command line or the input is invalid
	ExitConflict  = 3 // the settings were changed by someone else in the meantime
	ExitFailed    = 10
	ExitNotRun    = 11
	ExitUnknown   = 12
	ExitPending   = 13 // the job has no fate yet, or some instances do not use the changed settings yet
	ExitInvariant = 20 // a demo, benchmark or soak run violated an invariant of the product
)

// exitCodes maps the fate of a job to the exit code.
var exitCodes = map[fate.Kind]int{
	fate.Complete: ExitComplete, fate.Failed: ExitFailed, fate.NotRun: ExitNotRun,
	fate.Unknown: ExitUnknown, fate.Pending: ExitPending,
}

// exitError is returned by commands that have printed their result, to end the process with an
// exit code but without an error message.
type exitError struct{ code int }

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// Main runs the command given by the arguments of the process and returns the exit code.
func Main(args []string) int {
	return Run(context.Background(), args, os.Stdout, os.Stderr)
}

// Run is like Main, but takes a context and writes to the given outputs.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := newRootCommand(out, errOut).Run(ctx, args)
	var exit exitError
	switch {
	case err == nil:
		return ExitComplete
	case errors.As(err, &exit):
		return exit.code
	}
	fmt.Fprintln(errOut, "sedgehatch:", formatError(err))
	switch {
	case failure.Is(err, failure.InvalidInput), failure.Is(err, failure.TooLarge):
		return ExitUsage
	case failure.Is(err, failure.Conflict):
		return ExitConflict
	case failure.Is(err, failure.Invariant):
		return ExitInvariant
	case failure.Code(err) == "internal":
		return ExitUsage // errors of the command-line parser, which have no type of package failure
	default:
		return ExitError
	}
}

// formatError returns the message to print for an error: the field if it has one, the text and
// the type.
func formatError(err error) string {
	text := failure.Text(err)
	if field := failure.FieldOf(err); field != "" {
		text = field + ": " + text
	}
	return text + " (" + failure.Code(err) + ")"
}

func newRootCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "sedgehatch",
		Usage:                 "submit jobs to sedgehatch and operate it",
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: "Exit codes: 0 complete, 1 error, 2 wrong usage or input, 3 conflict,\n" +
			"10 failed, 11 not run, 12 unknown, 13 pending, 20 an invariant was violated.",
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

// clientFlags returns the flags of commands that connect to instances.
func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Aliases: []string{"e"}, Usage: "`HOST:PORT` of an instance or of the load balancer; may be repeated",
			Sources: cli.EnvVars("SEDGEHATCH_ENTRY"), Value: []string{"127.0.0.1:7400"},
		},
		&cli.StringFlag{Name: "caller", Usage: "the `NAME` of the caller to submit as", Value: "operator", Sources: cli.EnvVars("SEDGEHATCH_CALLER")},
	}
}

func newClient(c *cli.Command) (*client.Client, error) {
	return client.New(client.Config{Entries: c.StringSlice("entry"), Caller: c.String("caller")})
}

func printJSON(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return failure.Internal.Wrap(err, "cannot encode the answer as JSON")
	}
	fmt.Fprintln(w, string(body))
	return nil
}
