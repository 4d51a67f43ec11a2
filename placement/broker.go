package placement

import (
	"cmp"
	"slices"
)

// Order is the order in which the queued requests of a service are granted slots.
type Order string

const (
	// OrderFIFO grants requests slots in their order of arrival.
	OrderFIFO Order = "fifo"
	// OrderLeastRemaining grants slots first to the request with the fewest tasks
	// still waiting, so that jobs that are almost done complete early. Requests that
	// have waited longer than agingAfterMs precede all others, in their order of
	// arrival, so that none waits forever.
	OrderLeastRemaining Order = "least_remaining"
)

// BrokerConfig sets how a Broker orders and limits its queue, when it ejects upstreams,
// and how long it waits before it grants the slots of a lost home again.
type BrokerConfig struct {
	Order     Order
	MaxQueued int // maximum number of tasks waiting for slots
	Health    HealthConfig
	// LostHomeReleaseDelayMs is how long, in milliseconds, the slots of a lost home
	// count as in use. The upstreams are still running its tasks and would refuse
	// others.
	LostHomeReleaseDelayMs int64
}

// DefaultBrokerConfig is the configuration of a broker unless another one is given.
var DefaultBrokerConfig = BrokerConfig{Order: OrderFIFO, MaxQueued: 20000, Health: DefaultHealthConfig, LostHomeReleaseDelayMs: 1000}

// Request asks for a slot for each of Count tasks of one job that have the same needs.
type Request struct {
	Home       string // instance that accepted the job and starts its tasks
	Ticket     string // identifies the request among those of its home
	Count      int
	Needs      Resources
	RunMs      float64 // declared run time of a task; 0 if none is declared
	Service    string
	DeadlineMs int64  // Unix milliseconds; 0 means none
	Zone       string // of the home
	// AvoidZones are zones that the home cannot reach.
	AvoidZones []string
}

// UpstreamSlots is a number of slots of one upstream.
type UpstreamSlots struct {
	Upstream string
	Service  string // service whose tasks use the slots; only set for Broker.Sync
	Count    int
}

// Refusal is the reason why a request is granted no more slots.
type Refusal string

// Reasons to refuse a request.
const (
	NotRefused        Refusal = ""
	RefusedOverloaded Refusal = "overloaded"
)

// Grant assigns slots to the tasks of a request, or refuses its remaining tasks.
type Grant struct {
	Home         string
	Ticket       string
	Service      string
	Sequence     uint64 // number of the grant among all grants to this home, from 1; 0 in refusals
	Slots        []UpstreamSlots
	Refusal      Refusal
	RetryAfterMs int64 // if refused, the estimated time until a new request can succeed
}

// ReleasedSlots returns slots of one upstream to the broker, and reports how the tasks
// ended for which the slots were granted.
type ReleasedSlots struct {
	Upstream string
	Needs    Resources // of each task
	Service  string
	Count    int     // slots, one for each task
	RunMs    float64 // sum of the run times of the tasks that ran; 0 if none did
	Failed   int     // number of tasks that failed, or whose start did not reach the upstream
	// HoldMs is how long, in milliseconds, the slots are not granted again. It is set
	// if the tasks did not run, or if it is unknown whether they did; otherwise it is 0.
	HoldMs  int64
	Leaving bool // the upstream has answered that it is shutting down
}

// queuedRequest is a request of which some tasks are still waiting for slots.
type queuedRequest struct {
	Request         // Count is the number of tasks still waiting
	arrivedMs int64 // Unix milliseconds
}

// upstreamState is what a broker keeps about one upstream.
type upstreamState struct {
	Upstream
	usedSlots     int
	usedResources Resources
	health        health
	listed        bool // whether it is in the current list of upstreams
	// reservedFor is the only request that may be granted slots of this upstream, or
	// nil if all may.
	reservedFor *queuedRequest
}

type ticketKey struct{ home, ticket string }

