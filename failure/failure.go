// Package failure defines the error types that sedgehatch returns.
//
// Every error that a package returns to another has one of these types, so that
// callers handle errors by type and not by text. The types are errorx types; check
// them with Is, and get the name of an invalid field with FieldOf.
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
	// NotFound means that the requested item does not exist, or is not known to the
	// process that was asked.
	NotFound = namespace.NewType("not_found")
	// Conflict means that the request contradicts the current state, in most cases
	// because another process has changed the state first.
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
	// Unreachable means that the peer did not receive the message: no byte of it
	// was sent.
	Unreachable = namespace.NewType("unreachable")
	// Lost means that no valid answer to the message was received; the message may
	// or may not have taken effect.
	Lost = namespace.NewType("lost")
	// Gone means that the incarnation to which the message is addressed has ended.
	Gone = namespace.NewType("gone")
	// Refused means that the peer received the request and refused it.
	Refused = namespace.NewType("refused")
	// Timeout means that no answer arrived in time; it is unknown whether the
	// message has taken effect.
	Timeout = namespace.NewType("timeout", errorx.Timeout())
	// Protocol means that a peer sent a message that violates the protocol.
	Protocol = namespace.NewType("protocol")
	// Internal means an error in sedgehatch itself.
	Internal = namespace.NewType("internal")
	// Invariant means that a violation of one of the product's guarantees was
	// detected.
	Invariant = namespace.NewType("invariant")
)

// portable holds the types that keep their identity when sent to another process, by
// short name.
var portable = lo.KeyBy([]*errorx.Type{
	InvalidInput, TooLarge, NotFound, Conflict, Overloaded, Stopping, NoSettings, SessionEnded,
	NeverFits, Unreachable, Lost, Gone, Refused, Timeout, Protocol,
}, func(t *errorx.Type) string { return shortName(t.FullName()) })

// ByCode returns the type with the given short name, as returned by Code, and whether
// there is one that can be sent to another process.
func ByCode(code string) (*errorx.Type, bool) {
	t, ok := portable[code]
	return t, ok
}

var fieldProperty = errorx.RegisterPrintableProperty("field")

// Field returns an error of type t that concerns the named field.
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

// Is reports whether err has type t.
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

// Text returns the message of err without its type.
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
