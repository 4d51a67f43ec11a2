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

// Report is the result of a soak run.
type Report struct {
	Seed        uint64
	Faults      int // number of faults that were injected
	Starts      int // number of runs of tasks that were started on upstreams
	Evacuations int // number of evacuations of zones
	// Responses counts the requests of customers by how they ended. The keys are:
	//   - "completed" and "failed": the final state of the job in the response
	//   - "unread": there was no response, and no instance can have read the request
	//   - for a cancellation, "cancellation" and the HTTP status, or 0 if there was no response
	//   - for a refusal, the HTTP status and the body of the response
	//   - for all others, the HTTP status, or "0" if there was no response
	Responses  map[string]int
	Violations []string // a description of each violation of an invariant
}

const (
	// readyTimeout is the maximum time from the start of the installation until all instances
	// are ready.
	readyTimeout = 20 * time.Second
	// recoveryTimeout is the maximum time from the end of the last fault until jobs are served
	// normally.
	recoveryTimeout = 12 * time.Second
	// maxStartAfterDrain is how long after the start of its drain an upstream may still receive
	// tasks. Outages of the store are not counted, because no instance can learn of the drain
	// while they last.
	maxStartAfterDrain = 3 * time.Second
	// maxStartAfterEvacuation is how long after the evacuation of its zone an upstream may
	// still receive tasks. Outages of the store are not counted, as above. The platform
	// requires this limit, even though another fault may pause an owner for up to 3 s of that
	// time.
	maxStartAfterEvacuation = 5 * time.Second
	// refusalTolerance is how long after the refusal of a job a start of one of its tasks may
	// be recorded without counting as a violation. Starts and refusals are recorded by
	// different goroutines of this program, so an earlier start may be recorded later.
	refusalTolerance = 50 * time.Millisecond
	// maxFaultPause is the maximum time between the starts of two successive faults.
	maxFaultPause = 500 * time.Millisecond
	// maxFaultDuration is the limit of the random duration that is drawn for each fault. Most
	// faults last for this duration. Some last for a third of it, or add it to a minimum, and
	// some have no duration.
	maxFaultDuration = 3 * time.Second
)

// Run starts an installation, injects faults for cfg.InjectionTime while customers send jobs, and
// checks the invariants. Violations are part of the report; an error means that the installation
// could not be started. Run ends early if ctx is cancelled. All processes that it has started have
// exited when it returns.
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
		results.addViolation("not all instances are ready %v after the start", readyTimeout)
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

// waitReady waits until every instance reports that it is ready for customers. It returns false if
// that takes longer than readyTimeout.
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

// ready reports whether the readiness check of an instance succeeds.
func ready(p *process) bool {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the body is not used
	return res.StatusCode == http.StatusOK
}

// injectFaults starts random faults for cfg.InjectionTime and returns their number. Faults may
// overlap. It returns after all of them have ended.
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

// pickFault draws a random fault. It returns a function that starts the fault, waits for the given
// duration or another one that suits the fault, and ends it. Random numbers are drawn in a fixed
// order, on which the sequence of faults for a seed depends.
func (in *installation) pickFault(r *results) func(time.Duration) {
	p := in.processes[in.rng.IntN(len(in.processes))]
	u := in.pickUpstream()
	mode := Mode(1 + in.rng.IntN(modeCount-1)) // any mode but Forward
	optional := in.optionalFaults(u, r)
	kind := in.rng.IntN(commonFaultKinds + len(optional))
	if kind >= commonFaultKinds {
		return optional[kind-commonFaultKinds]
	}
	switch kind {
	case 0: // an instance crashes and restarts
		return func(d time.Duration) { p.terminate(syscall.SIGKILL); time.Sleep(d / 3); in.restart(p, r) }
	case 1: // an instance shuts down as planned and restarts
		return func(time.Duration) { p.terminate(syscall.SIGTERM); in.restart(p, r) }
	case 2: // an instance is paused
		return func(d time.Duration) { p.signal(syscall.SIGSTOP); time.Sleep(d); p.signal(syscall.SIGCONT) }
	case 3: // an instance is told to read its settings file again
		return func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 4: // the proxy between an instance and the store disturbs the connections
		return func(d time.Duration) { p.store.SetMode(mode); time.Sleep(d); p.store.SetMode(Forward) }
	case 5, 6: // the proxy between all instances and an upstream disturbs the connections; twice as likely
		return func(d time.Duration) { u.proxy.SetMode(mode); time.Sleep(d); u.proxy.SetMode(Forward) }
	case 7: // tasks on an upstream make no progress
		return func(d time.Duration) {
			u.WithModel(func(c *standin.UpstreamModel) { c.RunsStalled = true })
			time.Sleep(d)
			u.WithModel(func(c *standin.UpstreamModel) { c.RunsStalled = false })
		}
	case 8: // an upstream executes a fifth of its orders 2 s late and does not respond to them
		return func(d time.Duration) { u.DelayOrders(0.2, 2*time.Second); time.Sleep(d); u.DelayOrders(0, 0) }
	case 9: // the store is unavailable to all instances
		return func(d time.Duration) {
			in.outages.begin(time.Now())
			in.store.SetFault(standin.Unavailable, 0)
			time.Sleep(d)
			if in.outages.end(time.Now()) {
				in.store.SetFault(standin.NoFault, 0)
			}
		}
	case 10: // the store drops its history, so that instances must read all keys again
		return func(time.Duration) { in.store.DropRevisionHistory() }
	case 11: // a new version of the configuration is written, already while the fault is drawn
		if err := in.configure(); err != nil {
			r.addViolation("cannot write a configuration: %v", err)
		}
		return func(time.Duration) {}
	case 12: // the open connections between an instance and the store silently drop all data
		return func(time.Duration) { p.store.BlackholeOpenConnections() }
	case 13: // the open connections between all instances and an upstream silently drop all data
		return func(time.Duration) { u.proxy.BlackholeOpenConnections() }
	default: // an upstream is drained and replaced by a new one
		return func(d time.Duration) { in.replaceUpstream(u, d, r) }
	}
}

