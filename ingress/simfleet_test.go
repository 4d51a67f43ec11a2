package ingress

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// The types in this file, simowner_test.go and simlink_test.go simulate a fleet in virtual
// time: coordinators and owners that run in processes which may be paused, links between
// them that break or silently drop messages, upstreams, and customers that disconnect and
// send their jobs again.

const (
	// simNetworkDelay is the latency of messages between processes.
	simNetworkDelay = time.Millisecond
	// simCustomerNetworkDelay is the latency between customers and coordinators.
	simCustomerNetworkDelay = 3 * time.Millisecond
	// simZoneHeartbeat is the interval between heartbeats of the processes of a zone.
	simZoneHeartbeat = 100 * time.Millisecond
	// simLinkTimeout is how long one end of a link waits for a message before it considers
	// the other end lost. It is the value used between availability zones.
	simLinkTimeout = 1200 * time.Millisecond
	// simTakeoverTimeout is how long a standby waits for a heartbeat of the owner before it
	// takes over.
	simTakeoverTimeout = 600 * time.Millisecond
	// simTickInterval is the interval between calls of Pool.Tick.
	simTickInterval = 25 * time.Millisecond
	// simStartTimeout and simCallTimeout are the timeouts of starts and of other calls to
	// upstreams.
	simStartTimeout = 20 * time.Millisecond
	simCallTimeout  = 150 * time.Millisecond
	// simResendDelay is how long a customer waits after a disconnect before it sends its job
	// again.
	simResendDelay = 1300 * time.Millisecond
	// simCustomerTimeout is how long a customer waits for a response. simRequestTimeout is
	// the timeout that the coordinator works with, which leaves time to respond.
	simCustomerTimeout = 1500 * time.Millisecond
	simRequestTimeout  = simCustomerTimeout - 50*time.Millisecond
	// simMaxWatchDelayMs is the maximum time, in milliseconds, until the goroutine that
	// waits for the end of a customer's connection is scheduled.
	simMaxWatchDelayMs = 150
)

// simProcess is a process that runs one function at a time. While it is paused, functions
// are queued.
type simProcess struct {
	fleet  *simFleet
	name   string
	paused bool
	inbox  []func()
	// suspendedFor is the total time for which the process's machine has been suspended.
	// Timers do not count this time; the clock does, unless simFleet.suspensionStopsClocks
	// is set.
	suspendedFor time.Duration
	resumesAt    time.Time // end of the last suspension
}

// simRetransmission is the delay before the end of a connection is sent again if it has not
// been acknowledged. The delay doubles with each retransmission.
const simRetransmission = 200 * time.Millisecond

// whenNoticed returns when the process's machine notices that a customer closes a connection
// at the given time. If simFleet.retransmitsCloses is set, a suspended machine notices it at
// the first retransmission after the suspension.
func (p *simProcess) whenNoticed(closedAt time.Time) time.Time {
	if !p.fleet.retransmitsCloses {
		return closedAt
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

func loadAt(zone string, l schedule.Load) OwnerLoad {
	return OwnerLoad{Group: zone, Zone: zone, Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed}
}

// simCoordinator is a process that coordinates the jobs of customers.
type simCoordinator struct {
	simProcess
	coordinator   *Coordinator
	links         map[*simOwner]*simLink
	loads         map[string]OwnerLoad    // by zone
	lastHeartbeat map[*simOwner]time.Time // when the last heartbeat received from an owner was sent
	// pauseBeforeOffer pauses the process once, between the decision to make an offer and
	// sending it.
	pauseBeforeOffer bool
	// delayOfferThread and delayWithdrawalThread pause the process once before it sends an
	// offer or a withdrawal. After the pause, the sending thread continues some milliseconds
	// later than the threads that process the messages received meanwhile.
	delayOfferThread      bool
	delayWithdrawalThread bool
}

// simMaxThreadDelayMs is the maximum time, in milliseconds, by which a thread continues later
// than others after a pause of its process.
const simMaxThreadDelayMs = 5

// pauseThenSend pauses the process before a thread sends a message. The thread sends it once
// the process runs again, later than other threads by delay if delay is not nil. The
// coordinator counts the message as in flight until then.
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

// pauseThenSendOffer is pauseThenSend for an offer. If the offer is withdrawn meanwhile, the
// withdrawal is sent after it.
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

// threadDelay draws by how much a thread continues later than others after a pause.
func (c *simCoordinator) threadDelay() time.Duration {
	return c.fleet.RandMillis(0, simMaxThreadDelayMs)
}

// Loads implements Owners.
func (c *simCoordinator) Loads() []OwnerLoad {
	var list []OwnerLoad
	for _, zone := range c.fleet.zones {
		if v, known := c.loads[zone]; known {
			list = append(list, v)
		}
	}
	return list
}

// receiveLoads updates the owners' loads at regular intervals, as heartbeats do.
func (c *simCoordinator) receiveLoads() {
	c.AfterFunc(simZoneHeartbeat, func() {
		for _, o := range c.fleet.owners {
			if o.pool != nil && !o.paused {
				c.loads[o.zone] = loadAt(o.zone, o.pool.Load(o.Now()))
			}
		}
		c.receiveLoads()
	})
}

// ownerOf returns the process that owns a zone's group: the one with the highest token.
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
	offer.AliveAt = c.lastHeartbeat[o].Add(-c.Now().Sub(offer.AliveAt))
	c.fleet.record(offer.Key.ID, "%s offers to %s on %s, part %d", c.name, o.name, l.name(), offer.Key.Part)
	send := func() { l.sendToOwner(func() { o.handleOffer(l, offer) }) }
	switch {
	case c.pauseBeforeOffer:
		c.pauseBeforeOffer = false
		c.pauseThenSendOffer(nil, l, offer.Key, send)
	case c.delayOfferThread:
		c.delayOfferThread = false
		c.pauseThenSendOffer(c.threadDelay, l, offer.Key, send)
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
			case c.delayWithdrawalThread:
				c.delayWithdrawalThread = false
				c.pauseThenSend(c.threadDelay, send)
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
	linkHeartbeat time.Duration // interval between messages of the two ends of a link
	// suspendsMachines makes each pause of a process a suspension of its machine, and
	// suspensionStopsClocks stops the machine's clock during a suspension.
	suspendsMachines, suspensionStopsClocks bool
	// retransmitsCloses makes a suspended machine miss the ends of connections until they are
	// retransmitted. In this case only half of the pauses are suspensions.
	retransmitsCloses bool
	trace             []traceEvent
	verdicts          map[Verdict]int // number of responses by verdict
}

// failer is the part of testing.TB that a simulation uses to report a violation.
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
	l := &simLink{number: f.linkCount, coordinator: c, owner: o, coordinatorOpen: true, ownerOpen: true, coordinatorLastReceived: f.Now(), ownerLastReceived: f.Now(), offers: map[schedule.JobKey]owner.OfferCallbacks{}, afterSend: map[schedule.JobKey][]func(){}}
	c.links[o] = l
	c.lastHeartbeat[o] = f.Now() // both ends send their clock when they connect
	l.coordinatorHeartbeats()
	l.ownerHeartbeats()
	return l
}
