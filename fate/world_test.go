package fate

import (
	"fmt"
	"slices"

	"github.com/sedgehatch/sedgehatch/failure"
)

// chooser makes all random choices of a run. below returns a number in [0, n).
type chooser interface{ below(n int) int }

// mutation is a fault that a test introduces to check that the model detects it.
type mutation string

const (
	noMutation                mutation = ""
	permitWithoutAck          mutation = "a task starts before its permit is acknowledged"
	sealIgnored               mutation = "a sealed witness continues to acknowledge appends"
	resubmissionAsNewWork     mutation = "a resubmission is accepted as a new job"
	startRetriedUnderNewLease mutation = "a start without an answer is sent again under a new lease"
	unseenLeaseNotBarred      mutation = "a lease that was never seen is not barred"
	evictionForgotten         mutation = "the key of an evicted answer is taken for one that was never submitted"
	verdictBeforeAck          mutation = "not run and failed are returned before the witness has recorded them"
	notRunWithoutWitness      mutation = "a home that lost its witness answers not run for jobs that the witness may know"
	failedAfterTakeover       mutation = "a takeover answers failed for jobs that the home may have completed"
	cancelledAsNotRun         mutation = "a cancelled job's started tasks count as not run"
)

type sentStart struct {
	Start
	byTakeover bool // sent by takeoverHome
}

type leaseState int

const (
	neverSeen leaseState = iota
	running
	finished
	failed
	barred
)

// world simulates a home, its witness, upstreams, and a network that loses, delays,
// duplicates and reorders messages. It checks these invariants after every step: no
// task starts twice, and the answers to a submission agree with each other and with
// the starts of its tasks.
type world struct {
	choose       chooser
	mutation     mutation
	home         *Home
	witness      *Witness
	takeoverHome *Home // at the witness's instance; takes jobs over
	homeUp       bool
	witnessUp    bool

	appends          []Append
	replies          []AppendReply
	starts           []sentStart // in flight to upstreams
	unresolvedStarts []sentStart // starts whose sender waits for the outcome
	witnessQueries   []Key
	leases           map[string]leaseState // by leaseKey
	started          map[string][]string   // leaseKeys of the starts that took effect, by taskName
	answers          map[Key][]Answer
	keys             []Key
	recoveredPermits map[Key][][]Permit // of unresolved tasks: permits by task index
	violation        error
}

var homeLogID = LogID{Home: "h.1", Witness: "w.1", Number: 1}

func newWorld(choose chooser, m mutation) *world {
	retention := Retention{MaxCount: 1 + choose.below(3), MaxBytes: 1 << 20}
	return &world{
		choose: choose, mutation: m, homeUp: true, witnessUp: true,
		home: NewHome(homeLogID, retention), witness: NewWitness(homeLogID, retention),
		takeoverHome: NewHome(LogID{Home: "w.1"}, Retention{MaxCount: 100, MaxBytes: 1 << 20}),
		leases:       map[string]leaseState{}, started: map[string][]string{}, answers: map[Key][]Answer{},
		recoveredPermits: map[Key][][]Permit{},
	}
}

func pick[T any](w *world, list []T) (T, bool) {
	var none T
	if len(list) == 0 {
		return none, false
	}
	return list[w.choose.below(len(list))], true
}

// pull returns a random element and removes it. With repeat it sometimes leaves the
// element in the list, to simulate a message that the network duplicates.
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
		w.deliverStart, w.deliverStart, w.deliverStart, w.finishLease, w.finishLease, w.deliverOutcome, w.deliverOutcome, w.deliverOutcome, w.barUnseenLease,
		w.loseOutcome, w.cancel, w.takeOver, w.loseWitness, w.killHome, w.killWitness,
		w.resolveTask, w.resolveTask, w.placeAfterTakeover, w.placeAfterTakeover, w.abortAfterTakeover, w.resubmitToWitness, w.answerWitnessQuery, w.answerWitnessQuery,
	}
}

// step runs one random step and checks the invariants. Steps that would end most runs
// early, like the loss of an instance, are skipped five times out of six. They are
// the elements firstRare to lastRare of steps.
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

// perform carries out the effects that a state machine returned.
func (w *world) perform(e Effects, byTakeover bool) {
	for _, s := range e.Starts {
		w.starts = append(w.starts, sentStart{s, byTakeover})
		w.unresolvedStarts = append(w.unresolvedStarts, sentStart{s, byTakeover})
	}
	for _, s := range e.Stops {
		w.stopLease(s)
	}
	for _, a := range e.Answers {
		w.recordAnswer(a)
	}
	w.witnessQueries = append(w.witnessQueries, e.WitnessQueries...)
}

func (w *world) recordAnswer(a Answer) {
	if w.mutation == cancelledAsNotRun && a.Kind == Failed && a.Reason == ReasonCancelled {
		a.Kind = NotRun
	}
	w.answers[a.Key] = append(w.answers[a.Key], a)
}

func leaseKey(s Start) string { return s.Upstream + "|" + s.Lease.String() }

func taskName(l Lease) string { return fmt.Sprintf("%s/%d", l.Key, l.Task) }

