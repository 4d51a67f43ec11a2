package schedule

import "time"

// link models how start orders use the owner's network link. A start order contains the job's
// whole specification, and the link of a small instance may be too slow for as many orders as
// its upstreams have capacity for. Orders that are queued on a full link arrive late, and so
// does everything behind them: reports, stops, heartbeats. Therefore the model keeps track of
// the queue on the link, and a job that would finish late because of that queue is rejected
// before any of its tasks start.
type link struct {
	rate           float64   // bytes per second that starts may use; 0 means unlimited
	freeAt         time.Time // when all queued orders will have been transmitted
	meanOrderBytes float64   // moving average of the size of an order
}

const (
	// orderOverheadBytes is the size on the wire of everything in a start order except
	// the job's specification: names, token, lease and headers.
	orderOverheadBytes = 260
	// linkShare is the fraction of the link that start orders may use. Reports, heartbeats
	// and reads from the store take about a third of the link (docs/CAPACITY.md).
	linkShare = 0.7
	// orderBytesWeight is the weight of one order in the moving average of sizes.
	orderBytesWeight = 0.05
	// negligibleQueue is the queueing delay up to which no job is rejected because of the
	// link. It is as long as one or two round trips.
	negligibleQueue = 5 * time.Millisecond
	// linkHorizon limits the free capacity that Load reports to the number of orders that
	// the link can transmit within this time. The shortest jobs have a slack of 60 to
	// 100 ms, so orders that are queued for longer make their jobs late.
	linkHorizon = 75 * time.Millisecond
)

// orderBytes returns the size of a start order of a job on the wire.
func orderBytes(j *job) float64 { return float64(orderOverheadBytes + len(j.Spec)) }

// transmitTime returns how long the link takes to transmit a number of bytes.
func (l *link) transmitTime(bytes float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// queueDelay returns how long the link takes to transmit the orders that are queued on it.
func (l *link) queueDelay(now time.Time) time.Duration { return max(l.freeAt.Sub(now), 0) }

// enqueue adds an order to the queue of the link, and returns how long it takes until the
// order has been transmitted.
func (l *link) enqueue(now time.Time, bytes float64) time.Duration {
	if l.meanOrderBytes == 0 {
		l.meanOrderBytes = bytes
	}
	l.meanOrderBytes += orderBytesWeight * (bytes - l.meanOrderBytes)
	l.freeAt = now.Add(l.queueDelay(now) + l.transmitTime(bytes))
	return l.queueDelay(now)
}

// orderCapacity returns how many more orders of average size the link can transmit within
// linkHorizon, but at most limit.
func (l *link) orderCapacity(now time.Time, limit int) int {
	if l.rate <= 0 || l.meanOrderBytes == 0 {
		return limit
	}
	left := (linkHorizon - l.queueDelay(now)).Seconds() * l.rate
	return min(max(int(left/l.meanOrderBytes), 0), limit)
}

// arrivesInTime reports whether the link can transmit the orders of a job that has not begun
// soon enough for the job to finish in time. It returns true if the queue on the link is
// negligible.
func (p *Pool) arrivesInTime(j *job) bool {
	if p.link.queueDelay(p.now) < negligibleQueue || !p.cfg.Policy.RejectEarly {
		return true
	}
	arrives := p.now.Add(p.link.queueDelay(p.now) + p.link.transmitTime(float64(j.countWaiting())*orderBytes(j)))
	return !j.expectedEndFrom(arrives).After(j.admissionDeadline())
}

// LinkDelay returns how long the owner's network link takes to transmit the orders that are
// queued on it.
func (p *Pool) LinkDelay(now time.Time) time.Duration { return p.link.queueDelay(now) }

// SetResponseTimeout sets how long the response to a call may take before it is overdue. The
// caller derives d from recent response times. Stops and polls are not sent again before that
// time has passed.
func (p *Pool) SetResponseTimeout(d time.Duration) { p.responseTimeout = d }

// resendInterval returns the time after which a stop without a response is sent again, and
// after which an upstream that has acknowledged a stop is polled again.
func (p *Pool) resendInterval() time.Duration {
	return max(minResendInterval, p.responseTimeout+p.link.queueDelay(p.now))
}
