package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"
)

// Latencies holds histograms of how long things took, by name.
type Latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

const (
	// longestMicros is the longest time that a histogram tells apart, and
	// digits how many significant digits it keeps.
	longestMicros = 60_000_000
	digits        = 2
)

// Observe adds one time.
func (l *Latencies) Observe(name string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string]*hdrhistogram.Histogram{}
	}
	h := l.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, longestMicros, digits)
		l.byName[name] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), 1), longestMicros)) // within its bounds
}

// quantiles are those that are told, in percent.
var quantiles = []float64{50, 90, 99, 99.9}

// WriteText writes every counter and histogram as lines of text: a name, labels
// and a number.
func (s *Set) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, m := range []struct {
		name   string
		values map[string]int64
	}{{"messages", Values(s.Messages)}, {"wasted", Values(s.Wasted)}, {"counts", Values(s.Counts)}} {
		for _, key := range sortedKeys(m.values) {
			fmt.Fprintf(&b, "sedgehatch_%s{kind=%q} %d\n", m.name, key, m.values[key])
		}
	}
	s.Latencies.writeText(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (l *Latencies) writeText(b *strings.Builder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range sortedKeys(l.byName) {
		h := l.byName[name]
		for _, q := range quantiles {
			fmt.Fprintf(b, "sedgehatch_latency_ms{of=%q,quantile=\"%g\"} %.3f\n", name, q/100, float64(h.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintf(b, "sedgehatch_latency_count{of=%q} %d\n", name, h.TotalCount())
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
