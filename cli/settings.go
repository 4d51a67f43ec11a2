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
	path := []cli.Flag{
		&cli.StringFlag{Name: "region"}, &cli.StringFlag{Name: "zone"},
		&cli.StringFlag{Name: "service"}, &cli.StringFlag{Name: "caller-name"},
	}
	change := append(platformFlags(), append(callerFlags(),
		&cli.Uint64Flag{Name: "base", Usage: "only if revision `N` is still in force"},
		&cli.DurationFlag{Name: "wait", Usage: "wait so long until it is in force on every entry", Value: 7 * time.Second},
	)...)
	return &cli.Command{
		Name: "settings", Usage: "read and change the tree of settings",
		Description: "A NODE is fleet, or 'region NAME', 'zone NAME', 'service NAME' or 'caller NAME' in quotes.",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the value of KEY in force somewhere", ArgsUsage: "KEY", Flags: append(platformFlags(), path...), Action: settingsGet},
			{Name: "explain", Usage: "print every value in force somewhere, and the level that it came from", Flags: append(platformFlags(), path...), Action: settingsExplain},
			{Name: "set", Usage: "set KEY at NODE", ArgsUsage: "NODE KEY VALUE", Flags: change, Action: settingsSet},
			{Name: "unset", Usage: "let NODE inherit KEY again", ArgsUsage: "NODE KEY", Flags: change, Action: settingsUnset},
			{Name: "diff", Usage: "print what FILE would change", ArgsUsage: "FILE", Flags: platformFlags(), Action: settingsDiff},
			{Name: "validate", Usage: "check FILE in full", ArgsUsage: "FILE", Action: settingsValidate},
			{Name: "apply", Usage: "make FILE the next revision", ArgsUsage: "FILE", Flags: change, Action: settingsApply},
			{Name: "history", Usage: "list the last revisions", Flags: append(platformFlags(), &cli.IntFlag{Name: "limit", Value: 20}), Action: settingsHistory},
			{Name: "rollback", Usage: "make the settings of an old REVISION the next one", ArgsUsage: "REVISION", Flags: change, Action: settingsRollback},
			{Name: "watch", Usage: "print each revision as it is accepted", Flags: append(platformFlags(), &cli.DurationFlag{Name: "for", Usage: "how long; 0 is until interrupted"}), Action: settingsWatch},
			{Name: "keys", Usage: "list every setting, with its default and what is allowed", Action: settingsKeys},
		},
	}
}

func platformFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "platform", Usage: "`HOST:PORT` of the platform", Value: "127.0.0.1:7300", Sources: cli.EnvVars("SEDGEHATCH_PLATFORM"),
	}}
}

func store(c *cli.Command) *settings.Store {
	return settings.NewStore(platformOf(c), func() int64 { return time.Now().UnixMilli() })
}

func platformOf(c *cli.Command) *kv.Client {
	return kv.NewClient(c.String("platform"), nil, nil)
}

func pathOf(c *cli.Command) settings.Path {
	return settings.Path{Region: c.String("region"), Zone: c.String("zone"), Service: c.String("service"), Caller: c.String("caller-name")}
}

// arguments returns exactly n arguments.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	if c.Args().Len() != len(names) {
		return nil, failure.Field(failure.InvalidInput, "arguments", "%s takes %s", c.Name, strings.Join(names, " "))
	}
	return c.Args().Slice(), nil
}

func settingsGet(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "KEY")
	if err != nil {
		return err
	}
	if !lo.ContainsBy(settings.Schema(), func(d settings.Definition) bool { return d.Key == args[0] }) {
		return failure.Field(failure.InvalidInput, args[0], "is no setting; see sedgehatch settings keys")
	}
	_, tree, _, err := store(c).Load()
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, tree.Get(pathOf(c), args[0]).Text)
	return nil
}

func settingsExplain(_ context.Context, c *cli.Command) error {
	head, tree, _, err := store(c).Load()
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "revision %d\n", head.Number)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	for _, d := range settings.Schema() {
		v := tree.Get(pathOf(c), d.Key)
		fmt.Fprintf(t, "%s\t%s %s\tfrom %s\n", d.Key, v.Text, d.Unit, v.From)
	}
	return nil
}

func settingsSet(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "NODE", "KEY", "VALUE")
	if err != nil {
		return err
	}
	return changeKey(ctx, c, args[0], args[1], &args[2])
}

func settingsUnset(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "NODE", "KEY")
	if err != nil {
		return err
	}
	return changeKey(ctx, c, args[0], args[1], nil)
}

func changeKey(ctx context.Context, c *cli.Command, nodeText, key string, value *string) error {
	node, err := settings.ParseNode(nodeText)
	if err != nil {
		return err
	}
	return change(ctx, c, func(t *settings.Tree) (*settings.Tree, []error) { return t.With(node, key, value) })
}

