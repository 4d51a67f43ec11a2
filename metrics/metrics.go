// Package metrics counts what one instance does, as expvar variables.
package metrics

import "expvar"

// Set is the counters of one instance. Several instances may live in one
// process, so a Set is published only when the daemon asks for it.
type Set struct {
	// Messages counts every message that this instance sent, by kind.
	Messages *expvar.Map
	// Wasted counts those that led to no task's only start, result or answer.
	Wasted *expvar.Map
	// Counts holds everything else that is counted.
	Counts *expvar.Map
	// Latencies holds how long things took.
	Latencies Latencies
}

// NewSet returns counters at zero.
func NewSet() *Set {
	return &Set{Messages: new(expvar.Map).Init(), Wasted: new(expvar.Map).Init(), Counts: new(expvar.Map).Init()}
}

// Publish makes the counters visible at /debug/vars under prefix.
func (s *Set) Publish(prefix string) {
	expvar.Publish(prefix+"_messages", s.Messages)
	expvar.Publish(prefix+"_wasted", s.Wasted)
	expvar.Publish(prefix+"_counts", s.Counts)
}

// CountSent counts a message.
func (s *Set) CountSent(kind string) { s.Messages.Add(kind, 1) }

// CountWasted counts a message, sent already, that led to nothing.
func (s *Set) CountWasted(kind string) { s.Wasted.Add(kind, 1) }

// Add counts anything else.
func (s *Set) Add(name string, n int64) { s.Counts.Add(name, n) }

// Values returns the counters of m by name.
func Values(m *expvar.Map) map[string]int64 {
	values := map[string]int64{}
	m.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			values[kv.Key] = n.Value()
		}
	})
	return values
}

// AddMessagesTo adds the message counters of s to sent and wasted.
func (s *Set) AddMessagesTo(sent, wasted map[string]int64) {
	for kind, n := range Values(s.Messages) {
		sent[kind] += n
	}
	for kind, n := range Values(s.Wasted) {
		wasted[kind] += n
	}
}
