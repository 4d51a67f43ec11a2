package schedule

import "time"

// link is the network link of the owner, as far as starts use it: an order carries
// all that its customer handed in, and a small instance's link may carry fewer
// orders than its upstreams have room for. What was handed to a full link arrives
// late, and so does all that comes after it: reports, stops, heartbeats. So orders
// are counted against what the link carries, and a job that would be late for it is
// refused before anything of it begins.
type link struct {
	rate float64   // bytes a second that starts may use; 0 is unbounded
	free time.Time // when what was handed to it has been carried
	size float64   // mean bytes of an order, lately
}

const (
	// orderHead is what an order has beside the job's own bytes: names, token,
	// lease and headers, measured on the wire.
	orderHead = 260
	// linkShare is the part of the link that starts may use: reports, heartbeats
	// and what is read from the store take a third of it (docs/CAPACITY.md).
	linkShare = 0.7
	// sizeWeight is the weight of one order in the mean size.
	sizeWeight = 0.05
	// shortQueue is a queue on the link that does not matter: a round trip or two.
	shortQueue = 5 * time.Millisecond
	// linkHorizon bounds the room that is told by what the link carries within it:
	// the slack of the shortest jobs that were seen is 60 to 100 ms, and orders
	// that wait longer than that make their jobs late.
	linkHorizon = 75 * time.Millisecond
)

func orderBytes(j *job) float64 { return float64(orderHead + len(j.Spec)) }

// takes is how long the link takes to carry bytes.
func (l *link) takes(bytes float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// queued is how long what was handed to the link still takes.
func (l *link) queued(now time.Time) time.Duration { return max(l.free.Sub(now), 0) }

// carry hands an order to the link, and returns how long until it is carried.
func (l *link) carry(now time.Time, bytes float64) time.Duration {
	if l.size == 0 {
		l.size = bytes
	}
	l.size += sizeWeight * (bytes - l.size)
	l.free = now.Add(l.queued(now) + l.takes(bytes))
	return l.queued(now)
}

// orders is how many orders of the usual size the link carries within its horizon;
// most where that is more.
func (l *link) orders(now time.Time, most int) int {
	if l.rate <= 0 || l.size == 0 {
		return most
	}
	left := (linkHorizon - l.queued(now)).Seconds() * l.rate
	return min(max(int(left/l.size), 0), most)
}

// carriesInTime reports whether the orders of a job of which nothing began arrive
// early enough for it to be in time, or the link is not the reason.
func (p *Pool) carriesInTime(j *job) bool {
	if p.link.queued(p.now) < shortQueue || !p.cfg.Policy.RejectEarly {
		return true
	}
	arrives := p.now.Add(p.link.queued(p.now) + p.link.takes(float64(j.waitingTasks())*orderBytes(j)))
	return !j.endsBy(arrives).After(j.dueBy())
}

// LinkDelay is how long until what was handed to the owner's link has been carried.
func (p *Pool) LinkDelay(now time.Time) time.Duration { return p.link.queued(now) }

// SetAnswerTimeout tells how long an answer may take before it counts as overdue, by
// those that came lately. Orders are not repeated before that.
func (p *Pool) SetAnswerTimeout(d time.Duration) { p.answerTimeout = d }

// repeatPause is the pause before an order without an answer is sent again.
func (p *Pool) repeatPause() time.Duration {
	return max(minResendInterval, p.answerTimeout+p.link.queued(p.now))
}
