package cli

import (
	"context"
	"os"

	"github.com/sedgehatch/sedgehatch/explain"
	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain from logs what happened to a job and why",
		ArgsUsage: "ID",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "logs", Usage: "`FILE` with log lines of one or more instances; may be repeated; default is standard input"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return failure.Field(failure.InvalidInput, "id", "exactly one job ID is required")
			}
			logs, err := readLogs(c.StringSlice("logs"))
			if err != nil {
				return err
			}
			explanation := logs.Explain(c.Args().First())
			if err := explanation.Write(c.Root().Writer); err != nil {
				return failure.Internal.Wrap(err, "cannot write the explanation")
			}
			if len(explanation.Lines) == 0 {
				return exitError{ExitError}
			}
			return nil
		},
	}
}

func readLogs(paths []string) (*explain.Logs, error) {
	logs := &explain.Logs{}
	if len(paths) == 0 {
		if err := logs.Read(os.Stdin); err != nil {
			return nil, failure.Field(failure.InvalidInput, "logs", "cannot read standard input: %v", err)
		}
		return logs, nil
	}
	for _, path := range paths {
		if err := readLog(logs, path); err != nil {
			return nil, failure.Field(failure.InvalidInput, "logs", "%v", err)
		}
	}
	return logs, nil
}

func readLog(logs *explain.Logs, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // an error does not matter after reading
	return logs.Read(f)
}
