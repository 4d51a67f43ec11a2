package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/kv"
	"github.com/sedgehatch/sedgehatch/settings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
)

func settingsCommand() *cli.Command {
	pathFlags := []cli.Flag{
		&cli.StringFlag{Name: "region"}, &cli.StringFlag{Name: "zone"},
		&cli.StringFlag{Name: "service"}, &cli.StringFlag{Name: "caller-name"},
	}
	changeFlags := append(platformFlags(), append(clientFlags(),
		&cli.Uint64Flag{Name: "base", Usage: "fail unless revision `N` is still in force"},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait until the change is in force on all instances", Value: 7 * time.Second},
	)...)
	return &cli.Command{
		Name: "settings", Usage: "read and change the settings",
		Description: "A NODE of the settings is fleet, or 'region NAME', 'zone NAME', 'service NAME' or 'caller NAME' in quotes.",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the value of KEY in force for a region, zone, service and caller", ArgsUsage: "KEY", Flags: append(platformFlags(), pathFlags...), Action: settingsGet},
			{Name: "explain", Usage: "print all values in force for a region, zone, service and caller, with the level that sets them", Flags: append(platformFlags(), pathFlags...), Action: settingsExplain},
			{Name: "set", Usage: "set KEY at NODE", ArgsUsage: "NODE KEY VALUE", Flags: changeFlags, Action: settingsSet},
			{Name: "unset", Usage: "let NODE inherit KEY again", ArgsUsage: "NODE KEY", Flags: changeFlags, Action: settingsUnset},
			{Name: "diff", Usage: "print the changes that FILE would make", ArgsUsage: "FILE", Flags: platformFlags(), Action: settingsDiff},
			{Name: "validate", Usage: "check FILE and print all errors in it", ArgsUsage: "FILE", Action: settingsValidate},
			{Name: "apply", Usage: "apply FILE as the next revision", ArgsUsage: "FILE", Flags: changeFlags, Action: settingsApply},
			{Name: "history", Usage: "list the last revisions", Flags: append(platformFlags(), &cli.IntFlag{Name: "limit", Value: 20}), Action: settingsHistory},
			{Name: "rollback", Usage: "apply the settings of an earlier REVISION as the next one", ArgsUsage: "REVISION", Flags: changeFlags, Action: settingsRollback},
			{Name: "watch", Usage: "print each revision as it is accepted", Flags: append(platformFlags(), &cli.DurationFlag{Name: "for", Usage: "how long to watch; 0 is until interrupted"}), Action: settingsWatch},
			{Name: "keys", Usage: "list all settings with their defaults and allowed values", Action: settingsKeys},
		},
	}
}

func platformFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "platform", Usage: "`HOST:PORT` of the platform", Value: "127.0.0.1:7300", Sources: cli.EnvVars("SEDGEHATCH_PLATFORM"),
	}}
}

func settingsStore(c *cli.Command) *settings.Store {
	return settings.NewStore(platformClient(c), func() int64 { return time.Now().UnixMilli() })
}

func platformClient(c *cli.Command) *kv.Client {
	return kv.NewClient(c.String("platform"), nil, nil)
}

func settingsPath(c *cli.Command) settings.Path {
	return settings.Path{Region: c.String("region"), Zone: c.String("zone"), Service: c.String("service"), Caller: c.String("caller-name")}
}

// exactArgs returns the arguments of a command. It returns an InvalidInput error unless there are
// as many arguments as names.
func exactArgs(c *cli.Command, names ...string) ([]string, error) {
	if c.Args().Len() != len(names) {
		return nil, failure.Field(failure.InvalidInput, "arguments", "%s requires the arguments %s", c.Name, strings.Join(names, " "))
	}
	return c.Args().Slice(), nil
}

func settingsGet(_ context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "KEY")
	if err != nil {
		return err
	}
	if !lo.ContainsBy(settings.Schema(), func(d settings.Definition) bool { return d.Key == args[0] }) {
		return failure.Field(failure.InvalidInput, args[0], "is not a setting; see sedgehatch settings keys")
	}
	_, tree, _, err := settingsStore(c).Load()
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, tree.Get(settingsPath(c), args[0]).Text)
	return nil
}

func settingsExplain(_ context.Context, c *cli.Command) error {
	revision, tree, _, err := settingsStore(c).Load()
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "revision %d\n", revision.Number)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	for _, d := range settings.Schema() {
		v := tree.Get(settingsPath(c), d.Key)
		fmt.Fprintf(t, "%s\t%s %s\tfrom %s\n", d.Key, v.Text, d.Unit, v.From)
	}
	return nil
}

func settingsSet(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "NODE", "KEY", "VALUE")
	if err != nil {
		return err
	}
	return updateKey(ctx, c, args[0], args[1], &args[2])
}

func settingsUnset(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "NODE", "KEY")
	if err != nil {
		return err
	}
	return updateKey(ctx, c, args[0], args[1], nil)
}

func updateKey(ctx context.Context, c *cli.Command, nodeText, key string, value *string) error {
	node, err := settings.ParseNode(nodeText)
	if err != nil {
		return err
	}
	return updateSettings(ctx, c, func(t *settings.Tree) (*settings.Tree, []error) { return t.With(node, key, value) })
}

