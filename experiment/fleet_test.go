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

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the number of bytes of heap and stack in use after a garbage
// collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// sentBytes returns the number of bytes that the given entry instances have sent to
// other entry instances.
func sentBytes(nodes []*entry.Node) int64 {
	sum := int64(0)
	for _, n := range nodes {
		sum += n.SentBytes()
	}
	return sum
}

// BenchmarkFleet measures what an entry instance of a fleet without jobs costs: CPU
// time, bytes sent and memory. It also measures how often the whole fleet calls the
// platform. It does so for several numbers of entry instances and upstreams. An
// iteration takes one second.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ entries, upstreams int }{{9, 48}, {30, 48}, {60, 48}, {9, 400}, {9, 1600}} {
		b.Run(fmt.Sprintf("entries=%d/upstreams=%d", size.entries, size.upstreams), func(b *testing.B) {
			before := heapInUse()
			spec := ClusterSpec{Membership: tolerantMembership, HeartbeatInterval: 500 * time.Millisecond, InstancePollInterval: time.Second}
			for z := range 3 {
				spec.Zones = append(spec.Zones, ZoneSpec{Name: fmt.Sprintf("z%d", z), Entries: size.entries / 3})
			}
			c, err := StartCluster(spec)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			c.addUnreachableUpstreams(size.upstreams)
			time.Sleep(3 * time.Second) // until every entry instance has read the list of instances
			nodes := float64(size.entries)
			memory := (heapInUse() - before) / nodes
			bytes, cpu, start := sentBytes(c.Nodes()), cpuTime(b), time.Now()
			reads, writes := c.Platform.Calls()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			took := time.Since(start).Seconds()
			nowReads, nowWrites := c.Platform.Calls()
			b.ReportMetric(float64(sentBytes(c.Nodes())-bytes)/nodes/took, "B/s/entry")
			b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/nodes/took, "%core/entry")
			b.ReportMetric(memory/(1<<20), "MB/entry")
			b.ReportMetric(float64(nowReads+nowWrites-reads-writes)/took, "platform-calls/s")
		})
	}
}

// BenchmarkSpread measures the time from the acceptance of a settings change until
// the change is in force on every entry instance.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{9, 30, 60} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			spec := ClusterSpec{Membership: tolerantMembership, HeartbeatInterval: 500 * time.Millisecond, InstancePollInterval: time.Second}
			for z := range 3 {
				spec.Zones = append(spec.Zones, ZoneSpec{Name: fmt.Sprintf("z%d", z), Entries: entries / 3, Upstreams: 1})
			}
			c, err := StartCluster(spec)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			store := c.settingsStore()
			worst := time.Duration(0)
			for n := 0; b.Loop(); n++ {
				head, _, err := store.Update(0, "bench", func(t *settings.Tree) (*settings.Tree, []error) {
					value := fmt.Sprint(n%1000 + 1)
					return t.With(settings.Node{Level: settings.LevelFleet}, settings.KeyDeadlineMs, &value)
				})
				if err != nil {
					b.Fatal(err)
				}
				start := time.Now()
				for _, node := range c.Nodes() {
					for node.Revision() < head.Number {
						time.Sleep(200 * time.Microsecond)
					}
				}
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
}

// BenchmarkWork measures the CPU time and the memory that a task costs, and the
// bytes that entry instances exchange for it. Callers and upstreams run in the
// same process; subtract the figures of BenchmarkDirect to leave out their share.
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
	job := sleepJob(perJob, 0)
	if _, err := cl.Do(context.Background(), job); err != nil {
		b.Fatal(err)
	}
	before, bytes, cpu := heapInUse(), sentBytes(c.Nodes()), cpuTime(b)
	n := 0
	for b.Loop() {
		if _, err := cl.Do(context.Background(), job); err != nil {
			b.Fatal(err)
		}
		n += perJob
	}
	b.ReportMetric(float64(sentBytes(c.Nodes())-bytes)/float64(n), "inner-B/task")
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(n), "cpu-us/task")
	b.ReportMetric((heapInUse()-before)/float64(n), "kept-B/task")
}