// Broker allocates the slots of one pool of upstreams. It is not safe for concurrent use.
// Parameters named now are times in Unix milliseconds.
type Broker struct {
	cfg             BrokerConfig
	upstreams       map[string]*upstreamState
	sortedUpstreams []*upstreamState // those listed, by ID
	queue           []*queuedRequest // in order of arrival
	requests        map[ticketKey]*queuedRequest
	queuedTasks     int
	held            map[heldKey]*heldSlots
	homeGrants      map[string]*homeGrants // by home
	reports         homeReports
	services        map[string]*serviceState // by service
	pendingReleases []pendingRelease
	estimates       *estimates
	meanRunMs       float64 // moving mean of the run time of the pool's tasks
	// slotOverhead is the ratio between the time that slots are in use and the run
	// times of their tasks, from 1 to maxSlotOverhead.
	slotOverhead    float64
	pacesComparedMs int64 // Unix milliseconds; when comparePaces last ran
	grantsFromMs    int64 // Unix milliseconds; no slot is granted before this time
}

// NewBroker returns a broker without upstreams. It grants nothing before
// grantsFromMs (Unix milliseconds), so that homes can first report which slots they hold.
func NewBroker(cfg BrokerConfig, grantsFromMs int64) *Broker {
	return &Broker{
		cfg: cfg, upstreams: map[string]*upstreamState{}, requests: map[ticketKey]*queuedRequest{},
		held: map[heldKey]*heldSlots{}, homeGrants: map[string]*homeGrants{}, reports: homeReports{lastMs: map[string]int64{}}, services: map[string]*serviceState{}, grantsFromMs: grantsFromMs, estimates: newEstimates(), meanRunMs: defaultRunMs, slotOverhead: 1,
	}
}

// SetUpstreams replaces the list of upstreams. The state of an upstream is kept if it is in
// the new list or has slots in use.
func (b *Broker) SetUpstreams(list []Upstream, now int64) []Grant {
	for _, u := range b.upstreams {
		u.listed = false
	}
	for _, upstream := range list {
		u := b.upstreams[upstream.ID]
		if u == nil {
			u = &upstreamState{}
			b.upstreams[upstream.ID] = u
		}
		u.Upstream = upstream
		u.listed = true
	}
	b.sortedUpstreams = b.sortedUpstreams[:0]
	for id, u := range b.upstreams {
		if u.listed {
			b.sortedUpstreams = append(b.sortedUpstreams, u)
		} else if u.usedSlots == 0 {
			delete(b.upstreams, id)
		}
	}
	slices.SortFunc(b.sortedUpstreams, func(x, y *upstreamState) int { return cmp.Compare(x.ID, y.ID) })
	return b.grantQueued(now)
}

// SetMaxQueued sets the maximum number of tasks waiting for slots.
func (b *Broker) SetMaxQueued(tasks int) { b.cfg.MaxQueued = tasks }

// QueuedTasks returns the number of tasks waiting for slots.
func (b *Broker) QueuedTasks() int { return b.queuedTasks }

// FreeSlots returns the number of free slots of the upstreams that may get tasks.
func (b *Broker) FreeSlots() int {
	free := 0
	for _, u := range b.sortedUpstreams {
		if u.isAvailable() {
			free += u.Slots - u.usedSlots
		}
	}
	return free
}

// isAvailable reports whether the upstream may get tasks and has a free slot.
func (u *upstreamState) isAvailable() bool {
	return u.listed && !u.Leaving && !u.health.ejected && u.usedSlots < u.Slots
}

// usableSlots returns the number of slots, free or not, of the upstreams that may get tasks
// and are not slow.
func (b *Broker) usableSlots() int {
	slots := 0
	for _, u := range b.sortedUpstreams {
		if !u.Leaving && !u.health.ejected && !u.health.isSlow(&b.cfg.Health) {
			slots += u.Slots
		}
	}
	return slots
}

// Request adds a request to the queue and grants what can be granted now. The request is
// refused if it is likely to miss its deadline, or if the queue would exceed its limit.
func (b *Broker) Request(r Request, now int64) []Grant {
	if refused := b.enqueue(r, now); refused != nil {
		return refused
	}
	return b.grantQueued(now)
}

