package experiment

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/entry"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/kv"
	"github.com/sedgehatch/sedgehatch/settings"
)

func storeOf(t *testing.T, c *Cluster) (*settings.Store, *kv.Client) {
	t.Helper()
	p := kv.NewClient(c.Platform.Address(), nil, nil)
	t.Cleanup(p.Close)
	return settings.NewStore(p, func() int64 { return 0 }), p
}

func set(node, key, value string) func(*settings.Tree) (*settings.Tree, []error) {
	return func(t *settings.Tree) (*settings.Tree, []error) {
		n, err := settings.ParseNode(node)
		if err != nil {
			return nil, []error{err}
		}
		return t.With(n, key, &value)
	}
}

func awaitRevision(t *testing.T, c *Cluster, revision uint64) {
	t.Helper()
	for _, n := range c.Nodes() {
		await(t, fmt.Sprintf("revision %d everywhere", revision), func() bool { return n.Revision() >= revision })
	}
}

// Operators who race lose no update: every change that was accepted is there.
func TestOperatorsRace(t *testing.T) {
	c := small(t, nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for i := range 12 {
		store, _ := storeOf(t, c)
		wg.Go(func() {
			node := fmt.Sprintf("service s%d", i)
			if _, _, err := store.Update(0, node, set(node, settings.KeyWeight, "7")); err == nil {
				mu.Lock()
				accepted[node] = true
				mu.Unlock()
			} else if !failure.Is(err, failure.Conflict) || failure.FieldOf(err) != "revision" {
				t.Errorf("error %v", err)
			}
		})
	}
	wg.Wait()
	store, _ := storeOf(t, c)
	head, tree, _, err := store.Load()
	if err != nil || int(head.Number) != len(accepted) || len(accepted) == 0 {
		t.Fatalf("revision %d after %d accepted changes, %v", head.Number, len(accepted), err)
	}
	for node := range accepted {
		name := node[len("service "):]
		if v := tree.Get(settings.Path{Service: name}, settings.KeyWeight); v.Text != "7" || v.From.Name != name {
			t.Errorf("%s: %+v", node, v)
		}
	}
	awaitRevision(t, c, head.Number)
}

// A write whose answer is lost took effect once, and its writer learns that.
func TestLostAnswerToAChange(t *testing.T) {
	c := small(t, nil)
	store, _ := storeOf(t, c)
	c.Platform.Faults.DropAnswers.Store(true)
	head, diff, err := store.Update(0, "op", set("fleet", settings.KeyDeadlineMs, "5000"))
	c.Platform.Faults.DropAnswers.Store(false)
	if err != nil || head.Number != 1 || len(diff) != 1 {
		t.Fatalf("revision %d, %v, %v", head.Number, diff, err)
	}
	awaitRevision(t, c, 1)
	c.Platform.Faults.Down.Store(true)
	if _, _, err := store.Update(0, "op", set("fleet", settings.KeyDeadlineMs, "6000")); !failure.Is(err, failure.Lost) {
		t.Errorf("a change while the platform is down: %v", err)
	}
}

// A platform that comes back with old data turns nothing back.
func TestOldDataIsNotApplied(t *testing.T) {
	c := small(t, nil)
	store, p := storeOf(t, c)
	for _, deadline := range []string{"5000", "6000"} {
		if _, _, err := store.Update(0, "op", set("fleet", settings.KeyDeadlineMs, deadline)); err != nil {
			t.Fatal(err)
		}
	}
	awaitRevision(t, c, 2)
	old, err := p.Get("sedgehatch/settings/revision/1")
	if err != nil {
		t.Fatal(err)
	}
	now, err := p.Get(settings.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.CompareAndSwap(api.KVWrite{Key: settings.HeadKey, Value: old.Value, Expect: now.Version}); err != nil {
		t.Fatal(err)
	}
	name := c.Names()[0]
	c.KillEntry(name)
	if _, err := c.StartEntry(name); err != nil {
		t.Fatal(err)
	}
	// The restarted entry reads the old data first, and its peers put it right.
	awaitRevision(t, c, 2)
	for _, n := range c.Nodes() {
		if n.Revision() != 2 {
			t.Errorf("revision %d is in force", n.Revision())
		}
	}
}

// An entry that is started while the platform is down starts from its peers.
func TestStartFromPeers(t *testing.T) {
	c := small(t, quick)
	store, _ := storeOf(t, c)
	if _, _, err := store.Update(0, "op", set("fleet", settings.KeyDeadlineMs, "5000")); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, c, 1)
	c.Platform.Faults.Down.Store(true)
	name := c.Names()[0]
	c.KillEntry(name)
	if _, err := c.StartEntry(name); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, c, 1)
	if err := c.AwaitMembers(len(c.Names()), 10*time.Second); err != nil {
		t.Fatal(err)
	}
	cl, err := client.New(client.Config{Entries: []string{c.Node(name).CallerAddress()}, Caller: "desk"})
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Close()
	answer, err := cl.Do(context.Background(), tasks(20, time.Millisecond))
	wantComplete(t, answer, err, 20)
}

// Alone, without platform and peers, an entry says so and serves nothing.
func TestAloneWithoutSettings(t *testing.T) {
	n, err := entry.New(entry.Config{
		Fleet: "f", Instance: "e", Zone: "z", ListenCallers: "127.0.0.1:0", ListenInner: "127.0.0.1:0",
		PlatformAddress: "127.0.0.1:1", HeartbeatInterval: time.Second, InstancePollInterval: time.Second,
	}, entry.Hooks{}, (&ClusterSpec{}).quietLog())
	if err != nil {
		t.Fatal(err)
	}
	n.Run()
	defer n.Kill()
	cl, err := client.New(client.Config{Entries: []string{n.CallerAddress()}, Caller: "desk"})
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Close()
	if _, err := cl.Do(context.Background(), tasks(1, 0)); !failure.Is(err, failure.NoSettings) {
		t.Errorf("error %v", err)
	}
}

// Settings come into force without a restart and without a cut request.
func TestQuotaComesIntoForce(t *testing.T) {
	c := small(t, nil)
	store, _ := storeOf(t, c)
	if _, _, err := store.Update(0, "op", set("service desk", settings.KeyQuotaSlots, "6")); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, c, 1)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(30, 50*time.Millisecond))
	home, _ := homeOf(t, s)
	done := background(s, c.Node(home).CallerAddress())
	most := 0
	for running := true; running; {
		select {
		case got := <-done:
			running = false
			if got.err != nil {
				t.Error(got.err)
			}
		case <-time.After(time.Millisecond):
			most = max(most, c.RunningTasks())
		}
	}
	if most > 6 || most == 0 {
		t.Errorf("%d tasks ran at a time, quota 6", most)
	}
}

// A setting of the fleet that bounds what is kept is in force at running logs.
func TestKeptAnswersComeIntoForce(t *testing.T) {
	c := small(t, nil)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(2, 0))
	answer, err := s.Submit(context.Background())
	wantComplete(t, answer, err, 2)
	store, _ := storeOf(t, c)
	if _, _, err := store.Update(0, "op", set("fleet", settings.KeyKeepAnswersSeconds, "1")); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, c, 1)
	await(t, "the answer to be let go", func() bool {
		answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
		return err == nil && answer.Fate == fate.Unknown && answer.Reason == fate.ReasonNoLongerKept
	})
	if n := c.startsOf(s.Key()); n != 2 {
		t.Errorf("%d starts", n)
	}
}
