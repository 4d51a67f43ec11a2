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

func newSettingsStore(t *testing.T, c *Cluster) (*settings.Store, *kv.Client) {
	t.Helper()
	p := kv.NewClient(c.Platform.Address(), nil, nil)
	t.Cleanup(p.Close)
	return settings.NewStore(p, func() int64 { return 0 }), p
}

func setValue(node, key, value string) func(*settings.Tree) (*settings.Tree, []error) {
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
		waitFor(t, fmt.Sprintf("revision %d everywhere", revision), func() bool { return n.Revision() >= revision })
	}
}

// Several operators change the settings concurrently. Every change must either be
// refused as a conflict or be stored: no accepted change may be lost.
func TestOperatorsRace(t *testing.T) {
	c := newTestCluster(t, nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for i := range 12 {
		store, _ := newSettingsStore(t, c)
		wg.Go(func() {
			node := fmt.Sprintf("service s%d", i)
			if _, _, err := store.Update(0, node, setValue(node, settings.KeyWeight, "7")); err == nil {
				mu.Lock()
				accepted[node] = true
				mu.Unlock()
			} else if !failure.Is(err, failure.Conflict) || failure.FieldOf(err) != "revision" {
				t.Errorf("error of a concurrent change: %v, want Conflict in the field revision", err)
			}
		})
	}
	wg.Wait()
	store, _ := newSettingsStore(t, c)
	head, tree, _, err := store.Load()
	if err != nil || int(head.Number) != len(accepted) || len(accepted) == 0 {
		t.Fatalf("revision %d after %d accepted changes, error %v, want one revision for each change", head.Number, len(accepted), err)
	}
	for node := range accepted {
		name := node[len("service "):]
		if v := tree.Get(settings.Path{Service: name}, settings.KeyWeight); v.Text != "7" || v.From.Name != name {
			t.Errorf("the accepted change of %s is not stored: %+v", node, v)
		}
	}
	awaitRevision(t, c, head.Number)
}

// If the answer to a change is lost, the writer must find out that the change took
// effect, and must not repeat it.
func TestLostAnswerToAChange(t *testing.T) {
	c := newTestCluster(t, nil)
	store, _ := newSettingsStore(t, c)
	c.Platform.Faults.DropAnswers.Store(true)
	head, diff, err := store.Update(0, "op", setValue("fleet", settings.KeyDeadlineMs, "5000"))
	c.Platform.Faults.DropAnswers.Store(false)
	if err != nil || head.Number != 1 || len(diff) != 1 {
		t.Fatalf("revision %d, differences %v, error %v, want revision 1 with one difference", head.Number, diff, err)
	}
	awaitRevision(t, c, 1)
	c.Platform.Faults.Down.Store(true)
	if _, _, err := store.Update(0, "op", setValue("fleet", settings.KeyDeadlineMs, "6000")); !failure.Is(err, failure.Lost) {
		t.Errorf("error of a change while the platform is down: %v, want Lost", err)
	}
}

// The platform loses its latest data and serves an older revision of the settings.
// The newer revision that the entry instances have applied must stay in force.
func TestOldDataIsNotApplied(t *testing.T) {
	c := newTestCluster(t, nil)
	store, p := newSettingsStore(t, c)
	for _, deadline := range []string{"5000", "6000"} {
		if _, _, err := store.Update(0, "op", setValue("fleet", settings.KeyDeadlineMs, deadline)); err != nil {
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
	// The restarted entry instance may read the old revision from the platform, but
	// must then get the newer one from its peers.
	awaitRevision(t, c, 2)
	for _, n := range c.Nodes() {
		if n.Revision() != 2 {
			t.Errorf("revision %d is in force, want 2", n.Revision())
		}
	}
}

// An entry instance that starts while the platform is down must get the settings and
// the list of instances from its peers, so that it can serve jobs.
func TestStartFromPeers(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	store, _ := newSettingsStore(t, c)
	if _, _, err := store.Update(0, "op", setValue("fleet", settings.KeyDeadlineMs, "5000")); err != nil {
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
	answer, err := cl.Do(context.Background(), sleepJob(20, time.Millisecond))
	requireComplete(t, answer, err, 20)
}

// An entry instance that reaches neither the platform nor a peer has no settings. It
// must refuse jobs with the error NoSettings.
func TestAloneWithoutSettings(t *testing.T) {
	n, err := entry.New(entry.Config{
		Fleet: "f", Instance: "e", Zone: "z", ListenCallers: "127.0.0.1:0", ListenInner: "127.0.0.1:0",
		PlatformAddress: "127.0.0.1:1", HeartbeatInterval: time.Second, InstancePollInterval: time.Second,
	}, entry.Hooks{}, (&ClusterSpec{}).loggerOrDiscard())
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
	if _, err := cl.Do(context.Background(), sleepJob(1, 0)); !failure.Is(err, failure.NoSettings) {
		t.Errorf("error of a job at an instance without settings: %v, want NoSettings", err)
	}
}

// A changed quota must come into force without a restart and without interrupting
// requests.
func TestQuotaComesIntoForce(t *testing.T) {
	c := newTestCluster(t, nil)
	store, _ := newSettingsStore(t, c)
	if _, _, err := store.Update(0, "op", setValue("service desk", settings.KeyQuotaSlots, "6")); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, c, 1)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(30, 50*time.Millisecond))
	home, _ := homeAndWitness(t, s)
	done := submitInBackground(s, c.Node(home).CallerAddress())
	maxRunning := 0
	for running := true; running; {
		select {
		case got := <-done:
			running = false
			if got.err != nil {
				t.Error(got.err)
			}
		case <-time.After(time.Millisecond):
			maxRunning = max(maxRunning, c.RunningTasks())
		}
	}
	if maxRunning > 6 || maxRunning == 0 {
		t.Errorf("%d tasks ran at the same time, want 1 to 6 with a quota of 6 slots", maxRunning)
	}
}

// A change of how long answers are kept must also apply to the permit logs (in which
// homes keep the answers) that were open before the change.
func TestKeptAnswersComeIntoForce(t *testing.T) {
	c := newTestCluster(t, nil)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(2, 0))
	answer, err := s.Submit(context.Background())
	requireComplete(t, answer, err, 2)
	store, _ := newSettingsStore(t, c)
	if _, _, err := store.Update(0, "op", setValue("fleet", settings.KeyKeepAnswersSeconds, "1")); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, c, 1)
	waitFor(t, "the answer to be evicted", func() bool {
		answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
		return err == nil && answer.Fate == fate.Unknown && answer.Reason == fate.ReasonNoLongerKept
	})
	if n := c.startCount(s.Key()); n != 2 {
		t.Errorf("%d starts, want 2: a job was run again after its answer was evicted", n)
	}
}
