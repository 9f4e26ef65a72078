package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/deduplicator"
	"savoryroad.dev/loader"
)

// call is one call of a caller while the entry handles it. It is used by one
// goroutine.
type call struct {
	forwarder *Forwarder
	route     *route
	request   *http.Request
	requestID string
	// body is the caller's body, or nil if the call has none.
	body *requestBody
	// smallBody is the complete body if it is small enough to be sent again.
	smallBody []byte
	// started is the time at which the call arrived.
	started time.Time
	timing  timing
	// claim is the permission to dispatch a call of an AtMostOnce route; it is
	// nil for other calls.
	claim *claim
}

// timing is a breakdown of a call's latency.
type timing struct {
	// claim is the time spent on claiming the call's key from its owner.
	claim time.Duration
	// wait is the time spent in the queue for a backend server.
	wait time.Duration
	// connect is the time spent opening connections.
	connect time.Duration
	// backend is the time from the last send to the response header, without
	// the time in connect.
	backend time.Duration
}

// header returns the value of the Server-Timing header, in milliseconds.
func (t timing) header() string {
	b := make([]byte, 0, 80)
	if t.claim > 0 {
		b = append(b, "claim;dur="...)
		b = appendMillis(b, t.claim)
		b = append(b, ", "...)
	}
	b = append(b, "wait;dur="...)
	b = appendMillis(b, t.wait)
	b = append(b, ", connect;dur="...)
	b = appendMillis(b, t.connect)
	b = append(b, ", backend;dur="...)
	b = appendMillis(b, t.backend)
	return string(b)
}

func appendMillis(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d.Microseconds())/1000, 'f', -1, 64)
}

// run processes the call and returns its outcome. It writes the whole response
// to the caller, header included.
func (c *call) run(ctx context.Context, w http.ResponseWriter) Outcome {
	if c.body != nil {
		var err error
		if c.smallBody, err = c.body.readIfSmall(c.request.ContentLength); err != nil {
			return c.refuse(w, refusal{status: http.StatusBadRequest, outcome: NotRun, title: "the body broke off", detail: err.Error()})
		}
	}
	if c.blocked() {
		return c.refuseBlocked(w)
	}
	if c.route.Class == loader.AtMostOnce {
		return c.runAtMostOnce(ctx, w)
	}
	return c.dispatch(ctx, w)
}

// dispatch sends the call, with retries, and writes the response.
func (c *call) dispatch(ctx context.Context, w http.ResponseWriter) Outcome {
	c.route.service.addRetryTokens()
	var tried []*backend
	for {
		b, err := c.acquireBackend(ctx, tried)
		if err != nil {
			c.settle(deduplicator.Result{NotRun: true})
			return c.refuse(w, c.queueRefusal(ctx, err))
		}
		if slices.Contains(c.struckTargets(), b.limitName) {
			c.route.service.release(b, true)
			c.settle(deduplicator.Result{NotRun: true})
			return c.refuseBlocked(w)
		}
		tried = append(tried, b)
		res := c.send(ctx, b)
		if c.takeRetry(ctx, res, len(tried)) {
			c.discard(b, res)
			continue
		}
		switch res := res.(type) {
		case gotResponse:
			return c.respond(w, b, res)
		case noResponse:
			c.finishSend(b, res.outcome)
			c.settle(deduplicator.Result{NotRun: res.outcome == NotRun})
			return c.refuse(w, c.sendRefusal(ctx, b, res))
		}
	}
}

// acquireBackend reserves capacity at a backend, and waits for it if necessary.
func (c *call) acquireBackend(ctx context.Context, tried []*backend) (*backend, error) {
	start := time.Now()
	b, err := c.route.service.acquire(ctx, c.route.MaxWait-c.timing.wait, tried, c.struckTargets())
	c.timing.wait += time.Since(start)
	return b, err
}

// takeRetry reports whether the call may be retried, and if so takes the retry
// from the service's budget.
func (c *call) takeRetry(ctx context.Context, res sendResult, attempts int) bool {
	if attempts >= c.route.maxAttempts || ctx.Err() != nil {
		return false
	}
	if c.body != nil && c.smallBody == nil && c.body.readStarted.Load() {
		return false
	}
	if !isRetrySafe(c.route.Class, res) || c.blocked() {
		return false
	}
	return c.route.service.takeRetryToken()
}

