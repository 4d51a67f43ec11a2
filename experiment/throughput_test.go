package experiment

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/upstream"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gopkg.in/ini.v1"
)

// startIdleCluster starts a cluster of one zone, with the given number of entry
// instances and eight upstreams.
func startIdleCluster(b *testing.B, entries int) *Cluster {
	b.Helper()
	c, err := StartCluster(ClusterSpec{Zones: []ZoneSpec{{"a", entries, 8}}, Slots: 64})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

// BenchmarkStarts runs jobs of 50 tasks that end at once, on one entry instance, where
// jobs have no witness, and on two. Time, bytes and allocations are given per task,
// and include those of the callers and upstreams, which run in the same process.
func BenchmarkStarts(b *testing.B) {
	for name, entries := range map[string]int{"alone": 1, "witness": 2} {
		b.Run(name, func(b *testing.B) {
			c := startIdleCluster(b, entries)
			const perJob = 50
			job := client.Job{Service: "desk", Deadline: 20 * time.Second, Tasks: make([]api.Task, perJob)}
			var wg sync.WaitGroup
			jobs := make(chan struct{})
			for range 16 {
				cl, err := c.Client("desk")
				if err != nil {
					b.Fatal(err)
				}
				defer cl.Close()
				wg.Go(func() {
					for range jobs {
						if answer, err := cl.Do(context.Background(), job); err != nil || answer.Fate != fate.Complete {
							b.Errorf("answer %s, %v", answer.Fate, err)
						}
					}
				})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += perJob {
				jobs <- struct{}{}
			}
			close(jobs)
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(runtime.GOMAXPROCS(0)), "starts/s/core")
		})
	}
}

// BenchmarkDirect starts the same tasks as BenchmarkStarts directly at an upstream,
// without an entry instance. The difference between the figures of the two
// benchmarks is the cost of sedgehatch.
func BenchmarkDirect(b *testing.B) {
	c := startIdleCluster(b, 1)
	cl := upstream.NewClient("u", c.Upstreams[0].Address(), 64, nil)
	defer cl.Close()
	task := &fate.Task{}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		id := time.Now().String()
		for n := 0; pb.Next(); n++ {
			if _, err := cl.Start(&upstream.StartRequest{Lease: id + "/" + time.Now().String(), LeaseMs: 1000, Service: "desk", Task: task, Timeout: time.Second}); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkAddedLatency measures how much longer a job of one task that ends at once
// takes than the same task started directly at an upstream. It makes the two kinds
// of calls alternately.
func BenchmarkAddedLatency(b *testing.B) {
	for name, entries := range map[string]int{"alone": 1, "witness": 2} {
		b.Run(name, func(b *testing.B) {
			c := startIdleCluster(b, entries)
			upstreamClient := upstream.NewClient("u", c.Upstreams[0].Address(), 4, nil)
			defer upstreamClient.Close()
			cl, err := c.Client("desk")
			if err != nil {
				b.Fatal(err)
			}
			defer cl.Close()
			job := client.Job{Service: "desk", Deadline: 20 * time.Second, Tasks: make([]api.Task, 1)}
			lookupFirst := hdrhistogram.New(1, maxMicros, significantFigures)
			viaEntry := hdrhistogram.New(1, maxMicros, significantFigures)
			direct := hdrhistogram.New(1, maxMicros, significantFigures)
			measure := func(h *hdrhistogram.Histogram, call func() error) {
				start := time.Now()
				if err := call(); err != nil {
					b.Fatal(err)
				}
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
			for n := 0; b.Loop(); n++ {
				measure(viaEntry, func() error {
					_, err := cl.Do(context.Background(), job)
					return err
				})
				// This call looks the key up before it submits the job, as the protocol of
				// the paper does for every attempt. Sedgehatch looks the key up only for
				// resubmissions.
				measure(lookupFirst, func() error {
					s, err := cl.Prepare(context.Background(), job)
					if err != nil {
						return err
					}
					_, _ = cl.State(context.Background(), s.Key(), 0)
					_, err = s.Submit(context.Background())
					return err
				})
				measure(direct, func() error {
					_, err := upstreamClient.Start(&upstream.StartRequest{Lease: fmt.Sprintf("d/%p/%d/0", c, n), LeaseMs: 1000, Service: "desk", Task: &fate.Task{}, Timeout: time.Second})
					return err
				})
			}
			b.ReportMetric(float64(viaEntry.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-us-p50")
			b.ReportMetric(float64(lookupFirst.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-us-p50-lookup-first")
			b.ReportMetric(float64(viaEntry.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-us-p99")
		})
	}
}

// bounds are the limits per task in bench/bounds.ini.
type bounds struct {
	Allocations float64 `ini:"allocations"`
	Messages    float64 `ini:"messages"`
	Wasted      float64 `ini:"wasted"`
}

// TestBounds checks the allocations and messages per task against the limits in
// bench/bounds.ini, for jobs of 50 tasks on two entry instances. The figures
// include the callers and upstreams.
func TestBounds(t *testing.T) {
	c := newTestCluster(t, func(s *ClusterSpec) {
		s.Zones = []ZoneSpec{{"a", 2, 8}}
		s.Slots = 64
		s.HeartbeatInterval = 500 * time.Millisecond
	})
	cl := newClient(t, c)
	const perJob, jobs = 50, 40
	job := sleepJob(perJob, 0)
	run := func() {
		for range jobs {
			answer, err := cl.Do(context.Background(), job)
			requireComplete(t, answer, err, perJob)
		}
	}
	run() // warm-up: opens connections and permit logs, and records run times for estimates
	var bound bounds
	file, err := ini.Load("../bench/bounds.ini")
	if err != nil {
		t.Fatal(err)
	}
	if err := file.Section("task").StrictMapTo(&bound); err != nil || bound.Allocations == 0 {
		t.Fatal(bound, err)
	}
	sent, wastedBefore := c.Messages()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	sentAfter, wastedAfter := c.Messages()
	subtract(sentAfter, sent)
	subtract(wastedAfter, wastedBefore)
	for _, kind := range []string{"heartbeat", "platform", "slot_sync"} {
		delete(sentAfter, kind) // sent at intervals, independently of tasks
	}
	allocs := float64(after.Mallocs-before.Mallocs) / (perJob * jobs)
	messages := float64(sum(sentAfter)) / (perJob * jobs)
	waste := float64(sum(wastedAfter)) / (perJob * jobs)
	t.Logf("a task: %.1f allocations, %.3f messages, %.4f wasted; %v", allocs, messages, waste, sentAfter)
	if allocs > bound.Allocations || messages > bound.Messages || waste > bound.Wasted {
		t.Errorf("a limit of bench/bounds.ini is exceeded; the limits are %+v", bound)
	}
}
