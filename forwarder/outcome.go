package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome tells whether a call ran at a backend server, as far as the entry
// knows.
type Outcome int

// The outcomes.
const (
	// Answered means that the caller got the backend server's response, without
	// a server error.
	Answered Outcome = iota
	// NotRun means that the call provably did not run.
	NotRun
	// Failed means that the call ran and the response was a server error.
	Failed
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown // Unknown
	// Cancelled means that the caller disconnected before the call ended.
	Cancelled
)

// Headers of the entry's own.
const (
	// OutcomeHeader carries the Outcome of each response.
	OutcomeHeader = "Savoryroad-Outcome"
	// TimeoutHeader carries the remaining time in milliseconds. A caller may
	// use it to shorten the route's deadline; the entry sets it for backend
	// servers.
	TimeoutHeader = "Savoryroad-Timeout-Ms"
	// RequestIDHeader carries the id of the call for correlation of logs.
	RequestIDHeader = "X-Request-Id"
	// TimingHeader carries the breakdown of the call's latency.
	TimingHeader = "Server-Timing"
)

const problemType = "application/problem+json"

// Problem is the body of a response that the entry itself generates (RFC 9457).
type Problem struct {
	// Title summarizes the problem.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains the problem, if there is more to say than in Title.
	Detail string `json:"detail,omitempty"`
	// Outcome is the name of the call's Outcome.
	Outcome string `json:"outcome"`
	// RequestID is the id of the call.
	RequestID string `json:"requestId"`
}

// refusal is a response that the entry itself generates.
type refusal struct {
	status  int
	outcome Outcome
	title   string
	detail  string
	// retryAfter is the value of the Retry-After header in seconds; 0 omits it.
	retryAfter int
}

// write sends the refusal. The response header must not have been written yet.
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
