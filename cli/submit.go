package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/urfave/cli/v3"
)

// jobFile is the JSON input of the command submit.
type jobFile struct {
	Service    string     `json:"service"`
	Repeatable bool       `json:"repeatable"`
	DeadlineMs int64      `json:"deadline_ms"`
	Tasks      []api.Task `json:"tasks"`
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submit a job and wait for its final outcome (fate)",
		ArgsUsage:   "FILE (JSON; - is standard input)",
		Description: `A job: {"service":"desk","deadline_ms":5000,"tasks":[{"cpu":1,"run_ms":200,"payload":{}}]}`,
		Flags:       append(clientFlags(), jsonFlag()),
		Action:      submit,
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	job, err := readJob(c.Args().First(), os.Stdin)
	if err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	defer cl.Close()
	sub, err := cl.Prepare(ctx, job)
	if err != nil {
		return err
	}
	if isTerminal(c.Root().ErrWriter) {
		progressCtx, stop := context.WithCancel(ctx)
		defer stop()
		go showProgress(progressCtx, c.Root().ErrWriter, cl, sub.Key())
	}
	answer, err := sub.Submit(ctx)
	if client.HomeEnded(&answer) || failure.Is(err, failure.SessionEnded) || failure.Is(err, failure.Stopping) {
		// The instance or the session ended before the job ran, so that the job may be
		// submitted again, in another session.
		cl.Leave(sub)
		answer, err = cl.Do(ctx, job)
	}
	if err != nil {
		return err
	}
	return outputAnswer(c, answer)
}

func readJob(name string, stdin io.Reader) (client.Job, error) {
	var raw []byte
	var err error
	switch name {
	case "":
		return client.Job{}, failure.Field(failure.InvalidInput, "FILE", "is missing; name a file, or - for standard input")
	case "-":
		raw, err = io.ReadAll(io.LimitReader(stdin, api.MaxBody))
	default:
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return client.Job{}, failure.Field(failure.InvalidInput, name, "cannot be read: %v", err)
	}
	var f jobFile
	if err := api.Decode(raw, &f); err != nil {
		return client.Job{}, err
	}
	return client.Job{
		Service: f.Service, Repeatable: f.Repeatable, Tasks: f.Tasks,
		Deadline: time.Duration(f.DeadlineMs) * time.Millisecond,
	}, nil
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progressInterval is the interval at which the progress of a job is polled.
const progressInterval = 200 * time.Millisecond

// showProgress displays how many tasks of a job have ended, until ctx is cancelled.
func showProgress(ctx context.Context, w io.Writer, cl *client.Client, key fate.Key) {
	for {
		select {
		case <-ctx.Done():
			fmt.Fprint(w, "\r\033[K")
			return
		case <-time.After(progressInterval):
		}
		if a, err := cl.State(ctx, key, 0); err == nil && a.Total > 0 {
			fmt.Fprintf(w, "\r%d of %d tasks", a.Done, a.Total)
		}
	}
}

// outputAnswer prints an answer and returns an exitError with the exit code of its fate, or nil
// if the job is complete.
func outputAnswer(c *cli.Command, a api.Answer) error {
	out := c.Root().Writer
	if c.Bool("json") {
		if err := printJSON(out, a); err != nil {
			return err
		}
	} else {
		printAnswer(out, &a)
	}
	if code := exitCodes[a.Fate]; code != ExitComplete {
		return exitError{code}
	}
	return nil
}

func printAnswer(w io.Writer, a *api.Answer) {
	fmt.Fprintf(w, "session     %s\nsequence    %d\nfate        %s\n", a.Session, a.Sequence, a.Fate)
	if a.Reason != "" {
		fmt.Fprintf(w, "reason      %s\n", a.Reason)
	}
	if a.RetryAfterMs > 0 {
		fmt.Fprintf(w, "retry after %d ms\n", a.RetryAfterMs)
	}
	if a.Total > 0 {
		fmt.Fprintf(w, "progress    %d of %d tasks\n", a.Done, a.Total)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	for i, task := range a.Tasks {
		fmt.Fprintf(t, "task %d\t%s\t%s\n", i, task.State, strings.TrimSpace(string(task.Result)+" "+task.Error))
	}
}

func jobCommand() *cli.Command {
	keyFlags := []cli.Flag{
		&cli.StringFlag{Name: "session", Usage: "the `TOKEN` of the session", Required: true},
		&cli.Uint64Flag{Name: "sequence", Usage: "the `NUMBER` of the job in its session", Required: true},
		&cli.Uint32Flag{Name: "generation", Usage: "the `NUMBER` of the job's generation"},
		jsonFlag(),
	}
	return &cli.Command{
		Name: "job", Usage: "query or cancel a job",
		Commands: []*cli.Command{
			{
				Name: "state", Usage: "print the state of a job",
				Flags: append(append(clientFlags(), keyFlags...), &cli.DurationFlag{Name: "wait", Usage: "how long to wait for the fate of the job"}),
				Action: func(ctx context.Context, c *cli.Command) error {
					return withClient(c, func(cl *client.Client) (api.Answer, error) {
						return cl.State(ctx, jobKey(c), c.Duration("wait"))
					})
				},
			},
			{
				Name: "cancel", Usage: "cancel a job and print its fate",
				Flags: append(clientFlags(), keyFlags...),
				Action: func(ctx context.Context, c *cli.Command) error {
					return withClient(c, func(cl *client.Client) (api.Answer, error) { return cl.Cancel(ctx, jobKey(c)) })
				},
			},
		},
	}
}

func jobKey(c *cli.Command) fate.Key {
	return fate.Key{Session: fate.Session(c.String("session")), Sequence: c.Uint64("sequence"), Generation: c.Uint32("generation")}
}

func withClient(c *cli.Command, request func(*client.Client) (api.Answer, error)) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	defer cl.Close()
	answer, err := request(cl)
	if err != nil {
		return err
	}
	return outputAnswer(c, answer)
}

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "list all instances as seen by one of them",
		Flags: append(clientFlags(), jsonFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			defer cl.Close()
			list, err := cl.Instances(ctx)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c.Root().Writer, list)
			}
			printInstances(c.Root().Writer, list)
			return nil
		},
	}
}

func printInstances(w io.Writer, list []api.InstanceStatus) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "INSTANCE\tZONE\tSTATE\tJOBS\tSETTINGS\tFREE SLOTS\tQUEUED")
	for _, i := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", i.Instance, i.Zone, i.State, i.ActiveJobs, i.Revision, i.FreeSlots, i.QueuedTasks)
	}
}
