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

// LoadHeader is the header by which a backend server may report, on each
// answer, how many calls it has in flight.
const LoadHeader = "Savoryroad-Load"

// StartHeader is the header by which a backend server may name its run. A new
// name means that it started anew, and is cold.
const StartHeader = "Savoryroad-Start"

// ColdHeader is the header by which a backend server may say, with "true",
// that it is in cold start.
const ColdHeader = "Savoryroad-Cold"

// report is what a backend server says of itself on an answer.
type report struct {
	// load is the number of calls in flight, or -1 when it does not say.
	load int
	// start names its run; empty when it does not say.
	start string
	// cold is set when it says that it is in cold start.
	cold bool
}

func parseReport(h http.Header) report {
	r := report{load: -1, start: h.Get(StartHeader), cold: h.Get(ColdHeader) == "true"}
	if load, err := strconv.Atoi(h.Get(LoadHeader)); err == nil && load >= 0 {
		r.load = load
	}
	return r
}

// sent is what became of one send: gotAnswer or gotNothing.
type sent interface{ sent() }

// gotAnswer holds the beginning of an answer, whose body is still to come.
type gotAnswer struct {
	resp *http.Response
	// outcome is Answered, Failed, or NotRun for a status by which the
	// backend server refuses calls.
	outcome Outcome
}

// gotNothing says that no answer began.
type gotNothing struct {
	// outcome is NotRun or OutcomeUnknown.
	outcome Outcome
	cause   error
}

func (gotAnswer) sent()  {}
func (gotNothing) sent() {}

// emptyBody is a body without bytes that is not http.NoBody. The transport
// sends a request that has one on a single connection only, whatever its
// method and headers. It would otherwise repeat lookups beyond their budget,
// and purchases because they carry an Idempotency-Key.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// send sends the call to a backend once and waits for the answer's headers.
func (c *call) send(ctx context.Context, b *backend) sent {
	start := time.Now()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected = true
		if !info.Reused {
			c.timing.connect += time.Since(start)
		}
	}}
	req := c.outgoing(httptrace.WithClientTrace(ctx, trace), b)
	resp, err := b.transport(c.route.Class).RoundTrip(req)
	c.timing.backend = time.Since(start) - c.timing.connect
	if err != nil {
		// Without a connection nothing can have reached the backend server.
		// With one the headers may be on their way even after an error.
		outcome := NotRun
		if connected {
			outcome = OutcomeUnknown
		}
		if ctx.Err() == nil {
			c.route.service.failed(b)
			if connected {
				c.broke(b)
			}
		}
		return gotNothing{outcome: outcome, cause: err}
	}
	c.heldUp()
	outcome := c.judge(resp.StatusCode)
	c.route.service.answered(b, parseReport(resp.Header), outcome == Answered)
	return gotAnswer{resp: resp, outcome: outcome}
}

// judge tells what a status says of the handler's run.
func (c *call) judge(status int) Outcome {
	switch {
	case slices.Contains(c.route.notRunStatuses, status):
		return NotRun
	case status >= http.StatusInternalServerError:
		return Failed
	default:
		return Answered
	}
}

// outgoing returns the request towards a backend.
func (c *call) outgoing(ctx context.Context, b *backend) *http.Request {
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
	case c.small != nil:
		req.Body = io.NopCloser(bytes.NewReader(c.small))
	case c.body != nil:
		req.Body = c.body
	default:
		req.Body = emptyBody{}
	}
	return req.WithContext(ctx)
}
