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
	Seed        uint64
	Faults      int // number of faults that were injected
	Starts      int // number of runs that were started on upstreams
	Evacuations int // number of evacuations of zones
	// Responses counts what customers observed, by kind: "completed" and "failed", "unread"
	// for a request that no instance has read, or else the HTTP status (0 if there was no
	// response), for refusals with the body.
	Responses  map[string]int
	Violations []string // descriptions of violated invariants
}

const (
	// readyTimeout is the maximum time until all instances are ready after the first
	// start, and recoveryTimeout the maximum time until jobs are served normally after the
	// last fault.
	readyTimeout    = 20 * time.Second
	recoveryTimeout = 12 * time.Second
	// maxStartAfterDrain is how long after its drain an upstream may still receive tasks,
	// not counting outages of the store, in which no instance can learn of the drain.
	maxStartAfterDrain = 3 * time.Second
	// maxStartAfterEvacuation is how long after the evacuation of its zone an upstream may
	// still receive tasks, not counting outages of the store, in which no instance can
	// learn of the evacuation. The platform requires this limit. Overlapping faults may
	// pause owners for up to 3 s of this time.
	maxStartAfterEvacuation = 5 * time.Second
	// refusalTolerance is how long after a refusal the start of a run is accepted, because
	// this program may record a start that came before the refusal only after it.
	refusalTolerance = 50 * time.Millisecond
	// maxFaultPause is the maximum time between the starts of two faults.
	maxFaultPause = 500 * time.Millisecond
	// maxFaultDuration is the upper limit of the random duration of a fault. A fault adds
	// to it, or uses a fraction of it, as it needs.
	maxFaultDuration = 3 * time.Second
)

// Run starts an installation, injects faults for cfg.InjectionTime, and checks the
// invariants. It returns an error only if the installation cannot be started. If ctx is
// cancelled, it ends early. All processes that it has started have exited when it returns.
func Run(ctx context.Context, cfg Config) (Report, error) {
	in, err := newInstallation(cfg)
	if err != nil {
		return Report{}, err
	}
	defer in.close()
	if err := in.start(); err != nil {
		return Report{}, err
	}
	results := newResults()
	if !in.waitReady() {
		results.addViolation("the installation is not ready after %v", readyTimeout)
		return in.report(results, 0), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var customers sync.WaitGroup
	for i := range cfg.Customers {
		c := &customer{
			index: i, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100+i))), installation: in, results: results,
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		}
		customers.Go(func() { c.run(ctx) })
	}
	faults := in.injectFaults(ctx, results)
	in.checkRecovery(ctx, results)
	cancel()
	customers.Wait()
	in.checkStarts(results)
	return in.report(results, faults), nil
}

func (in *installation) report(r *results, faults int) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := slices.Concat(r.violations, in.tracker.Violations())
	return Report{Seed: in.cfg.Seed, Faults: faults, Starts: in.tracker.Starts(), Evacuations: in.evacuations, Responses: r.responseCounts, Violations: violations}
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

// waitReady waits until every instance accepts customers. It returns false if that takes
// longer than readyTimeout.
func (in *installation) waitReady() bool {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range in.processes {
		for !ready(p) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(pollInterval)
		}
	}
	return true
}

func ready(p *process) bool {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the body is not used
	return res.StatusCode == http.StatusOK
}

// injectFaults starts random faults for cfg.InjectionTime and returns their number. Faults
// may overlap. All have ended when it returns.
func (in *installation) injectFaults(ctx context.Context, r *results) int {
	end := time.Now().Add(in.cfg.InjectionTime)
	var running sync.WaitGroup
	count := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		fault := in.pickFault(r)
		length := time.Duration(in.rng.Int64N(int64(maxFaultDuration)))
		running.Go(func() { fault(length) })
		count++
		time.Sleep(time.Duration(in.rng.Int64N(int64(maxFaultPause))))
	}
	running.Wait()
	return count
}

