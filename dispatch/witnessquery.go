package dispatch

import (
	"context"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// queryWitness asks the witness of a sealed log for the fates of submissions. This
// home cannot decide them any more, because the witness may have taken their jobs
// over. If the witness does not return a fate, the answer is Unknown.
func (l *homeLog) queryWitness(keys []fate.Key) {
	for _, key := range keys {
		answer := fate.Answer{Key: key, Kind: fate.Unknown, Reason: fate.ReasonWitnessLost}
		if found, ok := l.fetchFromWitness(key); ok {
			answer = found
		}
		l.apply(func(h *fate.Home) fate.Effects { return h.ApplyWitnessAnswer(answer) })
	}
}

// fetchFromWitness asks the witness for the fate of key. If the query may not have arrived and
// the witness may still be running, it asks again, until WitnessTimeout after the first error: the
// connection may have been closed because the witness was silent for a while. A connection that
// breaks after it was open for WitnessTimeout begins that time anew. A witness that is considered
// lost is asked with the short timeout WitnessTimeout instead of maxWait.
func (l *homeLog) fetchFromWitness(key fate.Key) (fate.Answer, bool) {
	l.mu.Lock()
	witnessLost := l.home.WitnessLost()
	l.mu.Unlock()
	wait := maxWait
	if witnessLost {
		wait = l.d.cfg.WitnessTimeout
	}
	var failingSince time.Time
	for {
		askedAt := time.Now()
		answer, err := l.askWitness(key, wait)
		if err == nil {
			return answer, answer.Kind.Final()
		}
		wasConnected := failure.Is(err, failure.Lost) && time.Since(askedAt) > l.d.cfg.WitnessTimeout
		if failingSince.IsZero() || wasConnected {
			failingSince = time.Now()
		}
		if !mayNotHaveArrived(err) || failure.Is(err, failure.Gone) || time.Since(failingSince) > l.d.cfg.WitnessTimeout {
			return fate.Answer{}, false
		}
		select {
		case <-time.After(resendInterval):
		case <-l.d.ctx.Done():
			return fate.Answer{}, false
		}
	}
}

// askWitness asks the witness once for the fate of key, which seals the log.
func (l *homeLog) askWitness(key fate.Key, wait time.Duration) (fate.Answer, error) {
	ctx, cancel := context.WithTimeout(l.d.ctx, wait)
	defer cancel()
	reply, err := l.d.peers.Call(ctx, l.id.Witness, &inner.Frame{Body: &inner.Frame_Submit{Submit: &inner.Submit{
		Key: inner.FromKey(key), AsWitness: true, Seal: true, WaitMs: uint32(wait.Milliseconds()),
	}}})
	if err != nil {
		return fate.Answer{}, err
	}
	if reply.GetAnswer() == nil {
		return fate.Answer{}, failure.Protocol.New("the witness replied without an answer")
	}
	return *inner.ToAnswer(reply.GetAnswer()), nil
}
