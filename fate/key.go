package fate

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/sedgehatch/sedgehatch/failure"
)

// Incarnation identifies one run of an instance's process, in the form
// "instance.boot". A restarted instance is a new incarnation, without the state of
// the previous one.
type Incarnation string

// Instance returns the name of the instance without the boot id.
func (i Incarnation) Instance() string {
	name, _, _ := cutLast(string(i), '.')
	return name
}

// LogID identifies a permit log. The home and the witness of a log never change.
// An empty Witness means a log without a witness, which is not replicated.
type LogID struct {
	Home    Incarnation
	Witness Incarnation
	Number  uint64
}

// String returns the id in the form that session tokens contain.
func (l LogID) String() string {
	return string(l.Home) + "~" + string(l.Witness) + "~" + strconv.FormatUint(l.Number, 10)
}

// Session is the token of a caller's session. It contains the id of the log, so
// that every instance can derive home and witness from the token alone.
type Session string

// maxSessionLength is the maximum length of a token in bytes.
const maxSessionLength = 300

// NewSession returns the token of a session of caller in log. The id
// distinguishes the sessions of one caller. The caller's name must not contain
// '~', and the id must contain neither '~' nor '.'.
func NewSession(log LogID, caller, id string) Session {
	return Session(log.String() + "~" + caller + "." + id)
}

// Caller returns the name of the caller who opened the session.
func (s Session) Caller() string {
	_, last, _ := cutLast(string(s), '~')
	caller, _, _ := cutLast(last, '.')
	return caller
}

// Log returns the id of the log that the session belongs to. If the token is not
// valid, the error is InvalidInput.
func (s Session) Log() (LogID, error) {
	if len(s) > maxSessionLength {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "is longer than %d bytes", maxSessionLength)
	}
	parts := strings.Split(string(s), "~")
	if len(parts) != 4 || parts[3] == "" {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "is not a session token")
	}
	if !validIncarnation(parts[0]) || (parts[1] != "" && !validIncarnation(parts[1])) {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "does not name an instance")
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || strconv.FormatUint(number, 10) != parts[2] {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "has an invalid log number")
	}
	return LogID{Home: Incarnation(parts[0]), Witness: Incarnation(parts[1]), Number: number}, nil
}

func validIncarnation(s string) bool {
	name, boot, ok := cutLast(s, '.')
	return ok && name != "" && boot != ""
}

func cutLast(s string, sep byte) (before, after string, found bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// Key identifies one submission. A repeatable job may be submitted again as the
// next Generation, which is a separate submission with a fate of its own.
type Key struct {
	Session    Session
	Sequence   uint64
	Generation uint32
}

// String returns "session/sequence/generation".
func (k Key) String() string {
	return string(k.Session) + "/" + strconv.FormatUint(k.Sequence, 10) + "/" + strconv.FormatUint(uint64(k.Generation), 10)
}

// compareKeys orders keys, so that operations on many submissions run in a
// deterministic order.
func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Session, b.Session),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Generation, b.Generation),
	)
}

// Lease identifies one permitted start of a task at an upstream. Upstreams use
// its string form as the primary key of the run.
type Lease struct {
	Key     Key
	Task    int
	Attempt uint32
}

// String returns the lease id as it is sent to the upstream.
func (l Lease) String() string {
	return l.Key.String() + "/" + strconv.Itoa(l.Task) + "/" + strconv.FormatUint(uint64(l.Attempt), 10)
}