// enqueue adds r to the queue, or returns its refusal. It ignores a request that is queued
// already.
func (b *Broker) enqueue(r Request, now int64) []Grant {
	key := ticketKey{r.Home, r.Ticket}
	if b.requests[key] != nil || r.Count <= 0 {
		return nil
	}
	if wait, tooLong := b.estimateWait(&r, now); tooLong {
		return []Grant{{Home: r.Home, Ticket: r.Ticket, Service: r.Service, Refusal: RefusedOverloaded, RetryAfterMs: wait}}
	}
	q := &queuedRequest{Request: r, arrivedMs: now}
	b.requests[key] = q
	b.queue = append(b.queue, q)
	b.addQueued(q, r.Count)
	return nil
}

// maxWaitShare is the share of the time until its deadline within which a request must be
// expected to complete; otherwise it is refused. Under overload, nearly all admitted
// requests are expected to complete only shortly before this limit. With a share of 1, all
// of them whose time is underestimated would miss their deadlines. The remaining quarter is
// the margin for such errors.
const maxWaitShare = 0.75

// estimateWait estimates how long r would wait, in milliseconds, and reports whether r has
// to be refused, because it would miss its deadline or the queue would exceed its limit.
func (b *Broker) estimateWait(r *Request, now int64) (int64, bool) {
	runMs, tailMs := b.estimates.runTime(r.Service, r.RunMs)
	waitMs := int64(max(b.timeToFree(b.queuedTasks+r.Count-b.FreeSlots(), runMs, b.usableSlots()), b.waitWithinShare(r, runMs)))
	tooLate := r.DeadlineMs > 0 && float64(waitMs)+tailMs > maxWaitShare*float64(r.DeadlineMs-now)
	return max(waitMs, 1), tooLate || b.queuedTasks+r.Count > b.cfg.MaxQueued
}

// timeToFree estimates how long it takes, in milliseconds, until as many slots as are
// missing become free. It assumes that slots is the number of slots in use, and that each is
// used for runMs by one task after another. If slots is 0, there is no rate to calculate
// with, and the estimate is the run time of one task.
func (b *Broker) timeToFree(missing int, runMs float64, slots int) float64 {
	switch {
	case missing <= 0:
		return 0
	case slots <= 0:
		return runMs
	default:
		return float64(missing) * runMs * b.slotOverhead / float64(slots)
	}
}

// waitWithinShare estimates how long r would wait, in milliseconds, if its service could
// use only the slots to which it is entitled: its fair share, or more if other services
// leave slots unused, but at most its MaxSlots.
func (b *Broker) waitWithinShare(r *Request, runMs float64) float64 {
	s := b.getOrCreateService(r.Service)
	slots := b.usableSlots()
	entitled := max(b.fairSlots(s, slots), slots-b.slotsUsedByOthers(s))
	if s.share.MaxSlots > 0 {
		entitled = min(entitled, s.share.MaxSlots)
	}
	return b.timeToFree(s.queuedTasks+r.Count-max(entitled-s.usedSlots, 0), runMs, entitled)
}

func (b *Broker) slotsUsedByOthers(s *serviceState) int {
	used := 0
	for _, other := range b.services {
		if other != s {
			used += other.usedSlots
		}
	}
	return used
}

// fairSlots returns the number of slots that s gets if all slots are divided, in proportion
// to the weights, between s and the other services that have tasks waiting.
func (b *Broker) fairSlots(s *serviceState, slots int) int {
	weights := s.weight()
	for _, other := range b.services {
		if other != s && other.queuedTasks > 0 {
			weights += other.weight()
		}
	}
	return int(float64(slots) * s.weight() / weights)
}

// Withdraw removes requests of a home from the queue.
func (b *Broker) Withdraw(home string, tickets []string) {
	for _, name := range tickets {
		if q := b.requests[ticketKey{home, name}]; q != nil {
			b.remove(q)
		}
	}
}

