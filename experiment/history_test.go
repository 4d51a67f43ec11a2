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

// fateRegister is the sequential model against which porcupine, a linearizability
// checker, checks the calls for each key. A key has no fate until a call returns
// one, and keeps that fate from then on. Calls without an answer, or with the fate
// unknown or pending, tell nothing about the fate and are allowed at any time.
var fateRegister = porcupine.Model{
	Init: func() any { return fate.Kind("") },
	Step: func(state, _, output any) (bool, any) {
		current, observed := state.(fate.Kind), output.(fate.Kind)
		switch {
		case observed == "" || observed == fate.Unknown || observed == fate.Pending:
			return true, current
		case current == "":
			return true, observed
		default:
			return current == observed, current
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

// callRecorder records the calls of callers and the fates that the calls returned.
type callRecorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (h *callRecorder) record(caller int, key fate.Key, call func() (fate.Kind, error)) fate.Kind {
	called := time.Since(h.start)
	observed, err := call()
	if err != nil {
		observed = ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, porcupine.Operation{
		ClientId: caller, Input: key, Output: observed, Call: called.Nanoseconds(), Return: time.Since(h.start).Nanoseconds(),
	})
	return observed
}

// TestHistory submits, resubmits and cancels jobs from many callers at all entry
// instances, while the instances are killed and restarted. It checks the answers for
// each key against fateRegister, and against the starts that the upstreams recorded.
func TestHistory(t *testing.T) {
	c := newTestCluster(t, func(s *ClusterSpec) {
		detectFailuresFast(s)
		s.Zones = []ZoneSpec{{"a", 3, 3}, {"b", 3, 3}}
	})
	h := &callRecorder{start: time.Now()}
	stop := make(chan struct{})
	var killers, submitters sync.WaitGroup
	killers.Go(func() { killAndRestart(c, stop) })
	for caller := range 8 {
		submitters.Go(func() { submitJobs(c, h, caller) })
	}
	submitters.Wait()
	close(stop)
	killers.Wait()
	if !porcupine.CheckOperations(fateRegister, h.history) {
		t.Error("callers got contradictory fates for one key")
	}
	checkNoDuplicateStarts(t, c)
	if leaked := c.LeakedSlots(); leaked > 0 {
		t.Errorf("%d slots are still held although no job runs", leaked)
	}
	observed := map[fate.Kind]int{}
	for _, op := range h.history {
		kind := op.Output.(fate.Kind)
		observed[kind]++
		key := op.Input.(fate.Key)
		if n := c.startCount(key); kind == fate.NotRun && n > 0 {
			t.Errorf("%v was reported as not run, but started %d tasks", key, n)
		} else if kind == fate.Complete && n != tasksPerJob {
			t.Errorf("%v was reported as complete, but started %d tasks instead of each task once", key, n)
		}
	}
	t.Logf("%d calls, fates %v, %d kills of entry instances", len(h.history), observed, len(c.Losses()))
	if observed[fate.Complete] == 0 || len(c.Losses()) == 0 {
		t.Error("the test checked nothing: no job completed or no entry instance was killed")
	}
}

const (
	tasksPerJob   = 6
	jobsPerCaller = 12
	killInterval  = 300 * time.Millisecond
)

func killAndRestart(c *Cluster, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		name := c.Names()[rng.IntN(len(c.Names()))]
		c.KillEntry(name)
		select {
		case <-stop:
			return
		case <-time.After(killInterval):
		}
		if _, err := c.StartEntry(name); err != nil {
			return
		}
	}
}

func submitJobs(c *Cluster, h *callRecorder, caller int) {
	rng := rand.New(rand.NewPCG(3, uint64(caller)))
	for range jobsPerCaller {
		cl, err := client.New(client.Config{Entries: c.CallerAddresses(), Caller: "desk", CallTimeout: 500 * time.Millisecond})
		if err != nil {
			continue
		}
		job := sleepJob(tasksPerJob, 60*time.Millisecond)
		job.Deadline = 3 * time.Second
		if s, err := cl.Prepare(context.Background(), job); err == nil {
			callConcurrently(c, h, caller, rng, cl, s)
		}
		cl.Close()
	}
}

// callConcurrently submits one key to several entry instances at about the same
// time, and sometimes cancels it.
func callConcurrently(c *Cluster, h *callRecorder, caller int, rng *rand.Rand, cl *client.Client, s *client.Submission) {
	var calls sync.WaitGroup
	for n := range 3 {
		addresses := c.CallerAddresses()
		address := addresses[rng.IntN(len(addresses))]
		pause := time.Duration(rng.IntN(80)) * time.Millisecond * time.Duration(n)
		calls.Go(func() {
			time.Sleep(pause)
			h.record(caller*10+n, s.Key(), func() (fate.Kind, error) {
				a, err := s.SendTo(context.Background(), address)
				return a.Fate, err
			})
		})
	}
	if rng.IntN(4) == 0 {
		calls.Go(func() {
			h.record(caller*10+9, s.Key(), func() (fate.Kind, error) {
				a, err := cl.Cancel(context.Background(), s.Key())
				return a.Fate, err
			})
		})
	}
	calls.Wait()
}
