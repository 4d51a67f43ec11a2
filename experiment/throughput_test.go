package experiment

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/upstream"
)

// idle is a fleet of one entry, or two, whose upstreams answer at once.
func idle(b *testing.B, entries int) *Cluster {
	b.Helper()
	c, err := StartCluster(Spec{Zones: []ZoneSpec{{"a", entries, 8}}, Slots: 64})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

// BenchmarkStarts runs jobs of 50 tasks that end at once. Its time, bytes and
// allocations are those of one task, callers and upstreams included.
func BenchmarkStarts(b *testing.B) {
	for name, entries := range map[string]int{"alone": 1, "witness": 2} {
		b.Run(name, func(b *testing.B) {
			c := idle(b, entries)
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

// BenchmarkDirect starts the same tasks at the same upstreams without
// sedgehatch: what is left of BenchmarkStarts without it.
func BenchmarkDirect(b *testing.B) {
	c := idle(b, 1)
	cl := upstream.NewClient("u", c.Upstreams[0].Address(), 64, nil)
	defer cl.Close()
	task := &fate.Task{}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		id := time.Now().String()
		for n := 0; pb.Next(); n++ {
			if _, err := cl.Start(&upstream.Start{Lease: id + "/" + time.Now().String(), LeaseMs: 1000, Service: "desk", Task: task, Patience: time.Second}); err != nil {
				b.Error(err)
			}
		}
	})
}
