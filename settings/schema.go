// Package settings implements the settings that operators can change at run time.
//
// The settings form a tree with the levels fleet, region, availability zone, service and
// caller. A node is a place in the tree where values are set, such as one zone. A value set at
// a lower level overrides those of the levels above it. The text form of a tree is INI, with
// one section for each node.
//
// A revision is a numbered version of the whole tree. The platform stores the current revision
// under one key, and a copy of each revision under a key of its own.
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
	Allowed string // allowed values, described for error messages and listings
	Meaning string // description for operators
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
	{KeyWitness, "zone", "", "none, zone or region", "Where the witness of a session's jobs is chosen: none is no witness, zone is in the same availability zone, region is in another zone if there is one.", oneOf("none", "zone", "region")},
	{KeyDeadlineMs, "30000", "ms", "1 to 600000", "The deadline of jobs that specify none.", intBetween(1, 600000)},
	{KeyKeepAnswersSeconds, "600", "s", "1 to 86400", "How long an answer is kept for resubmissions. Values set for a service or caller are ignored.", intBetween(1, 86400)},
	{KeyKeepAnswersMB, "8", "MB", "1 to 64", "How much memory the kept answers of one log may use. Values set for a service or caller are ignored.", intBetween(1, 64)},
	{KeyMaxQueued, "20000", "tasks", "1 to 1000000", "How many tasks may wait at one broker. Values set for a service or caller are ignored.", intBetween(1, 1000000)},
	{KeyMaxInFlight, "0", "jobs", "0 to 1000000; 0 is no limit", "How many jobs of one service, or of one caller, may be in flight at one instance.", intBetween(0, 1000000)},
	{KeyWeight, "1", "", "1 to 1000", "The weight of a service when slots are divided among the services with waiting tasks.", intBetween(1, 1000)},
	{KeyQuotaSlots, "0", "slots", "0 to 1000000; 0 is no limit", "The maximum number of slots of the fleet that a service may hold at a time.", intBetween(0, 1000000)},
	{KeyTraceRatio, "0", "", "0 to 1", "The share of jobs that are traced although their callers do not request it.", isShare},
	{KeyReleaseDelay, "40", "ms", "1 to 1000", "How long an instance may keep free slots in order to return several to the broker together. Values set for a service or caller are ignored.", intBetween(1, 1000)},
}

func oneOf(allowed ...string) func(string) bool {
	return func(s string) bool { return slices.Contains(allowed, s) }
}

func intBetween(low, high int64) func(string) bool {
	return func(s string) bool {
		n, err := strconv.ParseInt(s, 10, 64)
		return err == nil && n >= low && n <= high
	}
}

// isShare reports whether s is a number from 0 to 1.
func isShare(s string) bool {
	f, err := strconv.ParseFloat(s, 64)
	return err == nil && f >= 0 && f <= 1
}

var byKey = lo.KeyBy(schema, func(d Definition) string { return d.Key })

// Schema returns the definitions of all settings.
func Schema() []Definition { return schema }

// CheckValue returns an InvalidInput error if key is not a setting or value is not allowed for it.
func CheckValue(key, value string) error {
	definition, found := byKey[key]
	if !found {
		return failure.Field(failure.InvalidInput, key, "is no setting; the settings are %v", lo.Map(schema, func(d Definition, _ int) string { return d.Key }))
	}
	if !definition.check(value) {
		return failure.Field(failure.InvalidInput, key, "is %q; allowed: %s", value, definition.Allowed)
	}
	return nil
}
