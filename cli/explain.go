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
		Usage:     "tell from logs what became of a job, and why",
		ArgsUsage: "ID",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "logs", Usage: "a `FILE` with the lines of some instances; may be repeated; standard input without it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return failure.Field(failure.InvalidInput, "id", "name one job")
			}
			log, err := readLogs(c.StringSlice("logs"))
			if err != nil {
				return err
			}
			story := log.Explain(c.Args().First())
			if err := story.Write(c.Root().Writer); err != nil {
				return failure.Internal.Wrap(err, "cannot write the story")
			}
			if len(story.Lines) == 0 {
				return exit{ExitError}
			}
			return nil
		},
	}
}

func readLogs(paths []string) (*explain.Logs, error) {
	log := &explain.Logs{}
	if len(paths) == 0 {
		if err := log.Read(os.Stdin); err != nil {
			return nil, failure.Field(failure.InvalidInput, "logs", "cannot read standard input: %v", err)
		}
		return log, nil
	}
	for _, path := range paths {
		if err := readLog(log, path); err != nil {
			return nil, failure.Field(failure.InvalidInput, "logs", "%v", err)
		}
	}
	return log, nil
}

func readLog(log *explain.Logs, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
	return log.Read(f)
}
