package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// offerTasks offers a job with a number of tasks of the size of largeOffer.
func offerTasks(p *Pool, now time.Time, number, tasks int) {
	o := largeOffer(fmt.Sprintf("%016x", number))
	o.Tasks = nil
	for i := range tasks {
		o.Tasks = append(o.Tasks, i)
	}
	p.Offer(now, o)
}

// TestWaits checks the reported waits of a pool of four upstreams that each run two tasks of usual
// size.
func TestWaits(t *testing.T) {
	const task = 200 * time.Millisecond // estimate of largeOffer
	for name, c := range map[string]struct {
		prepare func(p *Pool)
		after   time.Duration // time from the start of the tasks to the report
		known   int
		want    [WaitSteps]time.Duration
	}{
		"idle":                      {known: WaitSteps},
		"half full":                 {func(p *Pool) { offerTasks(p, startTime, 1, 4) }, 0, WaitSteps, [WaitSteps]time.Duration{0, 0, 0, task, 2 * task, 4 * task}},
		"full":                      {func(p *Pool) { offerTasks(p, startTime, 1, 8) }, 0, WaitSteps, [WaitSteps]time.Duration{task, task, task, task, 2 * task, 4 * task}},
		"full for a while":          {func(p *Pool) { offerTasks(p, startTime, 1, 8) }, task / 2, WaitSteps, [WaitSteps]time.Duration{task / 2, task / 2, task / 2, task / 2, 3 * task / 2, 7 * task / 2}},
		"jobs wait that have begun": {func(p *Pool) { offerTasks(p, startTime, 1, 12) }, 0, WaitSteps, [WaitSteps]time.Duration{task, task, task, 2 * task, 3 * task, 5 * task}},
		"jobs wait that have not begun": {func(p *Pool) {
			offerTasks(p, startTime, 1, 8)
			offerTasks(p, startTime, 2, 1)
		}, 0, WaitSteps, [WaitSteps]time.Duration{task, task, task, task, 2 * task, 4 * task}},
		"draining": {func(p *Pool) { p.Drain(startTime) }, 0, 0, [WaitSteps]time.Duration{}},
		"two services": {func(p *Pool) {
			p.SetUpstreams(startTime, []fleet.Upstream{{ID: "u000", Service: "s"}, {ID: "v", Service: "other"}})
		}, 0, 0, [WaitSteps]time.Duration{}},
	} {
		p := fullPool(4, -8)
		if c.prepare != nil {
			c.prepare(p)
		}
		w := p.Load(startTime.Add(c.after)).Waits
		if w.Known != c.known || w.Until != c.want {
			t.Errorf("%s: %d waits are known, %v; want %d, %v", name, w.Known, w.Until, c.known, c.want)
		}
	}
}

// TestWaitsAreForecastRarely checks that the waits are not forecast for each call of Load, and that
// they shrink between two forecasts.
func TestWaitsAreForecastRarely(t *testing.T) {
	p := fullPool(96, 1000)
	first := p.Load(startTime)
	later := startTime.Add(waitsInterval - time.Millisecond)
	if n := testing.AllocsPerRun(20, func() { p.Load(later) }); n > 0 {
		t.Errorf("Load allocates %.0f times although the last forecast is recent", n)
	}
	if l := p.Load(later); l.Waits.Until[0] != first.Waits.Until[0]-later.Sub(startTime) {
		t.Errorf("wait for one task %v after %v, it was %v", l.Waits.Until[0], later.Sub(startTime), first.Waits.Until[0])
	}
	p.Withdraw(startTime, JobKey{"home", fmt.Sprintf("%016x", 0), 1}, "left")
	if p.Load(startTime.Add(waitsInterval)); !p.lastWaits.at.Equal(startTime.Add(waitsInterval)) {
		t.Error("the waits are not forecast again after waitsInterval")
	}
}

// BenchmarkLoad measures a report of the load that includes a forecast of the waits.
func BenchmarkLoad(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := fullPool(size.upstreams, size.jobs)
			for b.Loop() {
				p.lastWaits.at = time.Time{}
				p.Load(startTime)
			}
		})
	}
}
