// Package settings is the tree of settings that operators drive the system by:
// fleet, region, availability zone, service, caller. Each level inherits from
// the one above and may override it.
package settings

import (
	"slices"
	"strconv"

	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/samber/lo"
)

// Definition defines one setting.
type Definition struct {
	Key     string
	Default string
	Unit    string
	Allowed string // in words, for messages and pages
	Meaning string
	check   func(string) bool
}

// The keys of the settings.
const (
	KeyWitness            = "witness"
	KeyDeadlineMs         = "deadline_ms"
	KeyKeepAnswersSeconds = "keep_answers_s"
	KeyKeepAnswersMB      = "keep_answers_mb"
	KeyMaxQueued          = "max_queued_tasks"
	KeyMaxInFlight        = "max_in_flight_jobs"
	KeyWeight             = "weight"
	KeyQuotaSlots         = "quota_slots"
	KeyTraceRatio         = "trace_ratio"
	KeyReleaseDelay       = "release_delay_ms"
)

var schema = []Definition{
	{KeyWitness, "zone", "", "none, zone or region", "How far away the witness of a session's jobs is.", oneOf("none", "zone", "region")},
	{KeyDeadlineMs, "30000", "ms", "1 to 600000", "The deadline of a job that names none.", within(1, 600000)},
	{KeyKeepAnswersSeconds, "600", "s", "1 to 86400", "How long an answer is kept for resubmissions. Not by service or caller.", within(1, 86400)},
	{KeyKeepAnswersMB, "8", "MB", "1 to 64", "How much the kept answers of one log may take. Not by service or caller.", within(1, 64)},
	{KeyMaxQueued, "20000", "tasks", "1 to 1000000", "How many tasks may wait at one broker. Not by service or caller.", within(1, 1000000)},
	{KeyMaxInFlight, "0", "jobs", "0 to 1000000; 0 is no limit", "How many jobs of one service, or caller, an entry takes at a time.", within(0, 1000000)},
	{KeyWeight, "1", "", "1 to 1000", "A service's part of the slots against the others, where work waits.", within(1, 1000)},
	{KeyQuotaSlots, "0", "slots", "0 to 1000000; 0 is no bound", "The most slots of the fleet that a service has at a time.", within(0, 1000000)},
	{KeyTraceRatio, "0", "", "0 to 1", "The share of jobs that are traced though their callers do not ask.", share},
	{KeyReleaseDelay, "40", "ms", "1 to 1000", "How long free places wait for company on their way back to a broker. Not by service or caller.", within(1, 1000)},
}

func oneOf(words ...string) func(string) bool {
	return func(s string) bool { return slices.Contains(words, s) }
}

func within(low, high int64) func(string) bool {
	return func(s string) bool {
		n, err := strconv.ParseInt(s, 10, 64)
		return err == nil && n >= low && n <= high
	}
}

func share(s string) bool {
	f, err := strconv.ParseFloat(s, 64)
	return err == nil && f >= 0 && f <= 1
}

var byKey = lo.KeyBy(schema, func(d Definition) string { return d.Key })

// Schema returns the definition of every setting.
func Schema() []Definition { return schema }

// CheckValue returns an InvalidInput error unless value is allowed for key.
func CheckValue(key, value string) error {
	def, known := byKey[key]
	if !known {
		return failure.Field(failure.InvalidInput, key, "is no setting; the settings are %v", lo.Map(schema, func(d Definition, _ int) string { return d.Key }))
	}
	if !def.check(value) {
		return failure.Field(failure.InvalidInput, key, "is %q; allowed: %s", value, def.Allowed)
	}
	return nil
}
