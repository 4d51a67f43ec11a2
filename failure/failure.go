// Package failure defines the error types that sedgehatch returns.
//
// Every error that one package returns to another has one of these types, so that
// callers can handle it by its type instead of its text. The types are errorx types.
// Is checks the type of an error, and FieldOf returns the name of the field that an
// error concerns.
package failure

import (
	"github.com/joomcode/errorx"
	"github.com/samber/lo"
)

var namespace = errorx.NewNamespace("sedgehatch")

// The error types. Callers may rely on the meanings given here.
var (
	// InvalidInput means that a message or a setting is invalid; FieldOf returns
	// the name of the field.
	InvalidInput = namespace.NewType("invalid_input")
	// TooLarge means that a limit on a size or count was exceeded; FieldOf returns
	// the name of the field.
	TooLarge = namespace.NewType("too_large")
	// NotFound means that the requested item does not exist, or that the process that
	// received the request does not know of it.
	NotFound = namespace.NewType("not_found")
	// Conflict means that the request does not fit the current state, in most cases
	// because another process has changed that state before.
	Conflict = namespace.NewType("conflict")
	// Overloaded means that the work was refused because of a load limit, before any
	// of it started.
	Overloaded = namespace.NewType("overloaded")
	// Stopping means that the instance is shutting down and accepts no new work.
	Stopping = namespace.NewType("stopping")
	// NoSettings means that the instance has not received its settings yet and
	// serves no requests before it has.
	NoSettings = namespace.NewType("no_settings")
	// SessionEnded means that the session accepts no more jobs; the caller has to
	// open another one.
	SessionEnded = namespace.NewType("session_ended")
	// NeverFits means that no upstream is large enough to run the task, even when
	// idle.
	NeverFits = namespace.NewType("never_fits")
	// Unreachable means that the peer has certainly not received the message, because
	// no byte of it was sent.
	Unreachable = namespace.NewType("unreachable")
	// Lost means that no valid response to the message was received. It is unknown
	// whether the message has taken effect.
	Lost = namespace.NewType("lost")
	// Gone means that the incarnation (one execution of a process) to which the message
	// is addressed has ended.
	Gone = namespace.NewType("gone")
	// Refused means that the peer received the request and refused it.
	Refused = namespace.NewType("refused")
	// Timeout means that no response to the message arrived in time. It is unknown
	// whether the message has taken effect.
	Timeout = namespace.NewType("timeout", errorx.Timeout())
	// Protocol means that a peer sent a message that violates the protocol.
	Protocol = namespace.NewType("protocol")
	// Internal means an error in sedgehatch itself.
	Internal = namespace.NewType("internal")
	// Invariant means that a violation of one of the product's guarantees was
	// detected.
	Invariant = namespace.NewType("invariant")
)

// portable holds, by short name, the types of the errors that may be sent to another
// process, which restores them by ByCode.
var portable = lo.KeyBy([]*errorx.Type{
	InvalidInput, TooLarge, NotFound, Conflict, Overloaded, Stopping, NoSettings, SessionEnded,
	NeverFits, Unreachable, Lost, Gone, Refused, Timeout, Protocol,
}, func(t *errorx.Type) string { return shortName(t.FullName()) })

// ByCode returns the type whose short name, as returned by Code, is code. It returns false
// if there is no such type, or if errors of that type may not be sent to another process.
func ByCode(code string) (*errorx.Type, bool) {
	t, ok := portable[code]
	return t, ok
}

var fieldProperty = errorx.RegisterPrintableProperty("field")

// Field returns an error of type t that concerns the field with the given name.
func Field(t *errorx.Type, field, format string, args ...any) *errorx.Error {
	return t.New(format, args...).WithProperty(fieldProperty, field)
}

// FieldOf returns the name of the field that err concerns, or "".
func FieldOf(err error) string {
	value, ok := errorx.ExtractProperty(err, fieldProperty)
	if !ok {
		return ""
	}
	return value.(string)
}

// Is reports whether err has the type t.
func Is(err error, t *errorx.Type) bool {
	return errorx.IsOfType(err, t)
}

// Code returns the short name of err's type, such as "invalid_input". It returns
// "internal" for errors of other packages.
func Code(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return shortName(Internal.FullName())
	}
	return shortName(typed.Type().FullName())
}

// Text returns the message of err, without the name of its type that err.Error contains.
func Text(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	return typed.Message()
}

func shortName(full string) string {
	for i := len(full) - 1; i >= 0; i-- {
		if full[i] == '.' {
			return full[i+1:]
		}
	}
	return full
}
