package api

import (
	"net/http"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
)

// ContentProblem is the media type of a Problem (RFC 9457).
const ContentProblem = "application/problem+json"

// problemBase is the prefix of the type URIs of problems.
const problemBase = "urn:sedgehatch:problem:"

// Problem is a typed error as callers get it, after RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is the short name of the type.
	Code string `json:"code"`
	// Field names what is wrong in the request, where something is.
	Field string `json:"field,omitempty"`
	// Fate is "not_run" where nothing started, or ever will, under the key.
	Fate         fate.Kind `json:"fate,omitempty"`
	RetryAfterMs uint32    `json:"retry_after_ms,omitempty"`
}

// statusOf gives the HTTP status for each error code.
var statusOf = map[string]int{
	failure.Code(failure.InvalidInput.NewWithNoMessage()): http.StatusBadRequest,
	failure.Code(failure.TooLarge.NewWithNoMessage()):     http.StatusRequestEntityTooLarge,
	failure.Code(failure.NotFound.NewWithNoMessage()):     http.StatusNotFound,
	failure.Code(failure.Conflict.NewWithNoMessage()):     http.StatusConflict,
	failure.Code(failure.SessionEnded.NewWithNoMessage()): http.StatusGone,
	failure.Code(failure.Overloaded.NewWithNoMessage()):   http.StatusTooManyRequests,
	failure.Code(failure.NeverFits.NewWithNoMessage()):    http.StatusUnprocessableEntity,
	failure.Code(failure.Stopping.NewWithNoMessage()):     http.StatusServiceUnavailable,
	failure.Code(failure.NoSettings.NewWithNoMessage()):   http.StatusServiceUnavailable,
	failure.Code(failure.Unreachable.NewWithNoMessage()):  http.StatusServiceUnavailable,
	failure.Code(failure.Timeout.NewWithNoMessage()):      http.StatusGatewayTimeout,
}

// notRun lists the codes that prove that nothing started, or will, under the
// key. A wrong request proves nothing: an earlier attempt may have been right.
var notRun = map[string]bool{
	failure.Code(failure.SessionEnded.NewWithNoMessage()): true,
	failure.Code(failure.Stopping.NewWithNoMessage()):     true,
}

// NewProblem returns err as callers get it.
func NewProblem(err error) *Problem {
	code := failure.Code(err)
	status, known := statusOf[code]
	if !known {
		status = http.StatusInternalServerError
	}
	p := &Problem{
		Type: problemBase + code, Title: http.StatusText(status), Status: status,
		Detail: failure.Text(err), Code: code, Field: failure.FieldOf(err),
	}
	if notRun[code] {
		p.Fate = fate.NotRun
	}
	return p
}

// Err returns the error that p stands for, with its type.
func (p *Problem) Err() error {
	t, known := failure.ByCode(p.Code)
	if !known {
		t = failure.Internal
	}
	if p.Field == "" {
		return t.New("%s", p.Detail)
	}
	return failure.Field(t, p.Field, "%s", p.Detail)
}
