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

// Latencies holds histograms of durations, by name.
type Latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

const (
	// maxMicros is the longest duration, in microseconds, that a histogram can record;
	// longer ones are recorded as maxMicros. Histograms distinguish durations that differ
	// in the first significantDigits decimal digits.
	maxMicros         = 60_000_000
	significantDigits = 2
)

// Observe records a duration in the histogram with the given name.
func (l *Latencies) Observe(name string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string]*hdrhistogram.Histogram{}
	}
	h := l.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMicros, significantDigits)
		l.byName[name] = h
	}
	_ = h.RecordValue(min(max(duration.Microseconds(), 1), maxMicros)) // cannot fail: the value is within the bounds
}

// quantiles are the quantiles of each histogram that WriteText writes, in percent.
var quantiles = []float64{50, 90, 99, 99.9}

// WriteText writes all counters and the quantiles of all histograms as lines of text. Each line
// consists of a name, a list of labels and a number.
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
