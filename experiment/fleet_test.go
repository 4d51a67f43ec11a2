package experiment

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/entry"
	"github.com/sedgehatch/sedgehatch/settings"
)

// cpuTime returns the processor time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func innerBytes(nodes []*entry.Node) int64 {
	sum := int64(0)
	for _, n := range nodes {
		sum += n.SentBytes()
	}
	return sum
}

// BenchmarkFleet measures what control costs an entry while no job runs:
// processor time, bytes and memory, and the platform's calls, against the
// number of entries and of upstreams. Each round is a second.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ entries, upstreams int }{{9, 48}, {30, 48}, {60, 48}, {9, 400}, {9, 1600}} {
		b.Run(fmt.Sprintf("entries=%d/upstreams=%d", size.entries, size.upstreams), func(b *testing.B) {
			before := heap()
			spec := ClusterSpec{Membership: quietMembership, HeartbeatInterval: 500 * time.Millisecond, InstancePollInterval: time.Second}
			for z := range 3 {
				spec.Zones = append(spec.Zones, ZoneSpec{Name: fmt.Sprintf("z%d", z), Entries: size.entries / 3})
			}
			c, err := StartCluster(spec)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			c.listIdle(size.upstreams)
			time.Sleep(3 * time.Second) // until every entry has the list
			nodes := float64(size.entries)
			memory := (heap() - before) / nodes
			bytes, cpu, began := innerBytes(c.Nodes()), cpuTime(b), time.Now()
			reads, writes := c.Platform.Calls()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			took := time.Since(began).Seconds()
			nowReads, nowWrites := c.Platform.Calls()
			b.ReportMetric(float64(innerBytes(c.Nodes())-bytes)/nodes/took, "B/s/entry")
			b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/nodes/took, "%core/entry")
			b.ReportMetric(memory/(1<<20), "MB/entry")
			b.ReportMetric(float64(nowReads+nowWrites-reads-writes)/took, "platform-calls/s")
		})
	}
}

// BenchmarkSpread measures the time from the acceptance of a change of settings
// to its being in force on every entry.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{9, 30, 60} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			spec := ClusterSpec{Membership: quietMembership, HeartbeatInterval: 500 * time.Millisecond, InstancePollInterval: time.Second}
			for z := range 3 {
				spec.Zones = append(spec.Zones, ZoneSpec{Name: fmt.Sprintf("z%d", z), Entries: entries / 3, Upstreams: 1})
			}
			c, err := StartCluster(spec)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			store := c.store()
			worst := time.Duration(0)
			for n := 0; b.Loop(); n++ {
				head, _, err := store.Update(0, "bench", func(t *settings.Tree) (*settings.Tree, []error) {
					value := fmt.Sprint(n%1000 + 1)
					return t.With(settings.Node{Level: settings.LevelFleet}, settings.KeyDeadlineMs, &value)
				})
				if err != nil {
					b.Fatal(err)
				}
				began := time.Now()
				for _, node := range c.Nodes() {
					for node.Revision() < head.Number {
						time.Sleep(200 * time.Microsecond)
					}
				}
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
}

// BenchmarkWork measures what jobs cost the entries, callers and upstreams in
// the same process left out as far as BenchmarkDirect tells, and the bytes
// between entries for a task.
func BenchmarkWork(b *testing.B) {
	c, err := StartCluster(ClusterSpec{Zones: []ZoneSpec{{"a", 3, 8}}, Slots: 64})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	cl, err := c.Client("desk")
	if err != nil {
		b.Fatal(err)
	}
	defer cl.Close()
	const perJob = 50
	job := tasks(perJob, 0)
	if _, err := cl.Do(context.Background(), job); err != nil {
		b.Fatal(err)
	}
	before, bytes, cpu := heap(), innerBytes(c.Nodes()), cpuTime(b)
	n := 0
	for b.Loop() {
		if _, err := cl.Do(context.Background(), job); err != nil {
			b.Fatal(err)
		}
		n += perJob
	}
	b.ReportMetric(float64(innerBytes(c.Nodes())-bytes)/float64(n), "inner-B/task")
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(n), "cpu-us/task")
	b.ReportMetric((heap()-before)/float64(n), "kept-B/task")
}
