// Package explain tells the story of one job from the logs of all instances.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Line is one line of a log that concerns a job, or what instances believed
// while it was open.
type Line struct {
	Time     time.Time // when it was decided
	Instance string
	Event    string
	Fields   map[string]any
}

// String returns a field as text, "" where there is none.
func (l Line) String(key string) string {
	v, known := l.Fields[key]
	if !known {
		return ""
	}
	return strings.Trim(fmt.Sprint(v), `"`)
}

const (
	// longestLine bounds a line of a log, in bytes.
	longestLine = 1 << 20
	// around is how long before and after a job what instances believed is told.
	around = time.Second
)

// beliefs are the events that concern many jobs at once.
var beliefs = map[string]bool{
	"upstream_silent": true, "upstream_doubted": true, "upstream_fenced": true, "upstream_gone": true,
	"peer_lost": true, "group_taken": true, "group_lost": true, "store_lost": true, "node_draining": true, "node_started": true,
	"log_dropped": true, "zone_evacuated": true, "zone_returned": true,
}

// Logs holds the lines that were read.
type Logs struct {
	lines     []Line
	Unread    int // lines that are no log lines
	instances map[string]bool
}

// Read adds the lines of r. What stands before the JSON of a line is passed
// over. The error is that of r.
func (g *Logs) Read(r io.Reader) error {
	if g.instances == nil {
		g.instances = map[string]bool{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			g.Unread++
			continue
		}
		g.instances[line.Instance] = true
		g.lines = append(g.lines, line)
	}
	return scanner.Err()
}

func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Event, l.Instance = l.String("msg"), l.String("instance")
	when := l.String("decided")
	if when == "" {
		when = l.String("time")
	}
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, when)
	for _, key := range []string{"time", "decided", "msg", "instance", "level", "event"} {
		delete(fields, key)
	}
	return l, err == nil && l.Event != ""
}

// Explanation is what the logs tell of one job.
type Explanation struct {
	Job     string
	Lines   []Line // in order of time
	Beliefs []Line // of about the same time
	Cause   string // one sentence
	Missing []string
	// evacuated are the availability zones that were evacuated at the end of the job.
	evacuated []string
}

