package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// Report is the outcome of a run.
type Report struct {
	Seed   uint64
	Faults int
	Starts int
	// Evacuations is how many zones were evacuated.
	Evacuations int
	Answers     map[string]int
	Broken      []string // promises that were broken
}

const (
	// readyLimit bounds how long the first start takes, and recoverLimit how
	// long service takes to come back after the faults.
	readyLimit   = 20 * time.Second
	recoverLimit = 12 * time.Second
	// drainBound is how long after its drain an upstream may still get tasks, not
	// counting the time in which nobody can read of it.
	drainBound = 3 * time.Second
	// evacuationBound is how long after the evacuation of its zone an upstream may
	// still get tasks, not counting the time in which nobody can read of it. It is what
	// the platform asks for; while faults overlap, owners are paused for up to 3 s.
	evacuationBound = 5 * time.Second
	// regretBound is how long after a refusal a start is still seen as late
	// bookkeeping of this program.
	regretBound = 50 * time.Millisecond
	// longestPause bounds the pause between faults.
	longestPause = 500 * time.Millisecond
	// longestFault bounds how long a fault lasts.
	longestFault = 3 * time.Second
)

// Run starts an installation, injects faults for a while, and checks the
// promises. The error is that of starting it. It ends early with ctx; every
// process that it started has ended when it returns.
func Run(ctx context.Context, cfg Config) (Report, error) {
	in, err := newInstallation(cfg)
	if err != nil {
		return Report{}, err
	}
	defer in.close()
	if err := in.start(); err != nil {
		return Report{}, err
	}
	t := newTally()
	if !in.waitReady() {
		t.breaks("the installation is not ready after %v", readyLimit)
		return in.report(t, 0), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var customers sync.WaitGroup
	for i := range cfg.Customers {
		c := &customer{
			number: i, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100+i))), in: in, tally: t,
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		}
		customers.Go(func() { c.run(ctx) })
	}
	faults := in.injectFaults(ctx, t)
	in.checkRecovery(ctx, t)
	cancel()
	customers.Wait()
	in.checkEnd(t)
	return in.report(t, faults), nil
}

func (in *installation) report(t *tally, faults int) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := slices.Concat(t.broken, in.ledger.Violations())
	return Report{Seed: in.cfg.Seed, Faults: faults, Starts: in.ledger.Starts(), Evacuations: in.evacuations, Answers: t.answers, Broken: broken}
}

// start starts every instance.
func (in *installation) start() error {
	for _, p := range in.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until every instance takes customers.
func (in *installation) waitReady() bool {
	deadline := time.Now().Add(readyLimit)
	for _, p := range in.processes {
		for !ready(p) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(silencePoll)
		}
	}
	return true
}

func ready(p *process) bool {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // it has none
	return res.StatusCode == http.StatusOK
}

// injectFaults lets one trouble begin after the other for the length of the run,
// and returns how many. They overlap; all have ended when it returns.
func (in *installation) injectFaults(ctx context.Context, t *tally) int {
	end := time.Now().Add(in.cfg.Length)
	var running sync.WaitGroup
	count := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		fault := in.pickFault(t)
		length := time.Duration(in.rng.Int64N(int64(longestFault)))
		running.Go(func() { fault(length) })
		count++
		time.Sleep(time.Duration(in.rng.Int64N(int64(longestPause))))
	}
	running.Wait()
	return count
}

// pickFault draws the next fault.
func (in *installation) pickFault(t *tally) func(time.Duration) {
	p := in.processes[in.rng.IntN(len(in.processes))]
	u := in.pickUpstream()
	mode := Mode(1 + in.rng.IntN(modes-1))
	more := in.moreFaults(u, t)
	kind := in.rng.IntN(faultKinds + len(more))
	if kind >= faultKinds {
		return more[kind-faultKinds]
	}
	switch kind {
	case 0:
		return func(d time.Duration) { p.end(syscall.SIGKILL); time.Sleep(d / 3); in.restart(p, t) }
	case 1:
		return func(time.Duration) { p.end(syscall.SIGTERM); in.restart(p, t) }
	case 2:
		return func(d time.Duration) { p.signal(syscall.SIGSTOP); time.Sleep(d); p.signal(syscall.SIGCONT) }
	case 3:
		return func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 4:
		return func(d time.Duration) { p.store.Set(mode); time.Sleep(d); p.store.Set(Pass) }
	case 5, 6:
		return func(d time.Duration) { u.proxy.Set(mode); time.Sleep(d); u.proxy.Set(Pass) }
	case 7:
		return func(d time.Duration) {
			u.WithModel(func(c *standin.UpstreamModel) { c.Stalled = true })
			time.Sleep(d)
			u.WithModel(func(c *standin.UpstreamModel) { c.Stalled = false })
		}
	case 8:
		return func(d time.Duration) { u.DelayOrders(0.2, 2*time.Second); time.Sleep(d); u.DelayOrders(0, 0) }
	case 9:
		return func(d time.Duration) {
			in.outages.begin(time.Now())
			in.store.SetFault(standin.Unavailable, 0)
			time.Sleep(d)
			if in.outages.end(time.Now()) {
				in.store.SetFault(standin.NoFault, 0)
			}
		}
	case 10:
		return func(time.Duration) { in.store.DropHistory() }
	case 11:
		if err := in.configure(); err != nil {
			t.breaks("a configuration is not written: %v", err)
		}
		return func(time.Duration) {}
	case 12:
		return func(time.Duration) { p.store.SilenceOpen() }
	case 13:
		return func(time.Duration) { u.proxy.SilenceOpen() }
	default:
		return func(d time.Duration) { in.replaceUpstream(u, d, t) }
	}
}

