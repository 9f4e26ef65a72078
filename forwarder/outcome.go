package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome says what is known of a call's run at a backend server.
type Outcome int

// The outcomes.
const (
	// Answered means that the caller has the backend server's own answer.
	Answered Outcome = iota
	// NotRun means that the call provably reached no handler.
	NotRun
	// Failed means that the handler ran and answered with a server error.
	Failed
	// OutcomeUnknown means that the handler may have run.
	OutcomeUnknown // Unknown
	// Cancelled means that the caller went away first.
	Cancelled
)

// Headers of the entry's own.
const (
	// OutcomeHeader carries the Outcome on every answer.
	OutcomeHeader = "Savoryroad-Outcome"
	// TimeoutHeader carries the time left, in whole milliseconds. Callers may
	// shorten the route's deadline by it, backend servers learn it from it.
	TimeoutHeader = "Savoryroad-Timeout-Ms"
	// RequestIDHeader carries the id by which a call is found in logs.
	RequestIDHeader = "X-Request-Id"
	// TimingHeader says where the time of a call went.
	TimingHeader = "Server-Timing"
)

const problemType = "application/problem+json"

// Problem is the body of an answer that the entry gives itself (RFC 9457).
type Problem struct {
	// Title says what happened.
	Title string `json:"title"`
	// Status repeats the HTTP status.
	Status int `json:"status"`
	// Detail says more, where there is more to say.
	Detail string `json:"detail,omitempty"`
	// Outcome is the name of the call's Outcome.
	Outcome string `json:"outcome"`
	// RequestID repeats the call's id.
	RequestID string `json:"requestId"`
}

// refusal is an answer that the entry gives in place of a backend server.
type refusal struct {
	status  int
	outcome Outcome
	title   string
	detail  string
	// retryAfter asks the caller to wait, in seconds; 0 asks nothing.
	retryAfter int
}

// write answers the call, whose headers must not have been written yet.
func (f refusal) write(w http.ResponseWriter, requestID string) {
	body, _ := json.Marshal(Problem{
		Title:     f.title,
		Status:    f.status,
		Detail:    f.detail,
		Outcome:   f.outcome.String(),
		RequestID: requestID,
	})
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(OutcomeHeader, f.outcome.String())
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(f.retryAfter))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(body)
}
