package fate

import (
	"fmt"
	"slices"

	"github.com/sedgehatch/sedgehatch/failure"
)

// chooser makes every choice of a run: below returns a number in [0, n).
type chooser interface{ below(n int) int }

// mutation is one deliberate break of a promise.
type mutation string

const (
	healthy             mutation = ""
	permitWithoutAck    mutation = "a task starts before its permit is acknowledged"
	sealIgnored         mutation = "a sealed witness goes on acknowledging"
	resubmissionNotMet  mutation = "a resubmission is taken for new work"
	startSentAgain      mutation = "a start without an answer is sent again under a new lease"
	barSkipped          mutation = "a lease that was never seen is not barred"
	goneForgotten       mutation = "an answer that was let go is taken for work that never came"
	verdictNotRecorded  mutation = "not run and failed are told before they are recorded"
	orphanSaysNotRun    mutation = "a home without its witness says not run of what the witness may know"
	heirSaysFailed      mutation = "a takeover says failed of what the home may have completed"
	refusedCountsAsLost mutation = "a cancelled job's started tasks count as not run"
)

type lostStart struct {
	Start
	heir bool
}

type leaseState int

const (
	neverSeen leaseState = iota
	running
	finished
	failed
	barred
)

// world is a home, its witness, upstreams and a network that loses, delays,
// repeats and reorders. It checks the promises at every step.
type world struct {
	choose  chooser
	broken  mutation
	home    *Home
	witness *Witness
	heir    *Home
	homeUp  bool
	witUp   bool

	appends []Append
	replies []AppendReply
	starts  []lostStart // on their way to upstreams
	out     []lostStart // whose end somebody waits for
	asks    []Key
	leases  map[string]leaseState // by upstream and lease
	started map[string][]string   // leases started, by task
	told    map[Key][]Answer
	keys    []Key
	permits map[Key][][]Permit // inherited
	violate error
}

var homeLogID = LogID{Home: "h.1", Witness: "w.1", Number: 1}

func newWorld(c chooser, broken mutation) *world {
	bound := Retention{MaxCount: 1 + c.below(3), MaxBytes: 1 << 20}
	return &world{
		choose: c, broken: broken, homeUp: true, witUp: true,
		home: NewHome(homeLogID, bound), witness: NewWitness(homeLogID, bound),
		heir:   NewHome(LogID{Home: "w.1"}, Retention{MaxCount: 100, MaxBytes: 1 << 20}),
		leases: map[string]leaseState{}, started: map[string][]string{}, told: map[Key][]Answer{},
		permits: map[Key][][]Permit{},
	}
}

func pick[T any](w *world, list []T) (T, bool) {
	var none T
	if len(list) == 0 {
		return none, false
	}
	return list[w.choose.below(len(list))], true
}

// pull removes one element, or, as a network may, leaves it to come again.
func pull[T any](w *world, list *[]T, repeat bool) (T, bool) {
	var none T
	if len(*list) == 0 {
		return none, false
	}
	i := w.choose.below(len(*list))
	v := (*list)[i]
	if !repeat || w.choose.below(4) > 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	return v, true
}

func (w *world) steps() []func() {
	return []func(){
		w.submit, w.submit, w.place, w.place, w.place, w.flush, w.flush, w.resend,
		w.deliverAppend, w.deliverAppend, w.deliverAppend, w.dropAppend, w.deliverReply, w.deliverReply, w.deliverReply,
		w.deliverStart, w.deliverStart, w.deliverStart, w.finishLease, w.finishLease, w.learnEnd, w.learnEnd, w.learnEnd, w.lookUp,
		w.loseTrack, w.cancel, w.seal, w.orphan, w.killHome, w.killWitness,
		w.settle, w.settle, w.heirPlace, w.heirPlace, w.heirCancel, w.recall, w.answerAsk, w.answerAsk,
	}
}

// rare holds the steps that would end every run early.
func (w *world) step() {
	all := w.steps()
	i := w.choose.below(len(all))
	const firstRare, lastRare = 24, 29
	if i >= firstRare && i <= lastRare && w.choose.below(6) > 0 {
		return
	}
	all[i]()
	w.check()
}

// effects does what a machine asked for.
func (w *world) effects(e Effects, heir bool) {
	for _, s := range e.Starts {
		w.starts = append(w.starts, lostStart{s, heir})
		w.out = append(w.out, lostStart{s, heir})
	}
	for _, s := range e.Stops {
		w.stop(s)
	}
	for _, a := range e.Answers {
		w.tell(a)
	}
	w.asks = append(w.asks, e.Ask...)
}

func (w *world) tell(a Answer) {
	if w.broken == refusedCountsAsLost && a.Kind == Failed && a.Reason == ReasonCancelled {
		a.Kind = NotRun
	}
	w.told[a.Key] = append(w.told[a.Key], a)
}

func at(s Start) string { return s.Upstream + "|" + s.Lease.String() }

func taskName(l Lease) string { return fmt.Sprintf("%s/%d", l.Key, l.Task) }

func (w *world) submit() {
	if !w.homeUp {
		return
	}
	key := Key{Session: "s", Sequence: uint64(1 + w.choose.below(4))}
	if w.broken == resubmissionNotMet {
		delete(w.home.jobs, key)
	}
	if w.broken == goneForgotten {
		clear(w.home.kept.gone)
	}
	job := &Job{Digest: key.Sequence, Tasks: make([]Task, 1+key.Sequence%3)}
	admission, answer, err := w.home.Submit(key, job)
	if err != nil {
		if !failure.Is(err, failure.SessionEnded) {
			w.violate = err
		}
		w.tell(Answer{Key: key, Kind: NotRun})
		return
	}
	if admission == Answered {
		w.tell(answer)
	}
	if !slices.Contains(w.keys, key) {
		w.keys = append(w.keys, key)
	}
}

