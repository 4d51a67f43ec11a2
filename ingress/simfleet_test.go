package ingress

import (
	"fmt"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// The types in this file, simowner_test.go and simlink_test.go simulate a fleet in virtual
// time. It consists of:
//   - coordinators and owners, each in a process of its own that may be paused
//   - links (connections) between them, which may break or silently drop messages
//   - upstreams
//   - customers that disconnect and send their jobs again
//
// Within a zone, two processes can own the zone's group: the owner and a standby that takes
// over when it receives no heartbeats from the owner.

const (
	// simNetworkDelay is the latency of messages between processes.
	simNetworkDelay = time.Millisecond
	// simCustomerNetworkDelay is the latency between customers and coordinators.
	simCustomerNetworkDelay = 3 * time.Millisecond
	// simZoneHeartbeat is the interval of the heartbeats between the owner and the standby of
	// a zone, and of the load reports to coordinators.
	simZoneHeartbeat = 100 * time.Millisecond
	// simLinkTimeout is how long one end of a link waits for a message before it considers
	// the other end lost. All links use the value that the product uses between availability
	// zones.
	simLinkTimeout = 1200 * time.Millisecond
	// simTakeoverTimeout is how long a standby waits for a heartbeat of the owner before it
	// takes over.
	simTakeoverTimeout = 600 * time.Millisecond
	// simTickInterval is the interval between calls of Pool.Tick.
	simTickInterval = 25 * time.Millisecond
	// simStartTimeout is the timeout of orders to upstreams to start a run, simCallTimeout
	// that of all other calls to upstreams.
	simStartTimeout = 20 * time.Millisecond
	simCallTimeout  = 150 * time.Millisecond
	// simResendDelay is how long a customer waits, after it has disconnected, before it sends
	// its job again.
	simResendDelay = 1300 * time.Millisecond
	// simCustomerTimeout is how long a customer waits for a response. The coordinator ends the
	// job after simRequestTimeout, which is shorter, so that its response arrives in time.
	simCustomerTimeout = 1500 * time.Millisecond
	simRequestTimeout  = simCustomerTimeout - 50*time.Millisecond
	// simMaxWatchDelayMs is the maximum time, in milliseconds, between the end of a customer's
	// connection and the scheduling of the goroutine that waits for it.
	simMaxWatchDelayMs = 150
)

// simProcess is a simulated process, in which functions run one after the other. While it is
// paused, functions are queued in its inbox.
type simProcess struct {
	fleet  *simFleet
	name   string
	paused bool
	inbox  []func()
	// suspendedFor is the total time for which the process's machine has been suspended.
	// Timers stand still during this time, so they fire late. The clock stands still only if
	// simFleet.suspensionStopsClocks is set.
	suspendedFor time.Duration
	resumesAt    time.Time // end of the current or last suspension
}

// simRetransmission is the delay before a customer's machine retransmits the end of a connection
// (the TCP FIN) that a suspended machine has not acknowledged. The delay doubles with each
// retransmission.
const simRetransmission = 200 * time.Millisecond

// simNever is longer than any simulation.
const simNever = time.Hour

// whenNoticed returns when the process's machine notices that a customer has closed a
// connection at closedAt. The machine notices it at once, except if it is suspended and
// simFleet.retransmitsCloses is set: then it notices the first retransmission after the
// suspension.
//
// If the customer has reset the connection and simFleet.losesResets is set, the machine notices
// it only if it is not suspended at that time.
func (p *simProcess) whenNoticed(closedAt time.Time, reset bool) time.Time {
	switch {
	case !p.fleet.retransmitsCloses:
		return closedAt
	case reset && p.fleet.losesResets && closedAt.Before(p.resumesAt):
		return closedAt.Add(simNever)
	}
	for pause := simRetransmission; closedAt.Before(p.resumesAt); pause *= 2 {
		closedAt = closedAt.Add(pause)
	}
	return closedAt
}

func (p *simProcess) run(f func()) {
	if p.paused {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
}

func (p *simProcess) pause(d time.Duration) {
	if p.paused {
		return
	}
	p.paused = true
	if p.fleet.suspendsMachines && (!p.fleet.retransmitsCloses || p.fleet.Rand.IntN(2) == 0) {
		p.suspendedFor += d
		p.resumesAt = p.fleet.Now().Add(d)
	}
	p.fleet.record("", "%s is paused for %v", p.name, d)
	p.fleet.AfterFunc(d, func() {
		p.paused = false
		for len(p.inbox) > 0 && !p.paused { // one of the functions may pause the process again
			f := p.inbox[0]
			p.inbox = p.inbox[1:]
			f()
		}
	})
}

// Now implements Clock.
func (p *simProcess) Now() time.Time {
	if p.fleet.suspensionStopsClocks {
		return p.fleet.Now().Add(-p.suspendedFor)
	}
	return p.fleet.Now()
}

// Suspended implements Clock.
func (p *simProcess) Suspended() time.Duration {
	if p.fleet.suspensionStopsClocks {
		return 0
	}
	return p.suspendedFor
}

// AfterFunc implements Clock.
func (p *simProcess) AfterFunc(d time.Duration, f func()) {
	suspendedBefore := p.suspendedFor
	p.fleet.AfterFunc(d, func() {
		if late := p.suspendedFor - suspendedBefore; late > 0 {
			p.AfterFunc(late, f)
			return
		}
		p.run(f)
	})
}

// simCoordinator is a process that coordinates the jobs of customers.
type simCoordinator struct {
	simProcess
	coordinator *Coordinator
	links       map[*simOwner]*simLink
	loads       map[string]OwnerLoad // by zone
	// loadsReportedAt is when the loads were recorded.
	loadsReportedAt map[string]time.Time
	lastHeartbeat   map[*simOwner]time.Time // when each owner sent the latest heartbeat that has been received
	// pauseBeforeOffer makes the next offer pause the process after the decision to make the
	// offer and before sending it. The offer is sent as soon as the pause ends.
	pauseBeforeOffer bool
	// delayOfferGoroutine and delayWithdrawalGoroutine make the next offer or withdrawal pause
	// the process before sending it. After the pause, the sending goroutine is scheduled some
	// milliseconds later than those that process the messages received meanwhile.
	delayOfferGoroutine      bool
	delayWithdrawalGoroutine bool
}

// simMaxGoroutineDelayMs is the maximum time, in milliseconds, by which a goroutine is scheduled
// later than others after a pause of its process.
const simMaxGoroutineDelayMs = 5

// pauseThenSend pauses the process and sends a message after the pause: at once if delay is nil,
// or else later by the duration that delay returns. The coordinator counts the message as in
// flight until it is sent.
func (c *simCoordinator) pauseThenSend(delay func() time.Duration, send func()) {
	c.coordinator.sendsInFlight.Add(1)
	pause := c.fleet.RandMillis(30, 3000)
	c.pause(pause)
	sendAndCount := func() {
		send()
		c.coordinator.sendsInFlight.Add(-1)
	}
	if delay == nil {
		c.run(sendAndCount)
		return
	}
	c.fleet.AfterFunc(pause+delay(), func() { c.run(sendAndCount) })
}

// pauseThenSendOffer is pauseThenSend for an offer. If the offer is withdrawn before it has been
// sent, the withdrawal is sent right after it.
func (c *simCoordinator) pauseThenSendOffer(delay func() time.Duration, l *simLink, key schedule.JobKey, send func()) {
	l.afterSend[key] = nil
	c.pauseThenSend(delay, func() {
		send()
		for _, f := range l.afterSend[key] {
			f()
		}
		delete(l.afterSend, key)
	})
}

// goroutineDelay draws by how much later than others a goroutine is scheduled after a pause.
func (c *simCoordinator) goroutineDelay() time.Duration {
	return c.fleet.RandMillis(0, simMaxGoroutineDelayMs)
}

// Loads implements Owners.
func (c *simCoordinator) Loads() []OwnerLoad {
	var list []OwnerLoad
	for _, zone := range c.fleet.zones {
		if v, known := c.loads[zone]; known {
			if c.fleet.adoptsRuns {
				v.Age = c.Now().Sub(c.loadsReportedAt[zone])
			}
			list = append(list, v)
		}
	}
	return list
}

// receiveLoads updates the loads of all owners at regular intervals. In the product they arrive
// with heartbeats.
func (c *simCoordinator) receiveLoads() {
	c.AfterFunc(simZoneHeartbeat, func() {
		for _, o := range c.fleet.owners {
			if o.pool != nil && !o.paused {
				c.recordLoad(o, o.pool.Load(o.Now()))
			}
		}
		c.receiveLoads()
	})
}

// ownerOf returns the process that owns a zone's group, or nil if there is none. After a
// takeover two processes may consider themselves the owner; it returns the one with the higher
// fencing token.
func (c *simCoordinator) ownerOf(zone string) *simOwner {
	var best *simOwner
	for _, o := range c.fleet.owners {
		if o.zone == zone && o.pool != nil && (best == nil || o.pool.Token() > best.pool.Token()) {
			best = o
		}
	}
	return best
}

// Offer implements Owners.
func (c *simCoordinator) Offer(group string, offer schedule.Offer, callbacks owner.OfferCallbacks) error {
	o := c.ownerOf(group)
	if o == nil {
		return failure.Unreachable.New("no owner of %s", group)
	}
	l := c.links[o]
	if l == nil || !l.coordinatorOpen {
		l = c.fleet.connect(c, o)
	}
	l.offers[offer.Key] = callbacks
	if j := c.fleet.jobs[offer.Key.ID]; offer.AdoptFrom > 0 {
		j.adopting, j.adoptingSend = true, j.sendCount
	}
	if c.fleet.adoptsRuns {
		l.tokens[offer.Key] = o.pool.Token()
	}
	offer.AliveAt = c.lastHeartbeat[o].Add(-c.Now().Sub(offer.AliveAt))
	c.fleet.record(offer.Key.ID, "%s offers to %s on %s, part %d", c.name, o.name, l.name(), offer.Key.Part)
	send := func() { l.sendToOwner(func() { o.handleOffer(l, offer) }) }
	switch {
	case c.pauseBeforeOffer:
		c.pauseBeforeOffer = false
		c.pauseThenSendOffer(nil, l, offer.Key, send)
	case c.delayOfferGoroutine:
		c.delayOfferGoroutine = false
		c.pauseThenSendOffer(c.goroutineDelay, l, offer.Key, send)
	default:
		c.run(send)
	}
	return nil
}

// Withdraw implements Owners.
func (c *simCoordinator) Withdraw(group string, key schedule.JobKey, _ string) {
	for _, o := range c.fleet.owners {
		l := c.links[o]
		if l == nil || o.zone != group {
			continue
		}
		if _, open := l.offers[key]; open {
			delete(l.offers, key)
			send := func() { l.sendToOwner(func() { o.handleWithdrawal(l, key) }) }
			_, unsent := l.afterSend[key]
			switch {
			case unsent:
				l.afterSend[key] = append(l.afterSend[key], send)
			case c.delayWithdrawalGoroutine:
				c.delayWithdrawalGoroutine = false
				c.pauseThenSend(c.goroutineDelay, send)
			default:
				send()
			}
		}
	}
}

// simFleet is the simulated fleet with its customers.
type simFleet struct {
	*standin.Simulation
	t             failer
	zones         []string
	owners        []*simOwner
	coordinators  []*simCoordinator
	upstreams     map[string]*standin.SimulatedUpstream
	upstreamIDs   []string
	jobs          map[string]*simJob
	lastToken     uint64
	linkCount     int
	starts        int           // runs that have begun on upstreams
	faultKinds    int           // number of kinds of faults to draw from
	linkHeartbeat time.Duration // interval at which each end of a link sends heartbeats
	// suspendsMachines makes a pause suspend the whole machine of the process, so that the
	// timers stand still as well. suspensionStopsClocks makes the machine's clock also stand
	// still during a suspension.
	suspendsMachines, suspensionStopsClocks bool
	// retransmitsCloses makes a suspended machine notice that a customer has closed a
	// connection only when the customer's machine retransmits this after the suspension. If
	// it is set, only half of the pauses suspend the machine.
	retransmitsCloses bool
	// losesResets makes a suspended machine never notice that a customer has reset a
	// connection, because a reset is not retransmitted.
	losesResets bool
	adoptsRuns  bool                   // lost offers are adopted
	doneTasks   map[fleet.TaskRef]bool // tasks of which a run was done
	// reportsWaits makes the owners report their waits. Seeds from before they did so reproduce
	// their simulations only without.
	reportsWaits bool
	trace        []traceEvent
	verdicts     map[Verdict]int // number of responses by verdict
}

// failer is the part of testing.TB that a simulation uses to report two simultaneous runs of one
// task.
type failer interface {
	Fatalf(format string, args ...any)
}

func (f *simFleet) upstreamsIn(zone string) []fleet.Upstream {
	var list []fleet.Upstream
	for _, id := range f.upstreamIDs {
		if u := f.upstreams[id]; u.Zone == zone {
			list = append(list, u.Upstream)
		}
	}
	return list
}

func (f *simFleet) connect(c *simCoordinator, o *simOwner) *simLink {
	f.linkCount++
	l := &simLink{number: f.linkCount, coordinator: c, owner: o, coordinatorOpen: true, ownerOpen: true, coordinatorLastReceived: f.Now(), ownerLastReceived: f.Now(), offers: map[schedule.JobKey]owner.OfferCallbacks{}, tokens: map[schedule.JobKey]uint64{}, afterSend: map[schedule.JobKey][]func(){}}
	c.links[o] = l
	c.lastHeartbeat[o] = f.Now() // on connecting, both ends send the time of their clocks
	l.coordinatorHeartbeats()
	l.ownerHeartbeats()
	return l
}

// traceEvent is an event of a simulation. The events are printed if two runs of a task are found.
type traceEvent struct {
	at   time.Duration // since simEpoch
	job  string        // "" if the event is not about a particular job
	text string
}

// record adds an event to the trace. Job is "" if the event is not about a particular job.
func (f *simFleet) record(job, format string, args ...any) {
	f.trace = append(f.trace, traceEvent{f.Now().Sub(simEpoch), job, fmt.Sprintf(format, args...)})
}

// traceOf formats the events about a job and those that are not about a particular job.
func (f *simFleet) traceOf(job string) string {
	var b strings.Builder
	for _, e := range f.trace {
		if e.job == job || e.job == "" {
			fmt.Fprintf(&b, "\n%9.3f s  %s", e.at.Seconds(), e.text)
		}
	}
	return b.String()
}
