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

// call is one caller's call on its way through the entry. One goroutine owns
// it.
type call struct {
	forwarder *Forwarder
	route     *route
	request   *http.Request
	requestID string
	// body is the caller's body; nil when the call has none.
	body *requestBody
	// small is the whole body, if it is small enough to be sent again.
	small []byte
	// started is when the call arrived.
	started time.Time
	timing  timing
	// claim is the right to dispatch a call that must not run twice; nil for
	// other calls.
	claim *claim
}

// timing says where the time of a call went.
type timing struct {
	// claim is the time spent asking the owner of the call's key.
	claim time.Duration
	// wait is the time spent waiting for a backend server with room.
	wait time.Duration
	// connect is the time spent opening connections.
	connect time.Duration
	// backend is the time from the last send to the answer's first byte.
	backend time.Duration
}

// header formats the timing for the Server-Timing header, in milliseconds.
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

// run carries the call out and returns what became of it. Nothing has been
// written to the caller before, and everything after.
func (c *call) run(ctx context.Context, w http.ResponseWriter) Outcome {
	if c.body != nil {
		var err error
		if c.small, err = c.body.readSmall(c.request.ContentLength); err != nil {
			return c.refuse(w, refusal{status: http.StatusBadRequest, outcome: NotRun, title: "the body broke off", detail: err.Error()})
		}
	}
	if c.isolated() {
		return c.refuseIsolated(w)
	}
	if c.route.Class == loader.AtMostOnce {
		return c.runOnce(ctx, w)
	}
	return c.dispatch(ctx, w)
}

// dispatch sends the call until it is answered or may not be sent again.
func (c *call) dispatch(ctx context.Context, w http.ResponseWriter) Outcome {
	c.route.service.earnRepeat()
	var tried []*backend
	for {
		b, err := c.wait(ctx, tried)
		if err != nil {
			c.settle(deduplicator.Result{NotRun: true})
			return c.refuse(w, c.waitRefusal(ctx, err))
		}
		if slices.Contains(c.struck(), b.limitName) {
			c.route.service.release(b, true)
			c.settle(deduplicator.Result{NotRun: true})
			return c.refuseIsolated(w)
		}
		tried = append(tried, b)
		res := c.send(ctx, b)
		if c.repeatable(ctx, res, len(tried)) {
			c.discard(b, res)
			continue
		}
		switch res := res.(type) {
		case gotAnswer:
			return c.answer(w, b, res)
		case gotNothing:
			c.finish(b, res.outcome)
			c.settle(deduplicator.Result{NotRun: res.outcome == NotRun})
			return c.refuse(w, c.sendRefusal(ctx, b, res))
		}
	}
}

// wait takes room at a backend.
func (c *call) wait(ctx context.Context, tried []*backend) (*backend, error) {
	start := time.Now()
	b, err := c.route.service.acquire(ctx, c.route.MaxWait-c.timing.wait, tried, c.struck())
	c.timing.wait += time.Since(start)
	return b, err
}

// repeatable tells whether the call may be sent once more, and takes that
// repeat from the service's budget.
func (c *call) repeatable(ctx context.Context, res sent, sends int) bool {
	if sends >= c.route.attempts || ctx.Err() != nil {
		return false
	}
	if c.body != nil && c.small == nil && c.body.touched.Load() {
		return false
	}
	if !mayRepeat(c.route.Class, res) || c.isolated() {
		return false
	}
	return c.route.service.spendRepeat()
}

// mayRepeat tells whether sending again can do no harm: always when the call
// provably did not run, and for lookups also when it failed.
func mayRepeat(class loader.Class, res sent) bool {
	switch res := res.(type) {
	case gotAnswer:
		return res.outcome == NotRun || class == loader.Lookup && res.outcome == Failed
	case gotNothing:
		return res.outcome == NotRun || class == loader.Lookup
	}
	return false
}

// discard ends a send whose answer the caller will not see.
func (c *call) discard(b *backend, res sent) {
	switch res := res.(type) {
	case gotAnswer:
		_ = res.resp.Body.Close()
		c.finish(b, res.outcome)
	case gotNothing:
		c.finish(b, res.outcome)
	}
}

// finish ends a send.
func (c *call) finish(b *backend, o Outcome) {
	stats := b.stats()
	stats.outcomes[o].Inc(1)
	stats.latency.Update(c.timing.backend.Microseconds())
	cancelled := c.request.Context().Err() != nil
	c.route.service.release(b, o == Answered || cancelled)
}

// answer passes an answer on. An answer that breaks off on the way ends the
// caller's connection, so that he can't take it for a whole one.
func (c *call) answer(w http.ResponseWriter, b *backend, res gotAnswer) Outcome {
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
	setWriteDeadline(http.NewResponseController(w), c.forwarder.stall)
	w.WriteHeader(resp.StatusCode)
	_, err := copyBody(w, resp, c.forwarder.stall, c.claim)
	if err == nil {
		c.settleAnswer(resp, res.outcome)
		for name, values := range resp.Trailer {
			h[http.TrailerPrefix+name] = values
		}
		c.finish(b, res.outcome)
		return res.outcome
	}
	c.finish(b, OutcomeUnknown)
	c.settle(deduplicator.Result{})
	if errors.HasType(err, errCallerGone{}) || c.request.Context().Err() != nil {
		c.count(Cancelled)
	} else {
		c.forwarder.stats.truncated.Inc(1)
		c.count(OutcomeUnknown)
	}
	panic(http.ErrAbortHandler)
}

// refuse answers in place of a backend server.
func (c *call) refuse(w http.ResponseWriter, f refusal) Outcome {
	w.Header().Add(TimingHeader, c.timing.header())
	setWriteDeadline(http.NewResponseController(w), c.forwarder.stall)
	f.write(w, c.requestID)
	return f.outcome
}

// waitRefusal is the answer to a call that was never sent.
func (c *call) waitRefusal(ctx context.Context, err error) refusal {
	f := refusal{status: http.StatusServiceUnavailable, outcome: NotRun, detail: err.Error(), retryAfter: 1}
	switch {
	case errors.Is(err, errNoTarget):
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

// sendRefusal is the answer to a call whose last send brought nothing back.
func (c *call) sendRefusal(ctx context.Context, b *backend, res gotNothing) refusal {
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

// count counts how the call ended.
func (c *call) count(o Outcome) {
	c.route.service.stats.outcomes[o].Inc(1)
	c.route.service.stats.wait.Update(c.timing.wait.Microseconds())
	c.route.service.stats.latency.Update(time.Since(c.started).Microseconds())
}