// isRetrySafe reports whether a retry can't run a call twice that must run
// once: for every class if the call provably did not run, and for idempotent
// ones also if it failed.
func isRetrySafe(class loader.Class, res sendResult) bool {
	switch res := res.(type) {
	case gotResponse:
		return res.outcome == NotRun || class.Idempotent() && res.outcome == Failed
	case noResponse:
		return res.outcome == NotRun || class.Idempotent()
	}
	return false
}

// discard ends a send whose response isn't passed on to the caller.
func (c *call) discard(b *backend, res sendResult) {
	switch res := res.(type) {
	case gotResponse:
		_ = res.resp.Body.Close()
		c.finishSend(b, res.outcome)
	case noResponse:
		c.finishSend(b, res.outcome)
	}
}

// finishSend records the result of a send and releases the backend.
func (c *call) finishSend(b *backend, o Outcome) {
	stats := b.stats()
	stats.outcomes[o].Inc(1)
	stats.latency.Update(c.timing.backend.Microseconds())
	cancelled := c.request.Context().Err() != nil
	c.route.service.release(b, o == Answered || cancelled)
}

// respond passes a response on to the caller. If the response breaks off,
// respond aborts the caller's connection, so that the caller can't mistake it
// for a complete one.
func (c *call) respond(w http.ResponseWriter, b *backend, res gotResponse) Outcome {
	resp := res.resp
	defer resp.Body.Close()
	h := w.Header()
	copyEndToEnd(h, resp.Header)
	h.Set(OutcomeHeader, res.outcome.String())
	h[RequestIDHeader] = []string{c.requestID}
	h.Add(TimingHeader, c.timing.header())
	h.Del(LoadHeader)
	h.Del(StartHeader)
	h.Del(ColdHeader)
	setWriteDeadline(http.NewResponseController(w), c.forwarder.stallTimeout)
	w.WriteHeader(resp.StatusCode)
	_, err := copyBody(w, resp, c.forwarder.stallTimeout, c.claim)
	if err == nil {
		c.settleResponse(resp, res.outcome)
		for name, values := range resp.Trailer {
			h[http.TrailerPrefix+name] = values
		}
		c.finishSend(b, res.outcome)
		return res.outcome
	}
	c.finishSend(b, OutcomeUnknown)
	c.settle(deduplicator.Result{})
	if errors.HasType(err, callerWriteError{}) || c.request.Context().Err() != nil {
		c.recordOutcome(Cancelled)
	} else {
		c.forwarder.stats.truncated.Inc(1)
		c.recordOutcome(OutcomeUnknown)
	}
	panic(http.ErrAbortHandler)
}

// refuse writes a response of the entry's own to the caller.
func (c *call) refuse(w http.ResponseWriter, f refusal) Outcome {
	w.Header().Add(TimingHeader, c.timing.header())
	setWriteDeadline(http.NewResponseController(w), c.forwarder.stallTimeout)
	f.write(w, c.requestID)
	return f.outcome
}

// queueRefusal returns the response to a call that was never sent.
func (c *call) queueRefusal(ctx context.Context, err error) refusal {
	f := refusal{status: http.StatusServiceUnavailable, outcome: NotRun, detail: err.Error(), retryAfter: 1}
	switch {
	case errors.Is(err, errNoneInService):
		f.title = "no backend server is in service"
	case errors.Is(err, errQueueFull):
		f.title = "too many calls are waiting"
	case c.request.Context().Err() != nil:
		f.title, f.outcome = "the caller went away", Cancelled
	case ctx.Err() != nil:
		f.title, f.status = "the deadline passed before the call was sent", http.StatusGatewayTimeout
	default:
		f.title = "every backend server is busy"
	}
	return f
}

// sendRefusal returns the response to a call whose last send got no response.
func (c *call) sendRefusal(ctx context.Context, b *backend, res noResponse) refusal {
	f := refusal{
		status:  http.StatusBadGateway,
		outcome: res.outcome,
		title:   "the backend server did not answer",
		detail:  fmt.Sprintf("%s: %v", b.name, res.cause),
	}
	switch {
	case c.request.Context().Err() != nil:
		f.title, f.outcome = "the caller went away", Cancelled
	case ctx.Err() != nil:
		f.title, f.status = "the deadline passed", http.StatusGatewayTimeout
	case res.outcome == NotRun:
		f.title, f.retryAfter = "no connection to the backend server", 1
	}
	return f
}

// recordOutcome updates the service's metrics at the end of the call.
func (c *call) recordOutcome(o Outcome) {
	c.route.service.stats.outcomes[o].Inc(1)
	c.route.service.stats.wait.Update(c.timing.wait.Microseconds())
	c.route.service.stats.latency.Update(time.Since(c.started).Microseconds())
}
