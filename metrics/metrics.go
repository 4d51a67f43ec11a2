// Package metrics holds the counters and latency histograms of an instance. The
// counters are expvar variables.
package metrics

import "expvar"

// Set is the set of metrics of one instance. A process may run several instances, but
// the names of expvar variables are global. Therefore a Set is not published until
// Publish is called, which only the daemon does.
type Set struct {
	// Messages counts the messages that the instance sent, by kind.
	Messages *expvar.Map
	// Wasted counts, by kind, the sent messages that turned out to be useless. A message is
	// useful if it led to a result, to a response, or to the start of a task that had no
	// other start.
	Wasted *expvar.Map
	// Counts holds all other counters.
	Counts *expvar.Map
	// Latencies holds the histograms of durations.
	Latencies Latencies
}

// NewSet returns a Set with all counters at zero.
func NewSet() *Set {
	return &Set{Messages: new(expvar.Map).Init(), Wasted: new(expvar.Map).Init(), Counts: new(expvar.Map).Init()}
}

// Publish publishes the counters as expvar variables, which are served at /debug/vars.
// Their names start with prefix.
func (s *Set) Publish(prefix string) {
	expvar.Publish(prefix+"_messages", s.Messages)
	expvar.Publish(prefix+"_wasted", s.Wasted)
	expvar.Publish(prefix+"_counts", s.Counts)
}

// CountSent counts a message of the given kind as sent.
func (s *Set) CountSent(kind string) { s.Messages.Add(kind, 1) }

// CountWasted counts a message of the given kind as wasted. It must have been counted as sent
// before.
func (s *Set) CountWasted(kind string) { s.Wasted.Add(kind, 1) }

// Add adds n to the counter with the given name in Counts.
func (s *Set) Add(name string, n int64) { s.Counts.Add(name, n) }

// Values returns the values of the counters in m, by name.
func Values(m *expvar.Map) map[string]int64 {
	values := map[string]int64{}
	m.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			values[kv.Key] = n.Value()
		}
	})
	return values
}

// AddMessagesTo adds the counters of sent and wasted messages to the given maps.
func (s *Set) AddMessagesTo(sent, wasted map[string]int64) {
	for kind, n := range Values(s.Messages) {
		sent[kind] += n
	}
	for kind, n := range Values(s.Wasted) {
		wasted[kind] += n
	}
}
