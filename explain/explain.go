// Package explain reports what happened to one job, and why, from the logs of all instances.
//
// Each line of a log is a JSON object and describes one event, which the field "msg" names. The
// instance that accepted a job offers its tasks to owners. An owner is the instance that
// schedules the tasks on one group of upstreams.
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

// Line is one line of a log.
type Line struct {
	Time     time.Time // when the event happened: the field "decided" if there is one, else "time"
	Instance string
	Event    string
	Fields   map[string]any // all fields except the time, instance, event, level and event number
}

// Field returns the value of a field as text, or "" if the line does not have the field.
func (l Line) Field(key string) string {
	v, found := l.Fields[key]
	if !found {
		return ""
	}
	return strings.Trim(fmt.Sprint(v), `"`)
}

const (
	maxLineBytes = 1 << 20
	// contextMargin is added at both ends to the time between the first and the last line of a
	// job. Context events within the resulting time are reported with the job.
	contextMargin = time.Second
)

// contextEvents are events that affect many jobs at once and may explain what happened to one
// of them.
var contextEvents = map[string]bool{
	"upstream_silent": true, "upstream_doubted": true, "upstream_fenced": true, "upstream_gone": true,
	"peer_lost": true, "group_taken": true, "group_lost": true, "store_lost": true, "node_draining": true, "node_started": true,
	"log_dropped": true, "zone_evacuated": true, "zone_returned": true,
}

// Logs holds the lines of the logs of several instances. The zero value is empty.
type Logs struct {
	lines        []Line
	SkippedLines int // lines that could not be parsed
	instances    map[string]bool
}

// Read adds the lines of r. It ignores text before the JSON object of a line, and skips lines
// without a JSON object. It returns an error if reading fails or a line exceeds maxLineBytes.
func (logs *Logs) Read(r io.Reader) error {
	if logs.instances == nil {
		logs.instances = map[string]bool{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			logs.SkippedLines++
			continue
		}
		logs.instances[line.Instance] = true
		logs.lines = append(logs.lines, line)
	}
	return scanner.Err()
}

// parseLine parses a line of a log. It reports false if the line has no valid JSON object, no
// event or no valid time.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Event, l.Instance = l.Field("msg"), l.Field("instance")
	timestamp := l.Field("decided")
	if timestamp == "" {
		timestamp = l.Field("time")
	}
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, timestamp)
	for _, key := range []string{"time", "decided", "msg", "instance", "level", "event"} {
		delete(fields, key)
	}
	return l, err == nil && l.Event != ""
}

// Explanation describes what happened to one job according to the logs.
type Explanation struct {
	Job     string
	Lines   []Line // lines with the job's id, in order of time
	Context []Line // context events at about the same time, in order of time
	Summary string // the result of the job and its likely cause, in one sentence
	Missing []string
	// evacuatedZones are the availability zones that were evacuated, so that no tasks were
	// started in them, at the time of the job's last line.
	evacuatedZones []string
}

