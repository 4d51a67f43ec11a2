package schedule

import "time"

// link models the owner's network link as far as starts use it. A start order contains the
// job's whole specification, and the link of a small instance may be too slow for the
// orders that its upstreams have capacity for. Orders that are queued on a full link arrive
// late, and so does everything behind them: reports, stops, heartbeats. Therefore orders are
// counted against the rate of the link, and a job that would finish late because of it is
// rejected before any of its tasks start.
type link struct {
	rate           float64   // bytes per second that starts may use; 0 means unlimited
	freeAt         time.Time // when everything that is queued on it has been transmitted
	meanOrderBytes float64   // moving average of the size of an order
}

const (
	// orderOverheadBytes is the size of an order on the wire beyond the job's
	// specification: names, token, lease and headers.
	orderOverheadBytes = 260
	// linkShare is the part of the link that starts may use: reports, heartbeats and reads
	// from the store take about a third of it (docs/CAPACITY.md).
	linkShare = 0.7
	// orderBytesWeight is the weight of one order in the moving average of sizes.
	orderBytesWeight = 0.05
	// negligibleQueue is the delay up to which a queue on the link is ignored: one or two
	// round trips.
	negligibleQueue = 5 * time.Millisecond
	// linkHorizon is the period of transmission on the link that limits the free capacity
	// in the pool's Load. The shortest jobs have a slack of 60 to 100 ms, so orders that
	// are queued for longer make their jobs late.
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

// queueDelay returns how long the link takes to transmit what is queued on it.
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

// orderCapacity returns how many orders of average size the link can still transmit within
// linkHorizon, limited to most.
func (l *link) orderCapacity(now time.Time, most int) int {
	if l.rate <= 0 || l.meanOrderBytes == 0 {
		return most
	}
	left := (linkHorizon - l.queueDelay(now)).Seconds() * l.rate
	return min(max(int(left/l.meanOrderBytes), 0), most)
}

// arrivesInTime reports whether the link would transmit the orders of a job that has not
// started early enough for the job to finish in time. It reports true if the queue on the
// link is negligible.
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

// SetAnswerTimeout sets how long an answer may take before it is overdue, as derived from
// recent answers. Orders are not sent again before that time has passed.
func (p *Pool) SetAnswerTimeout(d time.Duration) { p.answerTimeout = d }

// resendInterval returns the time after which an unanswered order is sent again.
func (p *Pool) resendInterval() time.Duration {
	return max(minResendInterval, p.answerTimeout+p.link.queueDelay(p.now))
}