var upstreamNames = []string{"u1", "u2"}

func (w *world) place() {
	key, ok := pick(w, w.keys)
	if !ok || !w.homeUp {
		return
	}
	if task, ok := pick(w, w.home.Waiting(key)); ok {
		e, _ := w.home.Place(key, task, upstreamNames[w.choose.below(2)])
		w.effects(e, false)
		if w.broken == permitWithoutAck {
			w.flush()
			w.effects(w.home.Ack(w.home.sequence), false)
		}
	}
}

func (w *world) flush() {
	if !w.homeUp {
		return
	}
	if a := w.home.NextAppend(w.choose.below(2) == 0); a != nil {
		w.send(*a)
	}
	if w.broken == verdictNotRecorded {
		for _, j := range w.home.jobs {
			if j.verdict != nil && !j.told {
				var e Effects
				w.home.tell(j, &e)
				w.effects(e, false)
			}
		}
	}
}

// send puts an append on its way, or fails before its first byte has left.
func (w *world) send(a Append) {
	if w.choose.below(4) == 0 {
		w.home.Unsent(a.Sequence)
		return
	}
	w.appends = append(w.appends, a)
}

func (w *world) resend() {
	if w.homeUp {
		w.sendAll(w.home.Unacked(0))
	}
}

func (w *world) sendAll(list []Append) {
	for _, a := range list {
		w.send(a)
	}
}

func (w *world) deliverAppend() {
	a, ok := pull(w, &w.appends, true)
	if !ok || !w.witUp {
		return
	}
	if w.broken == sealIgnored && w.witness.sealed {
		w.replies = append(w.replies, AppendReply{Acked: a.Sequence})
		return
	}
	w.replies = append(w.replies, w.witness.Append(&a))
}

func (w *world) dropAppend() { pull(w, &w.appends, false) }

func (w *world) deliverReply() {
	r, ok := pull(w, &w.replies, true)
	if !ok || !w.homeUp {
		return
	}
	if r.Sealed {
		w.effects(w.home.Seal(), false)
		return
	}
	w.effects(w.home.Ack(r.Acked), false)
	if r.Gap {
		w.sendAll(w.home.Unacked(r.Acked + 1))
	}
}

// deliverStart brings a start to its upstream, perhaps long after it was sent
// and after its sender's death. A start is one request: it arrives once.
func (w *world) deliverStart() {
	s, ok := pull(w, &w.starts, false)
	if !ok || w.leases[at(s.Start)] != neverSeen {
		return
	}
	w.leases[at(s.Start)] = running
	name := taskName(s.Lease)
	w.started[name] = append(w.started[name], at(s.Start))
	if w.broken == startSentAgain && w.choose.below(4) == 0 {
		s.Lease.Attempt += 100
		w.starts = append(w.starts, s)
	}
}

func (w *world) finishLease() {
	var open []string
	for l, state := range w.leases {
		if state == running {
			open = append(open, l)
		}
	}
	slices.Sort(open)
	if l, ok := pick(w, open); ok {
		w.leases[l] = finished
		if w.choose.below(4) == 0 {
			w.leases[l] = failed
		}
	}
}

func (w *world) stop(s Start) {
	switch w.leases[at(s)] {
	case neverSeen:
		w.leases[at(s)] = barred
	case running:
		w.leases[at(s)] = failed
	}
}

func (w *world) machine(heir bool) (*Home, bool) {
	if heir {
		return w.heir, w.witUp
	}
	return w.home, w.homeUp
}

func outcomeAt(l leaseState, name string) Outcome {
	if l == failed {
		return Outcome{State: TaskFailed}
	}
	return Outcome{State: TaskFinished, Result: []byte(name)}
}

// learnEnd brings what became of a start to who sent it.
func (w *world) learnEnd() {
	s, ok := pull(w, &w.out, true)
	if !ok {
		return
	}
	h, up := w.machine(s.heir)
	if !up {
		return
	}
	var e Effects
	switch state := w.leases[at(s.Start)]; state {
	case finished, failed:
		e, _ = h.Finish(s.Lease, outcomeAt(state, at(s.Start)))
	case barred:
		e, _ = h.Refused(s.Lease)
	default:
		w.out = append(w.out, s)
	}
	w.effects(e, s.heir)
}

// lookUp asks after a start that was not heard of, and bars it.
func (w *world) lookUp() {
	s, ok := pick(w, w.out)
	if !ok {
		return
	}
	h, up := w.machine(s.heir)
	if !up || w.leases[at(s.Start)] != neverSeen {
		return
	}
	if w.broken != barSkipped {
		w.leases[at(s.Start)] = barred
	}
	e, _ := h.Refused(s.Lease)
	w.effects(e, s.heir)
}

func (w *world) loseTrack() {
	s, ok := pick(w, w.out)
	if !ok {
		return
	}
	if h, up := w.machine(s.heir); up {
		e, _ := h.Finish(s.Lease, Outcome{State: TaskUnknown})
		w.effects(e, s.heir)
	}
}

func (w *world) cancel() {
	if key, ok := pick(w, w.keys); ok && w.homeUp {
		w.effects(w.home.GiveUp(key, ReasonCancelled), false)
	}
}