// pickFault returns a random fault, as a function that injects it for a given duration.
func (in *installation) pickFault(r *results) func(time.Duration) {
	p := in.processes[in.rng.IntN(len(in.processes))]
	u := in.pickUpstream()
	mode := Mode(1 + in.rng.IntN(modeCount-1))
	optional := in.optionalFaults(u, r)
	kind := in.rng.IntN(commonFaultKinds + len(optional))
	if kind >= commonFaultKinds {
		return optional[kind-commonFaultKinds]
	}
	switch kind {
	case 0:
		return func(d time.Duration) { p.terminate(syscall.SIGKILL); time.Sleep(d / 3); in.restart(p, r) }
	case 1:
		return func(time.Duration) { p.terminate(syscall.SIGTERM); in.restart(p, r) }
	case 2:
		return func(d time.Duration) { p.signal(syscall.SIGSTOP); time.Sleep(d); p.signal(syscall.SIGCONT) }
	case 3:
		return func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 4:
		return func(d time.Duration) { p.store.SetMode(mode); time.Sleep(d); p.store.SetMode(Forward) }
	case 5, 6:
		return func(d time.Duration) { u.proxy.SetMode(mode); time.Sleep(d); u.proxy.SetMode(Forward) }
	case 7:
		return func(d time.Duration) {
			u.WithModel(func(c *standin.UpstreamModel) { c.RunsStalled = true })
			time.Sleep(d)
			u.WithModel(func(c *standin.UpstreamModel) { c.RunsStalled = false })
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
		return func(time.Duration) { in.store.DropRevisionHistory() }
	case 11:
		if err := in.configure(); err != nil {
			r.addViolation("a configuration is not written: %v", err)
		}
		return func(time.Duration) {}
	case 12:
		return func(time.Duration) { p.store.BlackholeOpenConnections() }
	case 13:
		return func(time.Duration) { u.proxy.BlackholeOpenConnections() }
	default:
		return func(d time.Duration) { in.replaceUpstream(u, d, r) }
	}
}

// commonFaultKinds is the number of kinds of faults that do not depend on Config.
const commonFaultKinds = 15

// optionalFaults returns the additional faults that are enabled in Config.
func (in *installation) optionalFaults(u *upstream, r *results) []func(time.Duration) {
	var faults []func(time.Duration)
	if in.cfg.Evacuations {
		faults = append(faults, func(d time.Duration) { in.evacuate(u.zone, d, r) })
	}
	if in.cfg.RestartsAndResizes {
		faults = append(faults, func(d time.Duration) { in.crashUpstream(u, d) }, func(d time.Duration) { in.resize(u, d) })
	}
	return faults
}

const (
	// minDowntime is the minimum time between the crash of an upstream and its restart.
	minDowntime = time.Second
	// maxOvercommitTime is how long after its capacity was reduced an upstream may still
	// receive more tasks than fit: 5.5 s that the platform allows, and the maximum time
	// for which faults keep an owner from learning of the reduction.
	maxOvercommitTime = 5500*time.Millisecond + 2*maxFaultDuration
	// reducedCPU is the reduced capacity of an upstream in thousandths of a core.
	reducedCPU = taskCPU + taskCPU/2
)

// crashUpstream crashes an upstream and restarts it under the same ID, unless another fault has
// reserved it.
func (in *installation) crashUpstream(u *upstream, d time.Duration) {
	if !in.reserveUpstream(u) {
		return
	}
	u.Crash()
	time.Sleep(minDowntime + d/3)
	u.Restart()
	in.releaseUpstream(u)
}

// resize reduces the capacity of an upstream for a while, unless another fault has reserved
// it.
func (in *installation) resize(u *upstream, d time.Duration) {
	if !in.reserveUpstream(u) {
		return
	}
	u.Resize(fleet.Resources{MilliCPU: reducedCPU, MemoryMB: upstreamMemory}, maxOvercommitTime)
	time.Sleep(maxOvercommitTime + d)
	u.Resize(fleet.Resources{MilliCPU: upstreamCPU, MemoryMB: upstreamMemory}, 0)
	in.releaseUpstream(u)
}

// reserveUpstream reserves an upstream for a fault. It returns false if another fault has
// reserved the upstream or it is being drained.
func (in *installation) reserveUpstream(u *upstream) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if u.reserved || !u.drainedAt.IsZero() {
		return false
	}
	u.reserved = true
	return true
}