// addQueued adds count, which may be negative, to the numbers of waiting tasks of the broker
// and of the service.
func (b *Broker) addQueued(q *queuedRequest, count int) {
	b.queuedTasks += count
	b.getOrCreateService(q.Service).queuedTasks += count
}

func (b *Broker) remove(q *queuedRequest) {
	delete(b.requests, ticketKey{q.Home, q.Ticket})
	b.addQueued(q, -q.Count)
	b.queue = slices.DeleteFunc(b.queue, func(other *queuedRequest) bool { return other == q })
}

// Release frees slots of a home and records how their tasks ended. The slots are granted
// again by the next call of Tick, so that several releases before it are granted together.
func (b *Broker) Release(home string, released []ReleasedSlots, now int64) {
	for i := range released {
		b.release(home, &released[i], now)
	}
}

func (b *Broker) release(home string, r *ReleasedSlots, now int64) {
	u := b.upstreams[r.Upstream]
	if u == nil {
		return
	}
	u.health.pace.advance(u.usedSlots, b.meanRunMs, now)
	u.health.pace.ends += float64(r.Count)
	b.recordTasks(u, r, now)
	u.Leaving = u.Leaving || r.Leaving
	key := heldKey{home, r.Upstream, r.Service}
	h := b.held[key]
	if h == nil {
		return
	}
	count := min(r.Count, h.count)
	freed := b.removeHeld(key, count)
	if r.HoldMs > 0 {
		b.pendingReleases = append(b.pendingReleases, pendingRelease{r.Upstream, count, freed, now + r.HoldMs})
		return
	}
	u.free(freed, count)
}

// Tick frees the slots that were kept back until now (see HoldMs and
// LostHomeReleaseDelayMs), updates which upstreams count as slow, and grants what can be
// granted now. It has to be called regularly.
func (b *Broker) Tick(now int64) []Grant {
	b.pendingReleases = slices.DeleteFunc(b.pendingReleases, func(r pendingRelease) bool {
		if r.dueMs > now {
			return false
		}
		if u := b.upstreams[r.upstream]; u != nil {
			u.free(r.resources, r.count)
		}
		return true
	})
	b.comparePaces(now)
	return b.grantQueued(now)
}

// grantQueued grants slots to queued requests, one at a time, until no more can be granted.
// Each slot goes to the service that uses the fewest slots in proportion to its weight, and
// within the service to the first request in the configured order.
func (b *Broker) grantQueued(now int64) []Grant {
	if b.queuedTasks == 0 || now < b.grantsFromMs {
		return nil
	}
	round := b.newRound(now)
	for q := round.next(); q != nil; q = round.next() {
		u := b.chooseUpstream(q, now)
		if u == nil {
			round.skip(q)
			continue
		}
		b.allocate(q, u, now)
		round.recordGrant(q, u.ID)
	}
	return b.buildGrants(round, now)
}

// allocate gives a slot of u to one task of q.
func (b *Broker) allocate(q *queuedRequest, u *upstreamState, now int64) {
	u.health.pace.advance(u.usedSlots, b.meanRunMs, now)
	b.addHeld(q.Home, u, q.Service, q.Needs, 1)
	q.Count--
	b.addQueued(q, -1)
	if u.health.isSlow(&b.cfg.Health) {
		u.health.lastProbeMs = now
	}
}

// buildGrants numbers and returns the grants of a round. It removes the requests that have
// no more tasks waiting from the queue.
func (b *Broker) buildGrants(r *grantRound, now int64) []Grant {
	var list []Grant
	for _, q := range r.ordered {
		if g := r.grants[q]; g != nil {
			g.Sequence = b.nextSequence(q.Home, now)
			list = append(list, *g)
		}
		if q.Count == 0 {
			b.remove(q)
		}
	}
	return list
}

func (g *Grant) addSlot(upstream string) {
	for i := range g.Slots {
		if g.Slots[i].Upstream == upstream {
			g.Slots[i].Count++
			return
		}
	}
	g.Slots = append(g.Slots, UpstreamSlots{Upstream: upstream, Count: 1})
}