// faultKinds is how many kinds of faults there are that each run has.
const faultKinds = 15

// moreFaults returns the faults that a run may have beside.
func (in *installation) moreFaults(u *upstream, t *tally) []func(time.Duration) {
	var more []func(time.Duration)
	if in.cfg.Evacuations {
		more = append(more, func(d time.Duration) { in.evacuate(u.zone, d, t) })
	}
	if in.cfg.Lives {
		more = append(more, func(d time.Duration) { in.startAgain(u, d) }, func(d time.Duration) { in.resize(u, d) })
	}
	return more
}

const (
	// leastDown is how long an upstream is down at least before it starts again.
	leastDown = time.Second
	// roomBound is how long after its room has shrunk an upstream may still be filled over
	// it: what the platform gives, and the longest time in which faults keep the news from
	// an owner.
	roomBound = 5500*time.Millisecond + 2*longestFault
	// shrunkCPU is the room of an upstream that has shrunk, thousandths of a core.
	shrunkCPU = taskCPU + taskCPU/2
)

// startAgain lets an upstream crash and start again under its id, unless another fault does.
func (in *installation) startAgain(u *upstream, d time.Duration) {
	if !in.claimUpstream(u) {
		return
	}
	u.Crash()
	time.Sleep(leastDown + d/3)
	u.Restart()
	in.releaseUpstream(u)
}

// resize lets the room of an upstream shrink and grow again, unless another fault is at it.
func (in *installation) resize(u *upstream, d time.Duration) {
	if !in.claimUpstream(u) {
		return
	}
	u.Resize(fleet.Resources{MilliCPU: shrunkCPU, MemoryMB: upstreamMemory}, roomBound)
	time.Sleep(roomBound + d)
	u.Resize(fleet.Resources{MilliCPU: upstreamCPU, MemoryMB: upstreamMemory}, 0)
	in.releaseUpstream(u)
}

// claimUpstream reports whether a fault may change an upstream that is not leaving.
func (in *installation) claimUpstream(u *upstream) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if u.claimed || !u.drained.IsZero() {
		return false
	}
	u.claimed = true
	return true
}

func (in *installation) releaseUpstream(u *upstream) {
	in.mu.Lock()
	defer in.mu.Unlock()
	u.claimed = false
}

// evacuate evacuates a zone, unless it is, and takes that back once it is clear
// whether its upstreams get tasks later than they may.
func (in *installation) evacuate(zone string, d time.Duration, t *tally) {
	in.mu.Lock()
	if in.evacuated[zone] {
		in.mu.Unlock()
		return
	}
	in.evacuated[zone] = true
	in.evacuations++
	in.mu.Unlock()
	began := time.Now()
	in.store.Evacuate(zone)
	time.Sleep(evacuationBound + d)
	in.mu.Lock()
	upstreams := slices.Clone(in.upstreams)
	in.mu.Unlock()
	for _, u := range upstreams {
		last := in.ledger.LastUpstreamStart(u.ID)
		if late := last.Sub(began) - in.outages.within(began, last); u.zone == zone && late > evacuationBound {
			t.breaks("%s got a task %v after its zone was evacuated", u.ID, late)
		}
	}
	in.store.EndEvacuation(zone)
	in.mu.Lock()
	in.evacuated[zone] = false
	in.mu.Unlock()
}

func (in *installation) restart(p *process, t *tally) {
	if err := p.start(); err != nil {
		t.breaks("%s does not start again: %v", p.name, err)
	}
}

func (in *installation) pickUpstream() *upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.upstreams[in.rng.IntN(len(in.upstreams))]
}

// replaceUpstream drains one upstream, ends it, and starts another.
func (in *installation) replaceUpstream(u *upstream, d time.Duration, t *tally) {
	in.mu.Lock()
	if u.claimed || !u.drained.IsZero() {
		in.mu.Unlock()
		return
	}
	u.drained = time.Now()
	in.mu.Unlock()
	u.Drain()
	if err := in.addUpstream(u.zone); err != nil {
		t.breaks("an upstream does not start: %v", err)
	}
	time.Sleep(drainBound + d)
	u.Close()
}

// checkRecovery waits until nearly all jobs are served again.
func (in *installation) checkRecovery(ctx context.Context, t *tally) {
	t.forget()
	deadline := time.Now().Add(recoverLimit)
	for !t.recovered() && ctx.Err() == nil {
		if time.Now().After(deadline) {
			t.breaks("jobs are not served again %v after the faults", recoverLimit)
			return
		}
		time.Sleep(silencePoll)
	}
}

// checkEnd checks what can be told only at the end.
func (in *installation) checkEnd(t *tally) {
	t.mu.Lock()
	submitted, refused := t.submitted, t.cancelled
	t.mu.Unlock()
	for _, job := range in.ledger.StartedJobs() {
		if !submitted[job] {
			t.breaks("%s was started, and nobody sent it", job)
		}
		if at, was := refused[job]; was && in.ledger.LastJobStart(job).After(at.Add(regretBound)) {
			t.breaks("%s began after it was refused", job)
		}
	}
	for _, u := range in.upstreams {
		last := in.ledger.LastUpstreamStart(u.ID)
		late := last.Sub(u.drained) - in.outages.within(u.drained, last)
		if !u.drained.IsZero() && late > drainBound {
			t.breaks("%s got a task %v after its drain, of which the store was there for %v", u.ID, last.Sub(u.drained), late)
		}
	}
}
