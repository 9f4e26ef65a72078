package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryroad.dev/deduplicator"
)

// KeyHeader is the header with the idempotency key of an AtMostOnce call.
const KeyHeader = "Idempotency-Key"

// RepeatHeader is set on a response that refers to an earlier call with the
// same key.
const RepeatHeader = "Savoryroad-Repeated"

// Claimer decides which calls with an idempotency key may be dispatched.
type Claimer interface {
	// Claim requests permission to dispatch a call.
	Claim(ctx context.Context, c deduplicator.Claim) deduplicator.Verdict
	// Settle reports the result of a dispatch that was granted.
	Settle(key string, a deduplicator.Attempt, r deduplicator.Result)
}

// SetClaimer sets the Claimer for calls of AtMostOnce routes; without one they
// are refused. It must be called before the first call arrives.
func (f *Forwarder) SetClaimer(c Claimer) { f.claimer = c }

// claim is a claim of a call's idempotency key and the response to store for
// it.
type claim struct {
	deduplicator.Claim
	claimer Claimer
	// body is the response body, unless it is too long to be stored.
	body []byte
	// truncated is set when the response is longer than deduplicator.MaxBody.
	truncated bool
}

// runAtMostOnce processes a call of an AtMostOnce route.
func (c *call) runAtMostOnce(ctx context.Context, w http.ResponseWriter) Outcome {
	key, ok := deduplicator.Canonical(c.request.Header.Get(KeyHeader))
	if !ok {
		return c.refuse(w, refusal{
			status: http.StatusBadRequest, outcome: NotRun,
			title:  "the call needs an " + KeyHeader + " header",
			detail: deduplicator.BadKey.String(),
		})
	}
	if c.body != nil && c.smallBody == nil {
		return c.refuse(w, refusal{
			status: http.StatusRequestEntityTooLarge, outcome: NotRun,
			title: "the body is too large for a call that must not run twice, or its length is not announced",
		})
	}
	if c.forwarder.claimer == nil {
		return c.refuse(w, refusal{status: http.StatusServiceUnavailable, outcome: NotRun, title: "nobody grants such calls"})
	}
	deadline, _ := ctx.Deadline()
	cl := &claim{claimer: c.forwarder.claimer, Claim: deduplicator.Claim{
		Key:         key,
		Attempt:     deduplicator.Attempt(c.forwarder.nextAttempt()),
		Fingerprint: c.fingerprint(),
		Deadline:    deadline,
	}}
	start := time.Now()
	verdict := cl.claimer.Claim(ctx, cl.Claim)
	c.timing.claim = time.Since(start)
	switch v := verdict.(type) {
	case deduplicator.Granted:
		c.claim = cl
		return c.dispatch(ctx, w)
	case deduplicator.Repeated:
		return c.replayResponse(w, v.Result)
	case deduplicator.Pending:
		return c.refuse(w, refusal{status: http.StatusConflict, outcome: OutcomeUnknown, title: "the first call with this key is in progress", retryAfter: 1})
	case deduplicator.Refused:
		return c.refuseClaim(w, cl, v.Reason)
	}
	return c.refuseClaim(w, cl, deduplicator.Unreachable)
}

// refuseClaim writes the response to a call whose claim was refused.
func (c *call) refuseClaim(w http.ResponseWriter, cl *claim, reason deduplicator.Reason) Outcome {
	f := refusal{status: http.StatusConflict, outcome: NotRun, title: "the call was not dispatched", detail: reason.String()}
	if reason.RunUnknown() {
		f.outcome = OutcomeUnknown
	}
	switch reason {
	case deduplicator.Unreachable, deduplicator.NotOwner:
		f.status, f.retryAfter = http.StatusServiceUnavailable, 1
		// The claim may be granted after all, but this call no longer uses it.
		cl.claimer.Settle(cl.Key, cl.Attempt, deduplicator.Result{NotRun: true})
	case deduplicator.Full:
		f.status, f.retryAfter = http.StatusServiceUnavailable, 1
	case deduplicator.OtherCall:
		f.status = http.StatusUnprocessableEntity
	case deduplicator.Future, deduplicator.BadKey:
		f.status = http.StatusBadRequest
	}
	return c.refuse(w, f)
}

// replayResponse writes the stored response to an earlier call with the same
// key, or an error if none is stored.
func (c *call) replayResponse(w http.ResponseWriter, r deduplicator.Result) Outcome {
	w.Header().Set(RepeatHeader, "true")
	if !r.Known {
		return c.refuse(w, refusal{status: http.StatusConflict, outcome: OutcomeUnknown, title: "the call was dispatched before, and its outcome is not known"})
	}
	outcome := c.classify(r.Status)
	if r.Cut {
		return c.refuse(w, refusal{
			status: http.StatusConflict, outcome: outcome,
			title:  "the call was dispatched before",
			detail: "it was answered with status " + strconv.Itoa(r.Status) + "; the answer was too large to keep",
		})
	}
	h := w.Header()
	h.Set(OutcomeHeader, outcome.String())
	h.Add(TimingHeader, c.timing.header())
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	setWriteDeadline(http.NewResponseController(w), c.forwarder.stallTimeout)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
	return outcome
}

// fingerprint returns a hash of the method, the URI and the buffered body. It
// distinguishes different calls that carry the same key.
func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = io.WriteString(h, c.request.Method+" "+c.request.URL.RequestURI()+"\x00")
	_, _ = h.Write(c.smallBody)
	return h.Sum64()
}

// recordBody appends to the stored body unless that would exceed the limit.
func (cl *claim) recordBody(p []byte) {
	if cl.truncated = cl.truncated || len(cl.body)+len(p) > deduplicator.MaxBody(); !cl.truncated {
		cl.body = append(cl.body, p...)
	}
}

// settle reports the result of the dispatch to the claimer, if there is a
// claim.
func (c *call) settle(r deduplicator.Result) {
	if c.claim != nil {
		c.claim.claimer.Settle(c.claim.Key, c.claim.Attempt, r)
	}
}

// settleResponse reports a complete response to the claimer.
func (c *call) settleResponse(resp *http.Response, o Outcome) {
	if c.claim == nil {
		return
	}
	r := deduplicator.Result{NotRun: o == NotRun, Known: true, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	r.Cut = c.claim.truncated
	if !r.Cut {
		r.Body = c.claim.body
	}
	c.settle(r)
}