func (w *world) submit() {
	if !w.homeUp {
		return
	}
	key := Key{Session: "s", Sequence: uint64(1 + w.choose.below(4))}
	if w.mutation == resubmissionAsNewWork {
		delete(w.home.jobs, key)
	}
	if w.mutation == evictionForgotten {
		clear(w.home.retained.evictedThrough)
	}
	job := &Job{Digest: key.Sequence, Tasks: make([]Task, 1+key.Sequence%3)}
	admission, answer, err := w.home.Submit(key, job)
	if err != nil {
		if !failure.Is(err, failure.SessionEnded) {
			w.violation = err
		}
		w.recordAnswer(Answer{Key: key, Kind: NotRun})
		return
	}
	if admission == Answered {
		w.recordAnswer(answer)
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
	if task, ok := pick(w, w.home.WaitingTasks(key)); ok {
		e, _ := w.home.Place(key, task, upstreamNames[w.choose.below(2)])
		w.perform(e, false)
		if w.mutation == permitWithoutAck {
			w.flush()
			w.perform(w.home.Ack(w.home.sequence), false)
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
	if w.mutation == verdictBeforeAck {
		for _, j := range w.home.jobs {
			if j.verdict != nil && !j.committed {
				var e Effects
				w.home.commit(j, &e)
				w.perform(e, false)
			}
		}
	}
}

// send sends an append, or simulates a failure before its first byte is sent.
func (w *world) send(a Append) {
	if w.choose.below(4) == 0 {
		w.home.MarkUnsent(a.Sequence)
		return
	}
	w.appends = append(w.appends, a)
}

func (w *world) resend() {
	if w.homeUp {
		w.sendAll(w.home.UnackedForResend(0))
	}
}

func (w *world) sendAll(list []Append) {
	for _, a := range list {
		w.send(a)
	}
}

func (w *world) deliverAppend() {
	a, ok := pull(w, &w.appends, true)
	if !ok || !w.witnessUp {
		return
	}
	if w.mutation == sealIgnored && w.witness.sealed {
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
		w.perform(w.home.Seal(), false)
		return
	}
	w.perform(w.home.Ack(r.Acked), false)
	if r.Gap {
		w.sendAll(w.home.UnackedForResend(r.Acked + 1))
	}
}

// deliverStart delivers a start to its upstream, possibly long after it was sent
// and after its sender was lost. A start is a single request: it arrives at most
// once.
func (w *world) deliverStart() {
	s, ok := pull(w, &w.starts, false)
	if !ok || w.leases[leaseKey(s.Start)] != neverSeen {
		return
	}
	w.leases[leaseKey(s.Start)] = running
	name := taskName(s.Lease)
	w.started[name] = append(w.started[name], leaseKey(s.Start))
	if w.mutation == startRetriedUnderNewLease && w.choose.below(4) == 0 {
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

func (w *world) stopLease(s Start) {
	switch w.leases[leaseKey(s)] {
	case neverSeen:
		w.leases[leaseKey(s)] = barred
	case running:
		w.leases[leaseKey(s)] = failed
	}
}

func (w *world) sender(byTakeover bool) (*Home, bool) {
	if byTakeover {
		return w.takeoverHome, w.witnessUp
	}
	return w.home, w.homeUp
}

func outcomeOf(state leaseState, result string) Outcome {
	if state == failed {
		return Outcome{State: TaskFailed}
	}
	return Outcome{State: TaskFinished, Result: []byte(result)}
}

// deliverOutcome reports the state of a lease to the instance that sent the start.
func (w *world) deliverOutcome() {
	s, ok := pull(w, &w.unresolvedStarts, true)
	if !ok {
		return
	}
	h, up := w.sender(s.byTakeover)
	if !up {
		return
	}
	var e Effects
	switch state := w.leases[leaseKey(s.Start)]; state {
	case finished, failed:
		e, _ = h.Finish(s.Lease, outcomeOf(state, leaseKey(s.Start)))
	case barred:
		e, _ = h.Requeue(s.Lease)
	default:
		w.unresolvedStarts = append(w.unresolvedStarts, s)
	}
	w.perform(e, s.byTakeover)
}

// barUnseenLease lets the sender of a start look up the lease before the upstream has
// received the start. The lookup bars the lease, and the task is requeued.
func (w *world) barUnseenLease() {
	s, ok := pick(w, w.unresolvedStarts)
	if !ok {
		return
	}
	h, up := w.sender(s.byTakeover)
	if !up || w.leases[leaseKey(s.Start)] != neverSeen {
		return
	}
	if w.mutation != unseenLeaseNotBarred {
		w.leases[leaseKey(s.Start)] = barred
	}
	e, _ := h.Requeue(s.Lease)
	w.perform(e, s.byTakeover)
}

func (w *world) loseOutcome() {
	s, ok := pick(w, w.unresolvedStarts)
	if !ok {
		return
	}
	if h, up := w.sender(s.byTakeover); up {
		e, _ := h.Finish(s.Lease, Outcome{State: TaskUnknown})
		w.perform(e, s.byTakeover)
	}
}

func (w *world) cancel() {
	if key, ok := pick(w, w.keys); ok && w.homeUp {
		w.perform(w.home.Abort(key, ReasonCancelled), false)
	}
}