// Explain returns what the logs contain about a job.
func (logs *Logs) Explain(job string) Explanation {
	e := Explanation{Job: job}
	for _, l := range logs.lines {
		if l.Field("job") == job {
			e.Lines = append(e.Lines, l)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Lines, byTime)
	e.addContext(logs)
	slices.SortStableFunc(e.Context, byTime)
	e.evacuatedZones = logs.zonesEvacuatedAt(e.lastTime())
	e.Summary = e.summary()
	e.Missing = e.missing()
	return e
}

// lastTime returns the time of the last line of the job.
func (e *Explanation) lastTime() time.Time {
	if len(e.Lines) == 0 {
		return time.Time{}
	}
	return e.Lines[len(e.Lines)-1].Time
}

// zonesEvacuatedAt returns the availability zones that were evacuated at a time, according to
// the last line about each zone, from any instance, up to that time.
func (logs *Logs) zonesEvacuatedAt(at time.Time) []string {
	last := map[string]Line{}
	for _, l := range logs.lines {
		if l.Event != "zone_evacuated" && l.Event != "zone_returned" || l.Time.After(at) {
			continue
		}
		if zone := l.Field("zone"); !l.Time.Before(last[zone].Time) {
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

// addContext adds the context events from contextMargin before the first line of the job to
// contextMargin after its last line.
func (e *Explanation) addContext(logs *Logs) {
	if len(e.Lines) == 0 {
		return
	}
	from, to := e.Lines[0].Time.Add(-contextMargin), e.Lines[len(e.Lines)-1].Time.Add(contextMargin)
	for _, l := range logs.lines {
		if contextEvents[l.Event] && l.Time.After(from) && l.Time.Before(to) {
			e.Context = append(e.Context, l)
		}
	}
}

// lastLine returns the last line of the job with the given event, and whether there is one.
func (e *Explanation) lastLine(event string) (Line, bool) {
	for _, l := range slices.Backward(e.Lines) {
		if l.Event == event {
			return l, true
		}
	}
	return Line{}, false
}

// summary describes the result of the job in one sentence.
func (e *Explanation) summary() string {
	if l, found := e.lastLine("job_not_served"); found {
		text := fmt.Sprintf("%s received status %s (%s) from %s after %s ms: %s", e.Job, l.Field("status"), l.Field("verdict"), l.Instance, l.Field("took_ms"), l.Field("reason"))
		text += e.reason(l)
		if len(e.evacuatedZones) > 0 {
			text += "; zones evacuated at that time: " + strings.Join(e.evacuatedZones, ", ")
		}
		return text + e.submissions() + "."
	}
	if l, found := e.lastLine("job_late"); found {
		return fmt.Sprintf("%s completed after %s ms, later than its objective of %s ms%s.", e.Job, l.Field("took_ms"), l.Field("objective_ms"), e.reason(l)+e.submissions())
	}
	if l, found := e.lastLine("job_answered"); found {
		return fmt.Sprintf("%s completed in time, after %s ms.", e.Job, l.Field("took_ms"))
	}
	if len(e.Lines) == 0 {
		return fmt.Sprintf("The logs contain no lines about %s.", e.Job)
	}
	return fmt.Sprintf("The logs do not contain the response to %s.", e.Job)
}

// submissions returns a text for the summary that lists the instances which responded to the
// job, or "" if only one did. There are several if the customer submitted the job more than
// once. The instances are listed in the order of the submissions: the earlier the submission,
// the more time was left until the customer's deadline.
func (e *Explanation) submissions() string {
	answers := lo.Filter(e.Lines, func(l Line, _ int) bool {
		return l.Event == "job_not_served" || l.Event == "job_late" || l.Event == "job_answered"
	})
	if len(answers) < 2 {
		return ""
	}
	timeoutMs := func(l Line) float64 {
		ms, _ := l.Fields["patience_ms"].(float64) // 0 if the line does not have it
		return ms
	}
	slices.SortStableFunc(answers, func(a, b Line) int { return cmp.Compare(timeoutMs(b), timeoutMs(a)) })
	text := fmt.Sprintf("; the customer submitted it to %s (%.0f ms before its deadline)", answers[0].Instance, timeoutMs(answers[0]))
	for _, l := range answers[1:] {
		text += fmt.Sprintf(", %s (%.0f)", l.Instance, timeoutMs(l))
	}
	return text
}

// reason returns a text for the summary with the likely cause of the job's result, or "" if
// there is none. resultLine is the line that reports the result; the cause is taken from the
// other lines of the job if possible.
func (e *Explanation) reason(resultLine Line) string {
	if l, found := e.lastLine("offer_lost"); found {
		text := fmt.Sprintf("; the connection to the owner of %s broke", l.Field("group"))
		if failed, found := e.lastLine("adoption_failed"); found {
			text += fmt.Sprintf(", and the next owner could not complete the job: %s", failed.Field("reason"))
		}
		return text
	}
	reasons := map[string]int{}
	for _, l := range e.Lines {
		// The reason for stopping a run is in the line task_stopped. A task_retried line that
		// only says "stopped" is therefore ignored.
		if l.Event == "task_retried" && l.Field("reason") != "stopped" || l.Event == "task_stopped" {
			reasons[fmt.Sprintf("%s on %s", l.Field("reason"), l.Field("upstream"))]++
		}
	}
	mostFrequent := ""
	for reason, n := range reasons {
		if mostFrequent == "" || n > reasons[mostFrequent] || n == reasons[mostFrequent] && reason < mostFrequent {
			mostFrequent = reason
		}
	}
	switch {
	case mostFrequent != "":
		return fmt.Sprintf("; a task was retried: %s (%d times)", mostFrequent, reasons[mostFrequent])
	case resultLine.Field("owners") == "0":
		return "; the instance knew no owner of upstreams"
	case resultLine.Field("waits") != "":
		return "; the earliest starts were, in ms and with the age of the report, " + resultLine.Field("waits")
	}
	if wait := e.longestWait(); wait > 0 {
		return fmt.Sprintf("; a task waited %.0f ms for capacity", wait)
	}
	return ""
}

// minReportedWaitMs is the shortest wait of a task, in milliseconds, that is reported as the
// cause of a result.
const minReportedWaitMs = 20

// longestWait returns the longest time, in milliseconds, that a task waited for its first
// start, or 0 if it is less than minReportedWaitMs.
func (e *Explanation) longestWait() float64 {
	longest := 0.0
	for _, l := range e.Lines {
		if age, ok := l.Fields["age_ms"].(float64); ok && l.Event == "task_started" && l.Field("run") == "1" {
			longest = max(longest, age)
		}
	}
	if longest < minReportedWaitMs {
		return 0
	}
	return longest
}

// missing lists the lines that the logs should contain but do not, with possible reasons.
func (e *Explanation) missing() []string {
	var missing []string
	if len(e.Lines) == 0 {
		return []string{"all lines of the job: it succeeded and was not sampled, its id is wrong, or the logs of its instances were not passed"}
	}
	answered := false
	offered := false
	for _, l := range e.Lines {
		answered = answered || strings.HasPrefix(l.Event, "job_")
		offered = offered || l.Event == "task_started" || l.Event == "tasks_returned" || l.Event == "offer_result"
	}
	if !answered {
		missing = append(missing, "the line of the response: the instance that accepted the job ended, or its log was not passed")
	}
	if groups := e.Lines[len(e.Lines)-1].Field("groups"); !offered && groups != "" {
		missing = append(missing, "lines of the owners of "+groups+": these instances ended, or their logs were not passed")
	}
	for _, l := range e.Context {
		if l.Event == "log_dropped" {
			missing = append(missing, "lines that an instance dropped because its output stalled ("+l.Time.Format(time.TimeOnly)+")")
		}
	}
	return missing
}

// Write writes the explanation as text: the lines of the job, which are marked with an asterisk,
// and the context lines, all in order of time; then the missing lines and the summary.
func (e *Explanation) Write(w io.Writer) error {
	var b strings.Builder
	all := slices.Concat(e.Lines, e.Context)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range all {
		mark := " "
		if l.Field("job") == e.Job {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %-24s %-16s %s\n", mark, l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.otherFields())
	}
	for _, m := range e.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "%s\n", e.Summary)
	_, err := io.WriteString(w, b.String())
	return err
}

// otherFields returns all fields except the job, sorted by name.
func (l Line) otherFields() string {
	var parts []string
	for key := range l.Fields {
		if key != "job" {
			parts = append(parts, key+"="+l.Field(key))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
