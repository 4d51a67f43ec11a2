package experiment

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/metrics"
)

func TestUpstreamConnectionDies(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the start took effect: %v", before), func(t *testing.T) {
			c := newTestCluster(t, detectFailuresFast)
			cl := newClient(t, c)
			faulty := c.Upstreams[0]
			if before {
				faulty.Faults.DropStarts.Store(true)
			} else {
				faulty.Faults.DropAnswers.Store(true)
			}
			answer, err := cl.Do(context.Background(), sleepJob(40, 20*time.Millisecond))
			requireComplete(t, answer, err, 40)
			checkNoDuplicateStarts(t, c)
			if starts, _ := c.Recorder.Starts(); starts != 40 {
				t.Errorf("%d starts, want 40", starts)
			}
		})
	}
}

// An upstream is lost together with its running tasks. The job of these tasks must
// fail, and the answer must show which tasks have an unknown outcome.
func TestUpstreamVanishes(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(20, 500*time.Millisecond))
	home, _ := homeAndWitness(t, s)
	done := submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "every task to start", func() bool { return c.startCount(s.Key()) == 20 })
	c.Upstreams[0].Close()
	answer := (<-done).answer
	if answer.Fate != fate.Failed || answer.Reason != fate.ReasonTaskLost {
		t.Fatalf("answer %s %s, want the fate failed and the reason task_lost", answer.Fate, answer.Reason)
	}
	unknown := 0
	for _, task := range answer.Tasks {
		if task.State == fate.TaskUnknown {
			unknown++
		}
	}
	if unknown == 0 || len(answer.Tasks) != 20 {
		t.Errorf("%d of %d tasks have an unknown outcome, want at least 1 of 20", unknown, len(answer.Tasks))
	}
	checkNoDuplicateStarts(t, c)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	var wg sync.WaitGroup
	started := make(chan struct{}, 40)
	for range 40 {
		wg.Go(func() {
			started <- struct{}{}
			answer, err := cl.Do(context.Background(), sleepJob(4, 50*time.Millisecond))
			if err != nil || answer.Fate != fate.Complete {
				t.Errorf("answer %s %s, %v", answer.Fate, answer.Reason, err)
			}
		})
	}
	for range 40 {
		<-started
	}
	if !c.StopEntry(context.Background(), c.Names()[0]) {
		t.Error("the entry instance did not drain")
	}
	wg.Wait()
	checkNoDuplicateStarts(t, c)
}

// A planned stop of an instance that is the witness of a log whose home has accepted a job, but
// has not sent a record of it yet, because the job waits for a slot. The instance must not end
// before the job has.
func TestWitnessStopsWhileJobWaits(t *testing.T) {
	c := newTestCluster(t, func(s *ClusterSpec) {
		detectFailuresFast(s)
		s.Zones = []ZoneSpec{{"a", 4, 1}}
		s.Slots = 1
	})
	waits := prepare(t, newClient(t, c), sleepJob(1, time.Millisecond))
	home, witness := homeAndWitness(t, waits)
	blocks := prepareElsewhere(t, c, witness)
	blocksHome, _ := homeAndWitness(t, blocks)
	blocked := submitInBackground(blocks, c.Node(blocksHome).CallerAddress())
	waitFor(t, "the only slot to be taken", func() bool { return c.startCount(blocks.Key()) == 1 })
	accepted := func() int64 { return metrics.Values(c.Node(home).Metrics().Counts)["jobs"] }
	before := accepted()
	done := submitInBackground(waits, c.Node(home).CallerAddress())
	waitFor(t, "the job to be accepted", func() bool { return accepted() > before })
	if !c.StopEntry(context.Background(), witness) {
		t.Error("the witness did not drain")
	}
	if c.startCount(waits.Key()) != 1 {
		t.Error("the witness ended while the job was waiting")
	}
	for _, result := range []chan callResult{done, blocked} {
		got := <-result
		requireComplete(t, got.answer, got.err, 1)
	}
	checkNoDuplicateStarts(t, c)
}