// Explain tells of a job.
func (g *Logs) Explain(job string) Explanation {
	s := Explanation{Job: job}
	for _, l := range g.lines {
		if l.String("job") == job {
			s.Lines = append(s.Lines, l)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	s.addBeliefs(g)
	slices.SortStableFunc(s.Beliefs, byTime)
	s.evacuated = g.evacuatedAt(s.lastTime())
	s.Cause = s.cause()
	s.Missing = s.missing()
	return s
}

// lastTime returns when the last line of the job was decided.
func (s *Explanation) lastTime() time.Time {
	if len(s.Lines) == 0 {
		return time.Time{}
	}
	return s.Lines[len(s.Lines)-1].Time
}

// evacuatedAt returns the availability zones that were evacuated at a time, by the word
// of whichever instance tells last.
func (g *Logs) evacuatedAt(at time.Time) []string {
	last := map[string]Line{}
	for _, l := range g.lines {
		if l.Event != "zone_evacuated" && l.Event != "zone_returned" || l.Time.After(at) {
			continue
		}
		if zone := l.String("zone"); !l.Time.Before(last[zone].Time) {
			last[zone] = l
		}
	}
	var zones []string
	for zone, l := range last {
		if l.Event == "zone_evacuated" {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func (s *Explanation) addBeliefs(g *Logs) {
	if len(s.Lines) == 0 {
		return
	}
	from, to := s.Lines[0].Time.Add(-around), s.Lines[len(s.Lines)-1].Time.Add(around)
	for _, l := range g.lines {
		if beliefs[l.Event] && l.Time.After(from) && l.Time.Before(to) {
			s.Beliefs = append(s.Beliefs, l)
		}
	}
}

// find returns the last line of an event.
func (s *Explanation) find(event string) (Line, bool) {
	for _, l := range slices.Backward(s.Lines) {
		if l.Event == event {
			return l, true
		}
	}
	return Line{}, false
}

// cause words the end of a job in one sentence.
func (s *Explanation) cause() string {
	if l, found := s.find("job_not_served"); found {
		text := fmt.Sprintf("%s was answered %s (%s) by %s after %s ms: %s", s.Job, l.String("status"), l.String("verdict"), l.Instance, l.String("took_ms"), l.String("reason"))
		text += s.because(l)
		if len(s.evacuated) > 0 {
			text += "; evacuated then: " + strings.Join(s.evacuated, ", ")
		}
		return text + s.sendings() + "."
	}
	if l, found := s.find("job_late"); found {
		return fmt.Sprintf("%s was complete after %s ms, its objective was %s ms%s.", s.Job, l.String("took_ms"), l.String("objective_ms"), s.because(l)+s.sendings())
	}
	if l, found := s.find("job_answered"); found {
		return fmt.Sprintf("%s was complete in time, after %s ms.", s.Job, l.String("took_ms"))
	}
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No line tells of %s.", s.Job)
	}
	return fmt.Sprintf("The answer to %s is not in these logs.", s.Job)
}

// sendings names the instances that answered the job where there are several: its
// customer has sent it more than once, to the one with the longest deadline first.
func (s *Explanation) sendings() string {
	answers := lo.Filter(s.Lines, func(l Line, _ int) bool {
		return l.Event == "job_not_served" || l.Event == "job_late" || l.Event == "job_answered"
	})
	if len(answers) < 2 {
		return ""
	}
	patience := func(l Line) float64 {
		ms, _ := l.Fields["patience_ms"].(float64) // 0 where a line has none
		return ms
	}
	slices.SortStableFunc(answers, func(a, b Line) int { return cmp.Compare(patience(b), patience(a)) })
	text := fmt.Sprintf("; its customer sent it to %s (%.0f ms before its deadline)", answers[0].Instance, patience(answers[0]))
	for _, l := range answers[1:] {
		text += fmt.Sprintf(", %s (%.0f)", l.Instance, patience(l))
	}
	return text
}

// because adds what the lines before the end say of its reason.
func (s *Explanation) because(end Line) string {
	if l, found := s.find("offer_lost"); found {
		return fmt.Sprintf("; the connection to the owner of %s broke", l.String("group"))
	}
	reasons := map[string]int{}
	for _, l := range s.Lines {
		// A run that was stopped is told by why it was.
		if l.Event == "task_retried" && l.String("reason") != "stopped" || l.Event == "task_stopped" {
			reasons[fmt.Sprintf("%s on %s", l.String("reason"), l.String("upstream"))]++
		}
	}
	most := ""
	for reason, n := range reasons {
		if most == "" || n > reasons[most] || n == reasons[most] && reason < most {
			most = reason
		}
	}
	switch {
	case most != "":
		return fmt.Sprintf("; a task ran again: %s (%d times)", most, reasons[most])
	case end.String("owners") == "0":
		return "; no owner of upstreams was known"
	}
	if wait := s.longestWait(); wait > 0 {
		return fmt.Sprintf("; a task waited %.0f ms for room", wait)
	}
	return ""
}

// noticeableWait is how long a task waits before the wait is named, ms.
const noticeableWait = 20

// longestWait returns the longest time, in milliseconds, that a task waited for
// its first start.
func (s *Explanation) longestWait() float64 {
	longest := 0.0
	for _, l := range s.Lines {
		if age, is := l.Fields["age_ms"].(float64); is && l.Event == "task_started" && l.String("run") == "1" {
			longest = max(longest, age)
		}
	}
	if longest < noticeableWait {
		return 0
	}
	return longest
}

// missing names what the logs lack.
func (s *Explanation) missing() []string {
	var missing []string
	if len(s.Lines) == 0 {
		return []string{"any line of the job: it went well and was not in the sample, its id is wrong, or the logs of its instances are not given"}
	}
	answered := false
	offered := false
	for _, l := range s.Lines {
		answered = answered || strings.HasPrefix(l.Event, "job_")
		offered = offered || l.Event == "task_started" || l.Event == "tasks_returned" || l.Event == "offer_result"
	}
	if !answered {
		missing = append(missing, "the line of the answer: the instance that took the job ended, or its log is not given")
	}
	if groups := s.Lines[len(s.Lines)-1].String("groups"); !offered && groups != "" {
		missing = append(missing, "lines of the owners of "+groups+": they ended, or their logs are not given")
	}
	for _, l := range s.Beliefs {
		if l.Event == "log_dropped" {
			missing = append(missing, "lines that were dropped while the output stalled ("+l.Time.Format(time.TimeOnly)+")")
		}
	}
	return missing
}

// Write writes the story for a person.
func (s *Explanation) Write(w io.Writer) error {
	var b strings.Builder
	all := slices.Concat(s.Lines, s.Beliefs)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range all {
		mark := " "
		if l.String("job") == s.Job {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %-24s %-16s %s\n", mark, l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.rest())
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "%s\n", s.Cause)
	_, err := io.WriteString(w, b.String())
	return err
}

// rest returns the fields of a line in order of their names.
func (l Line) rest() string {
	var parts []string
	for key := range l.Fields {
		if key != "job" {
			parts = append(parts, key+"="+l.String(key))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