func (in *installation) releaseUpstream(u *upstream) {
	in.mu.Lock()
	defer in.mu.Unlock()
	u.reserved = false
}

// evacuate evacuates a zone, unless it is evacuated already. It ends the evacuation after it
// has checked that no upstream of the zone received tasks later than allowed.
func (in *installation) evacuate(zone string, d time.Duration, r *results) {
	in.mu.Lock()
	if in.evacuatedZones[zone] {
		in.mu.Unlock()
		return
	}
	in.evacuatedZones[zone] = true
	in.evacuations++
	in.mu.Unlock()
	start := time.Now()
	in.store.Evacuate(zone)
	time.Sleep(maxStartAfterEvacuation + d)
	in.mu.Lock()
	upstreams := slices.Clone(in.upstreams)
	in.mu.Unlock()
	for _, u := range upstreams {
		last := in.tracker.LastUpstreamStart(u.ID)
		if late := last.Sub(start) - in.outages.overlap(start, last); u.zone == zone && late > maxStartAfterEvacuation {
			r.addViolation("%s got a task %v after its zone was evacuated", u.ID, late)
		}
	}
	in.store.EndEvacuation(zone)
	in.mu.Lock()
	in.evacuatedZones[zone] = false
	in.mu.Unlock()
}

func (in *installation) restart(p *process, r *results) {
	if err := p.start(); err != nil {
		r.addViolation("%s does not start again: %v", p.name, err)
	}
}

func (in *installation) pickUpstream() *upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.upstreams[in.rng.IntN(len(in.upstreams))]
}

// replaceUpstream drains an upstream, starts another in the same zone, and then stops the
// drained one, unless a fault has reserved it or it is being drained.
func (in *installation) replaceUpstream(u *upstream, d time.Duration, r *results) {
	in.mu.Lock()
	if u.reserved || !u.drainedAt.IsZero() {
		in.mu.Unlock()
		return
	}
	u.drainedAt = time.Now()
	in.mu.Unlock()
	u.Drain()
	if err := in.addUpstream(u.zone); err != nil {
		r.addViolation("an upstream does not start: %v", err)
	}
	time.Sleep(maxStartAfterDrain + d)
	u.Close()
}

// checkRecovery checks that nearly all jobs complete again within recoveryTimeout.
func (in *installation) checkRecovery(ctx context.Context, r *results) {
	r.clearRecent()
	deadline := time.Now().Add(recoveryTimeout)
	for !r.recovered() && ctx.Err() == nil {
		if time.Now().After(deadline) {
			r.addViolation("jobs are not served again %v after the faults", recoveryTimeout)
			return
		}
		time.Sleep(pollInterval)
	}
}

// checkStarts checks the invariants that can only be checked at the end of the run: every job
// that was started was sent by a customer, no job was started after its refusal, and no
// upstream received tasks too long after its drain.
func (in *installation) checkStarts(r *results) {
	r.mu.Lock()
	submitted, refusedAt := r.submitted, r.refusedAt
	r.mu.Unlock()
	for _, job := range in.tracker.StartedJobs() {
		if !submitted[job] {
			r.addViolation("%s was started, and nobody sent it", job)
		}
		if since, refused := refusedAt[job]; refused && in.tracker.LastJobStart(job).After(since.Add(refusalTolerance)) {
			r.addViolation("%s began after it was refused", job)
		}
	}
	for _, u := range in.upstreams {
		last := in.tracker.LastUpstreamStart(u.ID)
		late := last.Sub(u.drainedAt) - in.outages.overlap(u.drainedAt, last)
		if !u.drainedAt.IsZero() && late > maxStartAfterDrain {
			r.addViolation("%s got a task %v after its drain, of which the store was there for %v", u.ID, last.Sub(u.drainedAt), late)
		}
	}
}
