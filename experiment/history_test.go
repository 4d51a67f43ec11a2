package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/anishathalye/porcupine"
)

// fateRegister is the sequential model of one key: it has no fate until some
// call learns one, and that one from then on. Unknown and no answer say
// nothing, and may come at any time.
var fateRegister = porcupine.Model{
	Init: func() any { return fate.Kind("") },
	Step: func(state, _, output any) (bool, any) {
		now, told := state.(fate.Kind), output.(fate.Kind)
		switch {
		case told == "" || told == fate.Unknown || told == fate.Pending:
			return true, now
		case now == "":
			return true, told
		default:
			return now == told, now
		}
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[fate.Key][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(fate.Key)
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v: %v", input, output) },
}

// historian records what callers were told.
type historian struct {
	mu      sync.Mutex
	began   time.Time
	history []porcupine.Operation
}

func (h *historian) call(caller int, key fate.Key, ask func() (fate.Kind, error)) fate.Kind {
	called := time.Since(h.began)
	told, err := ask()
	if err != nil {
		told = ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, porcupine.Operation{
		ClientId: caller, Input: key, Output: told, Call: called.Nanoseconds(), Return: time.Since(h.began).Nanoseconds(),
	})
	return told
}

// TestHistory submits, resubmits and cancels from many callers at all entries
// while entries are killed and started again, and holds every answer against a
// register per key, and the answers against the upstreams' own records.
func TestHistory(t *testing.T) {
	c := small(t, func(s *ClusterSpec) {
		quick(s)
		s.Zones = []ZoneSpec{{"a", 3, 3}, {"b", 3, 3}}
	})
	h := &historian{began: time.Now()}
	stop := make(chan struct{})
	var killer, work sync.WaitGroup
	killer.Go(func() { killAndStart(c, stop) })
	for caller := range 8 {
		work.Go(func() { submitSome(c, h, caller) })
	}
	work.Wait()
	close(stop)
	killer.Wait()
	if !porcupine.CheckOperations(fateRegister, h.history) {
		t.Error("one key was told two fates")
	}
	checkStarts(t, c)
	if leaked := c.LeakedSlots(); leaked > 0 {
		t.Errorf("%d places are held though no job runs", leaked)
	}
	told := map[fate.Kind]int{}
	for _, op := range h.history {
		kind := op.Output.(fate.Kind)
		told[kind]++
		key := op.Input.(fate.Key)
		if n := c.startsOf(key); kind == fate.NotRun && n > 0 {
			t.Errorf("%v was told not run, and started %d tasks", key, n)
		} else if kind == fate.Complete && n != jobTasks {
			t.Errorf("%v was told complete, and started %d tasks", key, n)
		}
	}
	t.Logf("%d calls, told %v, %d losses", len(h.history), told, len(c.Losses()))
	if told[fate.Complete] == 0 || len(c.Losses()) == 0 {
		t.Error("nothing was tried")
	}
}

const (
	jobTasks  = 6
	jobsEach  = 12
	killPause = 300 * time.Millisecond
)

func killAndStart(c *Cluster, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		name := c.Names()[rng.IntN(len(c.Names()))]
		c.KillEntry(name)
		select {
		case <-stop:
			return
		case <-time.After(killPause):
		}
		if _, err := c.StartEntry(name); err != nil {
			return
		}
	}
}

func submitSome(c *Cluster, h *historian, caller int) {
	rng := rand.New(rand.NewPCG(3, uint64(caller)))
	for range jobsEach {
		cl, err := client.New(client.Config{Entries: c.CallerAddresses(), Caller: "desk", CallTimeout: 500 * time.Millisecond})
		if err != nil {
			continue
		}
		job := tasks(jobTasks, 60*time.Millisecond)
		job.Deadline = 3 * time.Second
		if s, err := cl.Prepare(context.Background(), job); err == nil {
			tryKey(c, h, caller, rng, cl, s)
		}
		cl.Close()
	}
}

// tryKey calls with one key at several entries at once, and cancels it now and
// then.
func tryKey(c *Cluster, h *historian, caller int, rng *rand.Rand, cl *client.Client, s *client.Submission) {
	var calls sync.WaitGroup
	for n := range 3 {
		addresses := c.CallerAddresses()
		address := addresses[rng.IntN(len(addresses))]
		pause := time.Duration(rng.IntN(80)) * time.Millisecond * time.Duration(n)
		calls.Go(func() {
			time.Sleep(pause)
			h.call(caller*10+n, s.Key(), func() (fate.Kind, error) {
				a, err := s.SendTo(context.Background(), address)
				return a.Fate, err
			})
		})
	}
	if rng.IntN(4) == 0 {
		calls.Go(func() {
			h.call(caller*10+9, s.Key(), func() (fate.Kind, error) {
				a, err := cl.Cancel(context.Background(), s.Key())
				return a.Fate, err
			})
		})
	}
	calls.Wait()
}