// updateSettings stores the next revision, which edit derives from the current settings. It
// prints the changes and waits until the revision is in force on all instances.
func updateSettings(ctx context.Context, c *cli.Command, edit func(*settings.Tree) (*settings.Tree, []error)) error {
	revision, diff, err := settingsStore(c).Update(c.Uint64("base"), currentUser(), edit)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "revision %d accepted\n", revision.Number)
	printDiff(out, diff)
	return waitInForce(ctx, c, revision.Number)
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func printDiff(w io.Writer, diff []settings.Difference) {
	if len(diff) == 0 {
		fmt.Fprintln(w, "nothing changes")
	}
	for _, d := range diff {
		fmt.Fprintf(w, "[%s] %s: %s -> %s%s\n", d.Node, d.Key, lo.CoalesceOrEmpty(d.Before, "(inherited)"), lo.CoalesceOrEmpty(d.After, "(inherited)"), affectedServices(d.Node))
	}
}

// affectedServices describes to which services a change at a node of the settings tree applies.
func affectedServices(n settings.Node) string {
	switch n.Level {
	case settings.LevelFleet:
		return "  (every service, where no lower level overrides it)"
	case settings.LevelRegion, settings.LevelZone:
		return "  (every service in " + n.String() + ", where no lower level overrides it)"
	default:
		return "  (" + n.String() + ")"
	}
}

// revisionPollInterval is the interval at which waitInForce asks for the revisions of the instances.
const revisionPollInterval = 100 * time.Millisecond

// waitInForce waits until a revision is in force on all running instances, and prints how long that
// took. If it takes longer than the duration of the flag wait, it prints the instances that still
// have an older revision, and returns an exitError with ExitPending.
func waitInForce(ctx context.Context, c *cli.Command, revision uint64) error {
	wait := c.Duration("wait")
	cl, err := newClient(c)
	if err != nil || wait == 0 {
		return err
	}
	defer cl.Close()
	start := time.Now()
	outdated := []string{"no entry answers"}
	for time.Since(start) < wait {
		if outdated = outdatedInstances(ctx, cl, revision); len(outdated) == 0 {
			fmt.Fprintf(c.Root().Writer, "in force on every entry after %v\n", time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(revisionPollInterval)
	}
	fmt.Fprintf(c.Root().Writer, "not yet in force after %v on: %s\n", wait, strings.Join(outdated, ", "))
	return exitError{ExitPending}
}

func outdatedInstances(ctx context.Context, cl *client.Client, revision uint64) []string {
	list, err := cl.Instances(ctx)
	if err != nil {
		return []string{"no entry answers"}
	}
	return lo.FilterMap(list, func(i api.InstanceStatus, _ int) (string, bool) {
		running := i.State == "alive" || i.State == "suspect" || i.State == "leaving"
		return i.Instance, running && i.Revision < revision
	})
}

func readTree(name string) (*settings.Tree, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, failure.Field(failure.InvalidInput, name, "cannot be read: %v", err)
	}
	tree, problems := settings.Parse(string(raw))
	if len(problems) > 0 {
		return nil, failure.Field(failure.InvalidInput, name, "%s", strings.Join(lo.Map(problems, func(p error, _ int) string { return formatError(p) }), "\n  "))
	}
	return tree, nil
}

func settingsDiff(_ context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	after, err := readTree(args[0])
	if err != nil {
		return err
	}
	_, before, _, err := settingsStore(c).Load()
	if err != nil {
		return err
	}
	printDiff(c.Root().Writer, before.Diff(after))
	return nil
}

func settingsValidate(_ context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	if _, err := readTree(args[0]); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, args[0], "is right")
	return nil
}

func settingsApply(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	tree, err := readTree(args[0])
	if err != nil {
		return err
	}
	return updateSettings(ctx, c, func(*settings.Tree) (*settings.Tree, []error) { return tree, nil })
}

func settingsRollback(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "REVISION")
	if err != nil {
		return err
	}
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return failure.Field(failure.InvalidInput, "REVISION", "must be a number")
	}
	old, err := settingsStore(c).Revision(revision)
	if err != nil {
		return err
	}
	return updateSettings(ctx, c, func(*settings.Tree) (*settings.Tree, []error) { return settings.Parse(old.INI) })
}

func settingsHistory(_ context.Context, c *cli.Command) error {
	list, err := settingsStore(c).History(c.Int("limit"))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "REVISION\tAT\tBY")
	for _, h := range list {
		fmt.Fprintf(t, "%d\t%s\t%s\n", h.Number, time.UnixMilli(h.AtMs).UTC().Format(time.RFC3339), h.Author)
	}
	return nil
}

// watchTimeout is the maximum duration of one watch request to the platform.
const watchTimeout = 10 * time.Second

func settingsWatch(ctx context.Context, c *cli.Command) error {
	if d := c.Duration("for"); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	platform, version := platformClient(c), uint64(0)
	previous := settings.Empty()
	for ctx.Err() == nil {
		timeout := watchTimeout
		if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
			timeout = min(timeout, time.Until(deadline))
		}
		entry, err := platform.Watch(settings.HeadKey, version, max(timeout, time.Millisecond))
		if err != nil {
			return err
		}
		if entry.Version == version {
			continue
		}
		version = entry.Version
		revision, tree, err := settings.DecodeRevision(entry.Value)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "revision %d by %s\n", revision.Number, revision.Author)
		printDiff(c.Root().Writer, previous.Diff(tree))
		previous = tree
	}
	return nil
}

func settingsKeys(_ context.Context, c *cli.Command) error {
	t := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "KEY\tDEFAULT\tUNIT\tALLOWED\tMEANING")
	for _, d := range settings.Schema() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.Key, d.Default, d.Unit, d.Allowed, d.Meaning)
	}
	return nil
}
