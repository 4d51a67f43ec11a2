package api

import (
	"net/http"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
)

// ContentProblem is the media type of a Problem (RFC 9457).
const ContentProblem = "application/problem+json"

// problemTypePrefix is the prefix of the type URIs of problems.
const problemTypePrefix = "urn:sedgehatch:problem:"

// Problem is the body of an error answer to a caller, a problem document of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is the name of the error type, as returned by failure.Code.
	Code string `json:"code"`
	// Field is the name of the invalid field of the request, if there is one.
	Field string `json:"field,omitempty"`
	// Fate is "not_run" if it is certain that no task of the job has started or will start.
	// Otherwise it is empty.
	Fate         fate.Kind `json:"fate,omitempty"`
	RetryAfterMs uint32    `json:"retry_after_ms,omitempty"`
}

// statusByCode maps error codes to HTTP status codes.
var statusByCode = map[string]int{
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

// notRunCodes are the error codes which prove that no task has started or will start under
// the key. The codes for invalid requests are not among them: an earlier attempt under the same
// key may have been valid and have started tasks.
var notRunCodes = map[string]bool{
	failure.Code(failure.SessionEnded.NewWithNoMessage()): true,
	failure.Code(failure.Stopping.NewWithNoMessage()):     true,
}

// NewProblem returns the problem document for err.
func NewProblem(err error) *Problem {
	code := failure.Code(err)
	status, known := statusByCode[code]
	if !known {
		status = http.StatusInternalServerError
	}
	p := &Problem{
		Type: problemTypePrefix + code, Title: http.StatusText(status), Status: status,
		Detail: failure.Text(err), Code: code, Field: failure.FieldOf(err),
	}
	if notRunCodes[code] {
		p.Fate = fate.NotRun
	}
	return p
}

// Err returns the error that p describes. An unknown code becomes the type Internal.
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