// change makes the next revision, prints what it changed, and waits until it
// is in force everywhere.
func change(ctx context.Context, c *cli.Command, edit func(*settings.Tree) (*settings.Tree, []error)) error {
	head, diff, err := store(c).Update(c.Uint64("base"), author(), edit)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "revision %d accepted\n", head.Number)
	printDiff(out, diff)
	return inForce(ctx, c, head.Number)
}

func author() string {
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
		fmt.Fprintf(w, "[%s] %s: %s -> %s%s\n", d.Node, d.Key, lo.CoalesceOrEmpty(d.Before, "(inherited)"), lo.CoalesceOrEmpty(d.After, "(inherited)"), reach(d.Node))
	}
}

// reach says what a change at a node reaches.
func reach(n settings.Node) string {
	switch n.Level {
	case settings.LevelFleet:
		return "  (every service, where no lower level overrides it)"
	case settings.LevelRegion, settings.LevelZone:
		return "  (every service in " + n.String() + ", where no lower level overrides it)"
	default:
		return "  (" + n.String() + ")"
	}
}

// pollForce is how often the entries are asked for their revision.
const pollForce = 100 * time.Millisecond

// inForce waits until every entry that is alive has a revision, and says when
// that was or who is behind.
func inForce(ctx context.Context, c *cli.Command, revision uint64) error {
	wait := c.Duration("wait")
	cl, err := newClient(c)
	if err != nil || wait == 0 {
		return err
	}
	defer cl.Close()
	began := time.Now()
	behind := []string{"no entry answers"}
	for time.Since(began) < wait {
		if behind = behindAt(ctx, cl, revision); len(behind) == 0 {
			fmt.Fprintf(c.Root().Writer, "in force on every entry after %v\n", time.Since(began).Round(time.Millisecond))
			return nil
		}
		time.Sleep(pollForce)
	}
	fmt.Fprintf(c.Root().Writer, "not yet in force after %v on: %s\n", wait, strings.Join(behind, ", "))
	return exit{ExitPending}
}

func behindAt(ctx context.Context, cl *client.Client, revision uint64) []string {
	list, err := cl.Instances(ctx)
	if err != nil {
		return []string{"no entry answers"}
	}
	return lo.FilterMap(list, func(i api.InstanceStatus, _ int) (string, bool) {
		up := i.State == "alive" || i.State == "suspect" || i.State == "leaving"
		return i.Instance, up && i.Revision < revision
	})
}

func readTree(name string) (*settings.Tree, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, failure.Field(failure.InvalidInput, name, "cannot be read: %v", err)
	}
	tree, problems := settings.Parse(string(raw))
	if len(problems) > 0 {
		return nil, failure.Field(failure.InvalidInput, name, "%s", strings.Join(lo.Map(problems, func(p error, _ int) string { return wordError(p) }), "\n  "))
	}
	return tree, nil
}

func settingsDiff(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	after, err := readTree(args[0])
	if err != nil {
		return err
	}
	_, before, _, err := store(c).Load()
	if err != nil {
		return err
	}
	printDiff(c.Root().Writer, before.Diff(after))
	return nil
}

func settingsValidate(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "FILE")
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
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	tree, err := readTree(args[0])
	if err != nil {
		return err
	}
	return change(ctx, c, func(*settings.Tree) (*settings.Tree, []error) { return tree, nil })
}

func settingsRollback(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "REVISION")
	if err != nil {
		return err
	}
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return failure.Field(failure.InvalidInput, "REVISION", "is a number")
	}
	old, err := store(c).Revision(revision)
	if err != nil {
		return err
	}
	return change(ctx, c, func(*settings.Tree) (*settings.Tree, []error) { return settings.Parse(old.INI) })
}

func settingsHistory(_ context.Context, c *cli.Command) error {
	list, err := store(c).History(c.Int("limit"))
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

// watchStep is how long one watch at the platform waits.
const watchStep = 10 * time.Second

func settingsWatch(ctx context.Context, c *cli.Command) error {
	if d := c.Duration("for"); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	p, version := platformOf(c), uint64(0)
	before := settings.Empty()
	for ctx.Err() == nil {
		step := watchStep
		if until, bounded := ctx.Deadline(); bounded {
			step = min(step, time.Until(until))
		}
		entry, err := p.Watch(settings.HeadKey, version, max(step, time.Millisecond))
		if err != nil {
			return err
		}
		if entry.Version == version {
			continue
		}
		version = entry.Version
		head, tree, err := settings.DecodeRevision(entry.Value)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "revision %d by %s\n", head.Number, head.Author)
		printDiff(c.Root().Writer, before.Diff(tree))
		before = tree
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