// A planned stop of a witness that has taken the jobs of a log over because it did not hear of
// the home for a while. The home is alive and has to ask for the fates of its jobs, so the
// witness must not end before the home has no job left.
func TestWitnessOfSilentHomeStops(t *testing.T) {
	network := NewNetwork(func(_, _ string) time.Duration { return 0 })
	c := newTestCluster(t, func(s *ClusterSpec) {
		detectFailuresFast(s)
		s.Zones = []ZoneSpec{{"a", 2, 1}, {"b", 2, 0}}
		s.Network = network
		s.Settings = "[fleet]\nwitness = region\n"
		s.Slots = 1
	})
	var waits *client.Submission
	var home, witness string
	for home == "" || c.zoneOf[home] != "a" {
		waits = prepare(t, newClient(t, c), sleepJob(1, time.Millisecond))
		home, witness = homeAndWitness(t, waits)
	}
	blocks := prepareElsewhere(t, c, witness)
	blocksHome, _ := homeAndWitness(t, blocks)
	submitInBackground(blocks, c.Node(blocksHome).CallerAddress())
	waitFor(t, "the only slot to be taken", func() bool { return c.startCount(blocks.Key()) == 1 })
	counter := func(instance, name string) func() bool {
		counts := c.Node(instance).Metrics().Counts
		before := metrics.Values(counts)[name]
		return func() bool { return metrics.Values(counts)[name] > before }
	}
	accepted, takenOver := counter(home, "jobs"), counter(witness, "takeovers")
	done := submitInBackground(waits, c.Node(home).CallerAddress())
	waitFor(t, "the job to be accepted", accepted)
	network.Partition("a", "b")
	waitFor(t, "the witness to take over", takenOver)
	network.Heal()
	if err := c.AwaitMembers(len(c.Names()), 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if !c.StopEntry(context.Background(), witness) {
		t.Error("the witness did not drain")
	}
	if jobs := c.Node(home).ActiveJobs(); jobs != 0 {
		t.Errorf("the witness ended while %d jobs of the home were open", jobs)
	}
	if got := <-done; got.err != nil || got.answer.Fate == fate.Unknown {
		t.Errorf("answer %s %s, error %v; want a fate that is known", got.answer.Fate, got.answer.Reason, got.err)
	}
	checkNoDuplicateStarts(t, c)
}

// prepareElsewhere prepares a job of one task that takes 3 s, in a log that has nothing to do with
// an instance.
func prepareElsewhere(t *testing.T, c *Cluster, instance string) *client.Submission {
	t.Helper()
	for range 100 {
		s := prepare(t, newClient(t, c), sleepJob(1, 3*time.Second))
		if home, witness := homeAndWitness(t, s); home != instance && witness != instance {
			return s
		}
	}
	t.Fatalf("%s is in every log", instance)
	return nil
}

func TestPlatformOutage(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	c.Platform.Faults.Down.Store(true)
	answer, err := cl.Do(context.Background(), sleepJob(20, 10*time.Millisecond))
	requireComplete(t, answer, err, 20)
	c.KillEntry(c.Names()[0])
	second := newClient(t, c)
	answer, err = second.Do(context.Background(), sleepJob(20, 10*time.Millisecond))
	requireComplete(t, answer, err, 20)
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	leaving := c.Upstreams[0]
	leaving.Faults.Leaving.Store(true)
	answer, err := cl.Do(context.Background(), sleepJob(48, 5*time.Millisecond))
	requireComplete(t, answer, err, 48)
	for _, n := range c.Nodes() {
		waitFor(t, "every entry instance to see the upstream as leaving", func() bool { return n.UpstreamIsLeaving(leaving.Instance().ID) })
	}
	sent, _ := c.Messages()
	answer, err = cl.Do(context.Background(), sleepJob(40, 5*time.Millisecond))
	requireComplete(t, answer, err, 40)
	after, _ := c.Messages()
	if starts := after["start"] - sent["start"]; starts != 40 {
		t.Errorf("%d starts were sent for 40 tasks", starts)
	}
}

// The platform lists an upstream as leaving. The upstream must get no new tasks after
// 2 s at the latest, even though it would still accept them.
func TestListedLeaving(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	leaving := c.Upstreams[0].Instance()
	leaving.Leaving = true
	c.Platform.PutInstance(leaving)
	deadline := time.Now().Add(2 * time.Second)
	for {
		s := prepare(t, cl, sleepJob(40, time.Millisecond))
		answer, err := s.Submit(context.Background())
		requireComplete(t, answer, err, 40)
		used := false
		for _, start := range c.Recorder.StartsByPrefix(s.Key().String() + "/") {
			used = used || start.Upstream == leaving.ID
		}
		if !used {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("an upstream still gets tasks 2 s after the platform listed it as leaving")
		}
	}
}

// A network partition separates the home of a job from the job's witness. The home
// goes on with the tasks that it has started. A caller on the other side asks the
// witness, which takes over. Home and witness must not report contradictory fates,
// must not both start the same task, and must report the same fate after the
// partition has ended.
func TestHomeCutOff(t *testing.T) {
	network := NewNetwork(func(_, _ string) time.Duration { return 0 })
	c := newTestCluster(t, func(s *ClusterSpec) {
		detectFailuresFast(s)
		s.Network = network
		s.Settings = "[fleet]\nwitness = region\n"
		s.Slots = 4
	})
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(60, 150*time.Millisecond))
	home, witness := homeAndWitness(t, s)
	if c.zoneOf[home] == c.zoneOf[witness] {
		t.Fatalf("home %s and witness %s are in one zone", home, witness)
	}
	first := submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "tasks to run while others wait", func() bool { return c.startCount(s.Key()) >= 24 })
	network.Partition("a", "b")
	second, err := s.SendTo(context.Background(), c.Node(witness).CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	network.Heal()
	fates := []fate.Kind{second.Fate, (<-first).answer.Fate}
	if err := c.AwaitMembers(len(c.Names()), 10*time.Second); err != nil {
		t.Fatal(err)
	}
	for _, address := range c.CallerAddresses() {
		answer, err := s.SendTo(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		fates = append(fates, answer.Fate)
	}
	final := fate.Kind("")
	for _, kind := range fates {
		if kind == fate.Unknown {
			continue
		}
		if final != "" && kind != final {
			t.Errorf("callers got contradictory fates for one key: %v", fates)
		}
		final = kind
	}
	if final == fate.NotRun {
		t.Errorf("a job was reported as not run although tasks started: fates %v, %d starts", fates, c.startCount(s.Key()))
	}
	t.Logf("fates %v", fates)
	checkNoDuplicateStarts(t, c)
}

// All entry instances are shut down gracefully and restarted under load, one after
// another. No job may fail.
func TestRollingRestart(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	stop := make(chan struct{})
	var submitters sync.WaitGroup
	var jobs atomic.Int64
	for range 4 {
		cl := newClient(t, c)
		submitters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				answer, err := cl.Do(context.Background(), sleepJob(6, 20*time.Millisecond))
				if err != nil || answer.Fate != fate.Complete {
					t.Errorf("answer %s %s, %v", answer.Fate, answer.Reason, err)
				}
				jobs.Add(1)
			}
		})
	}
	rollingRestart(c, nil, nil)
	close(stop)
	submitters.Wait()
	checkNoDuplicateStarts(t, c)
	if jobs.Load() == 0 {
		t.Error("no job was submitted")
	}
}
