package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// LoadHeader is the response header by which a backend server may report the
// number of its calls in flight.
const LoadHeader = "Savoryroad-Load"

// StartHeader is the response header by which a backend server may report an id
// of its process. A new id means that the server was restarted and is cold.
const StartHeader = "Savoryroad-Start"

// ColdHeader is the response header by which a backend server may report, with
// the value "true", that it is in cold start.
const ColdHeader = "Savoryroad-Cold"

// targetReport is the state that a backend server reports in a response header.
type targetReport struct {
	// load is the number of calls in flight, or -1 if not reported.
	load int
	// startID identifies the server's process; it is empty if not reported.
	startID string
	// cold is set if the server reports that it is in cold start.
	cold bool
}

func parseReport(h http.Header) targetReport {
	r := targetReport{load: -1, startID: h.Get(StartHeader), cold: h.Get(ColdHeader) == "true"}
	if load, err := strconv.Atoi(h.Get(LoadHeader)); err == nil && load >= 0 {
		r.load = load
	}
	return r
}

// sendResult is the result of one send: gotResponse or noResponse.
type sendResult interface{ sendResult() }

// gotResponse is a response whose header was received and whose body is yet to
// be read.
type gotResponse struct {
	resp *http.Response
	// outcome is Answered, Failed, or NotRun for a status by which the
	// backend server refuses calls.
	outcome Outcome
}

// noResponse means that no response header was received.
type noResponse struct {
	// outcome is NotRun or OutcomeUnknown.
	outcome Outcome
	cause   error
}

func (gotResponse) sendResult() {}
func (noResponse) sendResult()  {}

// emptyBody is an empty body that isn't http.NoBody. With it the transport
// sends a request only once, regardless of its method and headers. Otherwise
// the transport would retry lookups beyond the retry budget, and purchases
// because they have an Idempotency-Key.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// send sends the call to a backend once and waits for the response header.
func (c *call) send(ctx context.Context, b *backend) sendResult {
	start := time.Now()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected = true
		if !info.Reused {
			c.timing.connect += time.Since(start)
		}
	}}
	req := c.outgoingRequest(httptrace.WithClientTrace(ctx, trace), b)
	resp, err := b.transport(c.route.Class).RoundTrip(req)
	c.timing.backend = time.Since(start) - c.timing.connect
	if err != nil {
		// Without a connection the call can't have reached the backend server.
		// With one it may have been sent, even if the transport returned an
		// error.
		outcome := NotRun
		if connected {
			outcome = OutcomeUnknown
		}
		if ctx.Err() == nil {
			c.route.service.recordFailure(b)
			if connected {
				c.addStrike(b)
			}
		}
		return noResponse{outcome: outcome, cause: err}
	}
	c.clearStrikes()
	outcome := c.classify(resp.StatusCode)
	c.route.service.recordResponse(b, parseReport(resp.Header), outcome == Answered)
	return gotResponse{resp: resp, outcome: outcome}
}

// classify returns the outcome that a status code stands for.
func (c *call) classify(status int) Outcome {
	switch {
	case slices.Contains(c.route.notRunStatuses, status):
		return NotRun
	case status >= http.StatusInternalServerError:
		return Failed
	default:
		return Answered
	}
}

// outgoingRequest returns the request to a backend.
func (c *call) outgoingRequest(ctx context.Context, b *backend) *http.Request {
	r := c.request
	deadline, _ := ctx.Deadline()
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: b.target.Address.String(), Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        outgoingHeader(r, c.requestID, time.Until(deadline)),
		Host:          r.Host,
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
	}
	switch {
	case c.smallBody != nil:
		req.Body = io.NopCloser(bytes.NewReader(c.smallBody))
	case c.body != nil:
		req.Body = c.body
	default:
		req.Body = emptyBody{}
	}
	return req.WithContext(ctx)
}
