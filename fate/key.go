package fate

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/sedgehatch/sedgehatch/failure"
)

// Incarnation names one run of one instance, as "instance.boot". A restarted
// instance is another incarnation, which knows nothing of the one before.
type Incarnation string

// Instance returns the name of the instance without the boot id.
func (i Incarnation) Instance() string {
	name, _, _ := cutLast(string(i), '.')
	return name
}

// LogID names a permit log. Its two members never change. An empty Witness is
// a log of one, which an instance that is alone keeps by itself.
type LogID struct {
	Home    Incarnation
	Witness Incarnation
	Number  uint64
}

// String returns the id as it stands in a session token.
func (l LogID) String() string {
	return string(l.Home) + "~" + string(l.Witness) + "~" + strconv.FormatUint(l.Number, 10)
}

// Session is the token that a caller gets with a session. It names the log, so
// that every entry finds home and witness from the token alone.
type Session string

// maxSessionLength bounds a token, in bytes.
const maxSessionLength = 300

// NewSession makes the token of a caller's session in log, told apart by id.
// The caller's name must not hold '~', the id neither that nor '.'.
func NewSession(log LogID, caller, id string) Session {
	return Session(log.String() + "~" + caller + "." + id)
}

// Caller returns the name of the caller who opened the session.
func (s Session) Caller() string {
	_, last, _ := cutLast(string(s), '~')
	caller, _, _ := cutLast(last, '.')
	return caller
}

// Log returns the log that the session belongs to, or an InvalidInput error.
func (s Session) Log() (LogID, error) {
	if len(s) > maxSessionLength {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "is longer than %d bytes", maxSessionLength)
	}
	parts := strings.Split(string(s), "~")
	if len(parts) != 4 || parts[3] == "" {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "is not a session token")
	}
	if !validIncarnation(parts[0]) || (parts[1] != "" && !validIncarnation(parts[1])) {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "names no instance")
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || strconv.FormatUint(number, 10) != parts[2] {
		return LogID{}, failure.Field(failure.InvalidInput, "session", "has a bad log number")
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

// Key names one submission. A job that is repeatable may be submitted again as
// the next Generation, which is a submission of its own with its own fate.
type Key struct {
	Session    Session
	Sequence   uint64
	Generation uint32
}

// String returns "session/sequence/generation".
func (k Key) String() string {
	return string(k.Session) + "/" + strconv.FormatUint(k.Sequence, 10) + "/" + strconv.FormatUint(uint64(k.Generation), 10)
}

// compareKeys orders keys, so that what is done for many is done in one order.
func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Session, b.Session),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Generation, b.Generation),
	)
}

// Lease names one permitted start of one task of a submission at an upstream.
// It is the primary key of the work at the place where the work happens.
type Lease struct {
	Key     Key
	Task    int
	Attempt uint32
}

// String returns the lease id that the upstream sees.
func (l Lease) String() string {
	return l.Key.String() + "/" + strconv.Itoa(l.Task) + "/" + strconv.FormatUint(uint64(l.Attempt), 10)
}
