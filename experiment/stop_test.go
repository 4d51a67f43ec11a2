package experiment

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

func TestUpstreamConnectionDies(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the start took effect: %v", before), func(t *testing.T) {
			c := small(t, quick)
			cl := callers(t, c)
			bad := c.Upstreams[0]
			if before {
				bad.Faults.DropStarts.Store(true)
			} else {
				bad.Faults.DropAnswers.Store(true)
			}
			answer, err := cl.Do(context.Background(), tasks(40, 20*time.Millisecond))
			wantComplete(t, answer, err, 40)
			checkStarts(t, c)
			if starts, _ := c.Recorder.Starts(); starts != 40 {
				t.Errorf("%d starts", starts)
			}
		})
	}
}

// An upstream that vanishes with its tasks: their job fails, and says which.
func TestUpstreamVanishes(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(20, 500*time.Millisecond))
	home, _ := homeOf(t, s)
	done := background(s, c.Node(home).CallerAddress())
	await(t, "every task to start", func() bool { return c.startsOf(s.Key()) == 20 })
	c.Upstreams[0].Close()
	answer := (<-done).answer
	if answer.Fate != fate.Failed || answer.Reason != fate.ReasonTaskLost {
		t.Fatalf("answer %s %s", answer.Fate, answer.Reason)
	}
	unknown := 0
	for _, task := range answer.Tasks {
		if task.State == fate.TaskUnknown {
			unknown++
		}
	}
	if unknown == 0 || len(answer.Tasks) != 20 {
		t.Errorf("%d of %d tasks are unknown", unknown, len(answer.Tasks))
	}
	checkStarts(t, c)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	var wg sync.WaitGroup
	begun := make(chan struct{}, 40)
	for range 40 {
		wg.Go(func() {
			begun <- struct{}{}
			answer, err := cl.Do(context.Background(), tasks(4, 50*time.Millisecond))
			if err != nil || answer.Fate != fate.Complete {
				t.Errorf("answer %s %s, %v", answer.Fate, answer.Reason, err)
			}
		})
	}
	for range 40 {
		<-begun
	}
	if !c.StopEntry(context.Background(), c.Names()[0]) {
		t.Error("the entry did not drain")
	}
	wg.Wait()
	checkStarts(t, c)
}

func TestPlatformOutage(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	c.Platform.Faults.Down.Store(true)
	answer, err := cl.Do(context.Background(), tasks(20, 10*time.Millisecond))
	wantComplete(t, answer, err, 20)
	c.KillEntry(c.Names()[0])
	fresh := callers(t, c)
	answer, err = fresh.Do(context.Background(), tasks(20, 10*time.Millisecond))
	wantComplete(t, answer, err, 20)
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	leaving := c.Upstreams[0]
	leaving.Faults.Leaving.Store(true)
	answer, err := cl.Do(context.Background(), tasks(48, 5*time.Millisecond))
	wantComplete(t, answer, err, 48)
	for _, n := range c.Nodes() {
		await(t, "every entry to know", func() bool { return n.UpstreamIsLeaving(leaving.Instance().ID) })
	}
	sent, _ := c.Messages()
	answer, err = cl.Do(context.Background(), tasks(40, 5*time.Millisecond))
	wantComplete(t, answer, err, 40)
	after, _ := c.Messages()
	if starts := after["start"] - sent["start"]; starts != 40 {
		t.Errorf("%d starts were sent for 40 tasks", starts)
	}
}

// An upstream that the platform lists as leaving gets nothing new within 2 s,
// though it would still take it.
func TestListedLeaving(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	leaving := c.Upstreams[0].Instance()
	leaving.Leaving = true
	c.Platform.PutInstance(leaving)
	until := time.Now().Add(2 * time.Second)
	for {
		s := prepare(t, cl, tasks(40, time.Millisecond))
		answer, err := s.Submit(context.Background())
		wantComplete(t, answer, err, 40)
		used := false
		for _, start := range c.Recorder.StartsByPrefix(s.Key().String() + "/") {
			used = used || start.Upstream == leaving.ID
		}
		if !used {
			return
		}
		if time.Now().After(until) {
			t.Fatal("a leaving upstream still gets tasks")
		}
	}
}

// A home that is cut off from its witness, and from callers on the other side,
// goes on with what it has started; the other side asks the witness, which
// takes over. Neither tells what the other contradicts, nor starts a task that
// the other started, and after the cut they agree.
func TestHomeCutOff(t *testing.T) {
	network := NewNetwork(func(_, _ string) time.Duration { return 0 })
	c := small(t, func(s *ClusterSpec) {
		quick(s)
		s.Network = network
		s.Settings = "[fleet]\nwitness = region\n"
		s.Slots = 4
	})
	cl := callers(t, c)
	s := prepare(t, cl, tasks(60, 150*time.Millisecond))
	home, witness := homeOf(t, s)
	if c.zones[home] == c.zones[witness] {
		t.Fatalf("home %s and witness %s are in one zone", home, witness)
	}
	first := background(s, c.Node(home).CallerAddress())
	await(t, "tasks to run while others wait", func() bool { return c.startsOf(s.Key()) >= 24 })
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
			t.Errorf("one key was told %v", fates)
		}
		final = kind
	}
	if final == fate.NotRun {
		t.Errorf("told %v after %d starts", fates, c.startsOf(s.Key()))
	}
	t.Logf("told %v", fates)
	checkStarts(t, c)
}

// Every entry is stopped and started again under load: no caller notices.
func TestRollingRestart(t *testing.T) {
	c := small(t, quick)
	stop := make(chan struct{})
	var work sync.WaitGroup
	var jobs atomic.Int64
	for range 4 {
		cl := callers(t, c)
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				answer, err := cl.Do(context.Background(), tasks(6, 20*time.Millisecond))
				if err != nil || answer.Fate != fate.Complete {
					t.Errorf("answer %s %s, %v", answer.Fate, answer.Reason, err)
				}
				jobs.Add(1)
			}
		})
	}
	rollingRestart(c, nil, nil)
	close(stop)
	work.Wait()
	checkStarts(t, c)
	if jobs.Load() == 0 {
		t.Error("nothing was tried")
	}
}
