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

// KeyHeader carries the idempotency key of a call that must not run twice.
const KeyHeader = "Idempotency-Key"

// RepeatHeader is set on an answer that was given before.
const RepeatHeader = "Savoryroad-Repeated"

// Claimer decides which calls with an idempotency key may be dispatched.
type Claimer interface {
	// Claim asks for the right to dispatch a call.
	Claim(ctx context.Context, c deduplicator.Claim) deduplicator.Verdict
	// Settle tells how a granted dispatch ended.
	Settle(key string, a deduplicator.Attempt, r deduplicator.Result)
}

// SetClaimer sets who grants calls of AtMostOnce routes; without one they are
// all refused. It is called before the first call.
func (f *Forwarder) SetClaimer(c Claimer) { f.claimer = c }

// claim is the right to dispatch one call.
type claim struct {
	deduplicator.Claim
	claimer Claimer
	// kept is the beginning of the answer's body.
	kept []byte
	// tooLong is set once the answer is longer than what is kept.
	tooLong bool
}

// runOnce carries out a call that must not run twice.
func (c *call) runOnce(ctx context.Context, w http.ResponseWriter) Outcome {
	key, ok := deduplicator.Canonical(c.request.Header.Get(KeyHeader))
	if !ok {
		return c.refuse(w, refusal{
			status: http.StatusBadRequest, outcome: NotRun,
			title:  "the call needs an " + KeyHeader + " header",
			detail: deduplicator.BadKey.String(),
		})
	}
	if c.body != nil && c.small == nil {
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
		return c.answerAgain(w, v.Result)
	case deduplicator.Pending:
		return c.refuse(w, refusal{status: http.StatusConflict, outcome: OutcomeUnknown, title: "the first call with this key is in progress", retryAfter: 1})
	case deduplicator.Refused:
		return c.refuseClaim(w, cl, v.Reason)
	}
	return c.refuseClaim(w, cl, deduplicator.Unreachable)
}

// refuseClaim answers a call that was not granted.
func (c *call) refuseClaim(w http.ResponseWriter, cl *claim, reason deduplicator.Reason) Outcome {
	f := refusal{status: http.StatusConflict, outcome: NotRun, title: "the call was not dispatched", detail: reason.String()}
	if reason.RunUnknown() {
		f.outcome = OutcomeUnknown
	}
	switch reason {
	case deduplicator.Unreachable, deduplicator.NotOwner:
		f.status, f.retryAfter = http.StatusServiceUnavailable, 1
		// The grant may be on its way; nobody will use it.
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

// answerAgain repeats the first answer, as far as it is known.
func (c *call) answerAgain(w http.ResponseWriter, r deduplicator.Result) Outcome {
	w.Header().Set(RepeatHeader, "true")
	if !r.Known {
		return c.refuse(w, refusal{status: http.StatusConflict, outcome: OutcomeUnknown, title: "the call was dispatched before, and its outcome is not known"})
	}
	outcome := c.judge(r.Status)
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
	setWriteDeadline(http.NewResponseController(w), c.forwarder.stall)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
	return outcome
}

// fingerprint tells this call from another one that carries the same key.
func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = io.WriteString(h, c.request.Method+" "+c.request.URL.RequestURI()+"\x00")
	_, _ = h.Write(c.small)
	return h.Sum64()
}

// keep remembers the beginning of the answer for repeats.
func (cl *claim) keep(p []byte) {
	if cl.tooLong = cl.tooLong || len(cl.kept)+len(p) > deduplicator.MaxBody(); !cl.tooLong {
		cl.kept = append(cl.kept, p...)
	}
}

// settle tells how the dispatch ended.
func (c *call) settle(r deduplicator.Result) {
	if c.claim != nil {
		c.claim.claimer.Settle(c.claim.Key, c.claim.Attempt, r)
	}
}

// settleAnswer tells of an answer that came whole.
func (c *call) settleAnswer(resp *http.Response, o Outcome) {
	if c.claim == nil {
		return
	}
	r := deduplicator.Result{NotRun: o == NotRun, Known: true, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	r.Cut = c.claim.tooLong
	if !r.Cut {
		r.Body = c.claim.kept
	}
	c.settle(r)
}
