package explain

import (
	"strings"
	"testing"
)

const recordedLogs = `
  34.05 i-1 {"time":"2026-04-04T22:12:00.100Z","decided":"2026-04-04T22:12:00.010Z","level":"INFO","msg":"task_started","instance":"i-1","event":703,"job":"aa","task":1,"run":1,"upstream":"u1","age_ms":0}
{"time":"2026-04-04T22:12:00.100Z","decided":"2026-04-04T22:12:00.030Z","level":"INFO","msg":"task_stopped","instance":"i-1","job":"aa","task":1,"run":1,"upstream":"u1","reason":"start without answer"}
{"time":"2026-04-04T22:12:00.050Z","level":"WARN","msg":"upstream_silent","instance":"i-1","upstream":"u1"}
{"time":"2026-04-04T22:12:00.120Z","level":"INFO","msg":"job_late","instance":"i-2","job":"aa","took_ms":110,"objective_ms":90,"groups":"a/0"}
{"time":"2026-04-04T22:12:01.000Z","level":"WARN","msg":"offer_lost","instance":"i-2","job":"bb","group":"b/0"}
{"time":"2026-04-04T22:12:01.000Z","level":"WARN","msg":"job_not_served","instance":"i-2","job":"bb","status":504,"verdict":"unknown","reason":"the owner of upstreams was lost","took_ms":600,"groups":"b/0"}
{"time":"2026-04-04T22:12:02.000Z","level":"WARN","msg":"job_not_served","instance":"i-2","job":"cc","status":503,"verdict":"not_run","reason":"no owner can be reached","owners":0,"took_ms":90,"groups":""}
{"time":"2026-04-04T22:12:02.100Z","level":"WARN","msg":"log_dropped","routine":5}
{"time":"2026-04-04T22:12:03.000Z","level":"WARN","msg":"zone_evacuated","instance":"i-1","zone":"a","revision":7,"from":"store"}
{"time":"2026-04-04T22:12:03.100Z","level":"WARN","msg":"zone_evacuated","instance":"i-2","zone":"a","revision":7,"from":"i-1"}
{"time":"2026-04-04T22:12:03.200Z","level":"WARN","msg":"zone_evacuated","instance":"i-1","zone":"b","revision":8,"from":"store"}
{"time":"2026-04-04T22:12:04.000Z","level":"INFO","msg":"zone_returned","instance":"i-1","zone":"b","revision":9,"from":"store"}
{"time":"2026-04-04T22:12:07.000Z","level":"WARN","msg":"job_not_served","instance":"i-2","job":"ff","status":503,"verdict":"not_run","reason":"no room in time","owners":2,"took_ms":30,"groups":"b/0"}
{"time":"2026-04-04T22:12:07.500Z","level":"WARN","msg":"job_not_served","instance":"i-2","job":"ii","status":503,"verdict":"not_run","reason":"no room in time, by the owners' reports","owners":2,"took_ms":0,"groups":"","waits":"a/0=250@80,b/0=310@200"}
{"time":"2026-04-04T22:12:08.000Z","level":"INFO","msg":"zone_returned","instance":"i-1","zone":"a","revision":10,"from":"store"}
{"time":"2026-04-04T22:12:09.000Z","level":"INFO","msg":"task_started","instance":"i-1","job":"dd","run":1,"age_ms":0}
{"time":"2026-04-04T22:12:10.000Z","level":"WARN","msg":"job_not_served","instance":"i-2","job":"gg","status":504,"verdict":"left","reason":"the customer left before its request was read","took_ms":0.1,"patience_ms":2676}
{"time":"2026-04-04T22:12:10.200Z","level":"INFO","msg":"job_late","instance":"i-3","job":"gg","took_ms":210,"objective_ms":190,"groups":"a/0","patience_ms":2561}
{"time":"2026-04-04T22:12:11.000Z","level":"WARN","msg":"offer_lost","instance":"i-2","job":"hh","group":"b/0"}
{"time":"2026-04-04T22:12:11.600Z","level":"WARN","msg":"adoption_failed","instance":"i-4","job":"hh","group":"b/0","task":2,"reason":"an upstream has not reported in time"}
{"time":"2026-04-04T22:12:11.610Z","level":"WARN","msg":"job_not_served","instance":"i-2","job":"hh","status":504,"verdict":"unknown","reason":"the owner of upstreams was lost","took_ms":900,"groups":"b/0,b/0"}
no line of a log
`

func TestExplain(t *testing.T) {
	var logs Logs
	if err := logs.Read(strings.NewReader(recordedLogs)); err != nil {
		t.Fatal(err)
	}
	for job, c := range map[string]struct{ summary, missing string }{
		"aa": {"aa completed after 110 ms, later than its objective of 90 ms; a task was retried: start without answer on u1 (1 times).", ""},
		"bb": {"bb received status 504 (unknown) from i-2 after 600 ms: the owner of upstreams was lost; the connection to the owner of b/0 broke.",
			"lines of the owners of b/0: these instances ended, or their logs were not passed"},
		"cc": {"cc received status 503 (not_run) from i-2 after 90 ms: no owner can be reached; the instance knew no owner of upstreams.", "lines that an instance dropped because its output stalled (22:12:02)"},
		"ii": {"ii received status 503 (not_run) from i-2 after 0 ms: no room in time, by the owners' reports; the earliest starts were, in ms and with the age of the report, a/0=250@80,b/0=310@200; zones evacuated at that time: a.", ""},
		"ff": {"ff received status 503 (not_run) from i-2 after 30 ms: no room in time; zones evacuated at that time: a.", ""},
		"gg": {"gg received status 504 (left) from i-2 after 0.1 ms: the customer left before its request was read; the customer submitted it to i-2 (2676 ms before its deadline), i-3 (2561).", ""},
		"hh": {"hh received status 504 (unknown) from i-2 after 900 ms: the owner of upstreams was lost; the connection to the owner of b/0 broke, and the next owner could not complete the job: an upstream has not reported in time.", ""},
		"dd": {"The logs do not contain the response to dd.", "the line of the response: the instance that accepted the job ended, or its log was not passed"},
		"ee": {"The logs contain no lines about ee.", "all lines of the job: it succeeded and was not sampled, its id is wrong, or the logs of its instances were not passed"},
	} {
		e := logs.Explain(job)
		if e.Summary != c.summary {
			t.Errorf("summary of job %s: %q, want %q", job, e.Summary, c.summary)
		}
		if c.missing != "" && (len(e.Missing) == 0 || e.Missing[len(e.Missing)-1] != c.missing) {
			t.Errorf("missing lines of job %s: %q, want %q last", job, e.Missing, c.missing)
		}
	}
	e := logs.Explain("aa")
	if len(e.Context) != 1 || e.Context[0].Event != "upstream_silent" {
		t.Errorf("context of job aa: %v, want only upstream_silent", e.Context)
	}
	if e.Lines[0].Event != "task_started" || e.Lines[2].Event != "job_late" {
		t.Errorf("lines are not in order of time: %v", e.Lines)
	}
	var out strings.Builder
	if err := e.Write(&out); err != nil || !strings.Contains(out.String(), "* 22:12:00.010 i-1") {
		t.Errorf("Write returned %v, or the text lacks the marked line of the time 22:12:00.010:\n%s", err, out.String())
	}
}