// commonFaultKinds is the number of cases in pickFault, which are injected with every Config.
const commonFaultKinds = 15

// optionalFaults returns the further faults that Config enables.
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
	// maxOvercommitTime is how long after a reduction of its capacity an upstream may still
	// receive more tasks than fit. It is the 5.5 s that the platform allows, plus the time for
	// which two faults in succession can keep an owner from learning of the reduction.
	maxOvercommitTime = 5500*time.Millisecond + 2*maxFaultDuration
	// reducedCPU is the reduced CPU capacity of an upstream, in thousandths of a core. Only one
	// task fits in it.
	reducedCPU = taskCPU + taskCPU/2
)

// crashUpstream crashes an upstream and later restarts it under the same ID. It does nothing if
// reserveUpstream fails.
func (in *installation) crashUpstream(u *upstream, d time.Duration) {
	if !in.reserveUpstream(u) {
		return
	}
	u.Crash()
	time.Sleep(minDowntime + d/3)
	u.Restart()
	in.releaseUpstream(u)
}

// resize reduces the capacity of an upstream and later restores it. It does nothing if
// reserveUpstream fails.
func (in *installation) resize(u *upstream, d time.Duration) {
	if !in.reserveUpstream(u) {
		return
	}
	u.Resize(fleet.Resources{MilliCPU: reducedCPU, MemoryMB: upstreamMemory}, maxOvercommitTime)
	time.Sleep(maxOvercommitTime + d)
	u.Resize(fleet.Resources{MilliCPU: upstreamCPU, MemoryMB: upstreamMemory}, 0)
	in.releaseUpstream(u)
}

// reserveUpstream reserves an upstream for a crash or resize, so that no other fault crashes,
// resizes or drains it meanwhile. It returns false if the upstream is already reserved or has been
// drained.
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

// evacuate evacuates a zone for some time. Before it ends the evacuation, it checks that the
// upstreams of the zone received no tasks later than allowed. It does nothing if the zone is
// already evacuated.
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
			r.addViolation("%s received a task %v after the evacuation of its zone, not counting outages of the store", u.ID, late)
		}
	}
	in.store.EndEvacuation(zone)
	in.mu.Lock()
	in.evacuatedZones[zone] = false
	in.mu.Unlock()
}

// restart starts the daemon of an instance again after a fault.
func (in *installation) restart(p *process, r *results) {
	if err := p.start(); err != nil {
		r.addViolation("%s cannot be restarted: %v", p.name, err)
	}
}

func (in *installation) pickUpstream() *upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.upstreams[in.rng.IntN(len(in.upstreams))]
}

// minNotice is the shortest time for which a drained upstream says that it stays, if Config.Uneven
// is set. Some tasks take longer.
const minNotice = 300 * time.Millisecond

// replaceUpstream drains an upstream, starts another one in the same zone, and then stops the
// drained one. It does nothing if the upstream is reserved for another fault or has already been
// drained.
func (in *installation) replaceUpstream(u *upstream, d time.Duration, r *results) {
	in.mu.Lock()
	if u.reserved || !u.drainedAt.IsZero() {
		in.mu.Unlock()
		return
	}
	u.drainedAt = time.Now()
	in.mu.Unlock()
	staysFor := maxStartAfterDrain + d
	if in.cfg.Uneven {
		staysFor = minNotice + d
		u.DrainUntil(time.Now().Add(staysFor))
	} else {
		u.Drain()
	}
	if err := in.addUpstream(u.zone); err != nil {
		r.addViolation("a replacement of a drained upstream cannot be started: %v", err)
	}
	time.Sleep(staysFor)
	u.Close()
}

// checkRecovery checks that, within recoveryTimeout after the end of the faults, nearly all jobs
// complete again.
func (in *installation) checkRecovery(ctx context.Context, r *results) {
	r.clearRecent()
	deadline := time.Now().Add(recoveryTimeout)
	for !r.recovered() && ctx.Err() == nil {
		if time.Now().After(deadline) {
			r.addViolation("jobs do not complete normally again within %v of the end of the faults", recoveryTimeout)
			return
		}
		time.Sleep(pollInterval)
	}
}

// checkStarts checks the invariants that can only be checked at the end of the soak run:
//   - Every job of which a task was started had been sent by a customer.
//   - No task of a job was started after the job had been refused.
//   - No upstream received a task later than maxStartAfterDrain after its drain.
func (in *installation) checkStarts(r *results) {
	r.mu.Lock()
	submitted, refusedAt := r.submitted, r.refusedAt
	r.mu.Unlock()
	for _, job := range in.tracker.StartedJobs() {
		if !submitted[job] {
			r.addViolation("a task of job %s was started, but no customer sent this job", job)
		}
		if refusedTime, refused := refusedAt[job]; refused && in.tracker.LastJobStart(job).After(refusedTime.Add(refusalTolerance)) {
			r.addViolation("a task of job %s was started after the job was refused", job)
		}
	}
	for _, u := range in.upstreams {
		last := in.tracker.LastUpstreamStart(u.ID)
		late := last.Sub(u.drainedAt) - in.outages.overlap(u.drainedAt, last)
		if !u.drainedAt.IsZero() && late > maxStartAfterDrain {
			r.addViolation("%s received a task %v after its drain, or %v not counting outages of the store", u.ID, last.Sub(u.drainedAt), late)
		}
	}
}
