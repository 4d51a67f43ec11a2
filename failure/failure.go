// Package failure is the closed set of error types that sedgehatch returns.
//
// Every error that leaves a package has one of these types, so that a caller
// can decide by type and never by text. The types are errorx types; test them
// with Is, and read the offending field with FieldOf.
package failure

import (
	"github.com/joomcode/errorx"
	"github.com/samber/lo"
)

var namespace = errorx.NewNamespace("sedgehatch")

// The error types, each with the meaning that callers may rely on.
var (
	// InvalidInput means that a message or a setting is wrong; FieldOf names it.
	InvalidInput = namespace.NewType("invalid_input")
	// TooLarge means that a limit on size or count was passed; FieldOf names it.
	TooLarge = namespace.NewType("too_large")
	// NotFound means that the named thing does not exist here.
	NotFound = namespace.NewType("not_found")
	// Conflict means that somebody else changed the thing first.
	Conflict = namespace.NewType("conflict")
	// Overloaded means that the work was refused before any of it started.
	Overloaded = namespace.NewType("overloaded")
	// Stopping means that this instance takes no new work.
	Stopping = namespace.NewType("stopping")
	// NoSettings means that this instance knows no settings yet, and serves
	// nothing before it does.
	NoSettings = namespace.NewType("no_settings")
	// SessionEnded means that the session takes no more jobs; open another.
	SessionEnded = namespace.NewType("session_ended")
	// NeverFits means that no upstream could ever run the task.
	NeverFits = namespace.NewType("never_fits")
	// Unreachable means that the peer got nothing: no byte of the message left.
	Unreachable = namespace.NewType("unreachable")
	// Lost means that the message may or may not have taken effect.
	Lost = namespace.NewType("lost")
	// Gone means that the incarnation that was meant has ended.
	Gone = namespace.NewType("gone")
	// Refused means that the peer answered with a typed refusal.
	Refused = namespace.NewType("refused")
	// Timeout means that the wait ended first; the effect is not known.
	Timeout = namespace.NewType("timeout", errorx.Timeout())
	// Protocol means that a peer sent something that the protocol forbids.
	Protocol = namespace.NewType("protocol")
	// Internal means a fault of sedgehatch itself.
	Internal = namespace.NewType("internal")
	// Invariant means that one of the product's promises was seen broken.
	Invariant = namespace.NewType("invariant")
)

// portable are the types that pass between processes unchanged.
var portable = lo.KeyBy([]*errorx.Type{
	InvalidInput, TooLarge, NotFound, Conflict, Overloaded, Stopping, NoSettings, SessionEnded,
	NeverFits, Unreachable, Lost, Gone, Refused, Timeout, Protocol,
}, func(t *errorx.Type) string { return shortName(t.FullName()) })

// ByCode returns the type with the short name code, as Code gives it.
func ByCode(code string) (*errorx.Type, bool) {
	t, known := portable[code]
	return t, known
}

var fieldProperty = errorx.RegisterPrintableProperty("field")

// Field returns an error of type t about the named field.
func Field(t *errorx.Type, field, format string, args ...any) *errorx.Error {
	return t.New(format, args...).WithProperty(fieldProperty, field)
}

// FieldOf returns the name of the field that err is about, or "".
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

// Code returns the short name of err's type, such as "invalid_input".
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
