package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/allotter"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/promoter"
	"savoryroad.dev/router"
	"savoryroad.dev/transporter"
)

const (
	// defaultWorkFraction is the processing time assumed for a route until it
	// has been measured, as a fraction of the route's objective.
	defaultWorkFraction = 0.4
	// hedgeFactor times the expected response time is the delay before a hedge.
	hedgeFactor = 1.5
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 30 * time.Millisecond
	// deadlineMargin is subtracted from the deadline that the target is given,
	// so that its answer still reaches the caller in time.
	deadlineMargin = 5 * time.Millisecond
)

// call is one request of a caller, with all of its attempts.
type call struct {
	g       *Gateway
	route   *router.Active
	service *service
	request transporter.Request
	// caller is the caller's IP address.
	caller netip.Addr
	// fingerprints returns the fingerprints of the request, which it computes once.
	fingerprints func() fingerprints
	// body is the part of the request's body that is still to be read from the
	// caller; nil if the whole body is in request.
	body    *streamedBody
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// patience is the time that the caller said it would wait; 0 if it did not.
	patience time.Duration
	// tried are the targets of earlier attempts, which are not selected again.
	tried []*placer.Target
	// sends counts the attempts, including those that never reached a target.
	sends int
	// mayHaveRun is set once an attempt ends without proof that the request did
	// not run.
	mayHaveRun bool
	// inFlight counts the attempts under way.
	inFlight int
	// organisation is the one that the caller belongs to, or the zero value if the caller
	// needs no key and presents none.
	organisation router.Organisation
	// token is what the call has of the organisation's quota.
	token allotter.Token
	// version is the version of the configuration that matched the route.
	version router.Version
	// probeRounds counts the attempts to select a target; probesAnswered counts
	// the targets that answered their health checks in time.
	probeRounds, probesAnswered int
	// assigned is the assignment of the latest selection to a version; nil while the
	// service isn't moved to a new one.
	assigned *promoter.Ticket
	// attempts holds the log record of each attempt.
	attempts []*attempt
}

// callResult is the result of a call: answered, refused or failed.
type callResult interface{ callResult() }

// answered is a target's answer, to be forwarded to the caller.
type answered struct {
	answer *transporter.Answer
	target *placer.Target
	ticket *promoter.Ticket
}

// refused reports that the request did not run and will not run later.
type refused struct {
	// retryAfter is the delay after which the caller may retry.
	retryAfter time.Duration
	reason     string
	// ahead is the number of waiting requests that went first, and rate how many
	// requests per second got a target lately.
	ahead int
	rate  float64
	// earliestAnswer is the shortest response time expected of the probed
	// targets; 0 if no target was probed.
	earliestAnswer time.Duration
}

// failed reports that there is no answer and that the request may have run.
type failed struct {
	status int
	reason string
}

func (answered) callResult() {}
func (refused) callResult()  {}
func (failed) callResult()   {}

// attemptResult is the result of one attempt at a target.
type attemptResult struct {
	target *placer.Target
	answer *transporter.Answer
	// notRun is set when the request provably did not run at the target.
	notRun bool
	// sent is unset only when no byte of the request was sent.
	sent bool
	err  error
	// ticket is held until the answer has been read.
	ticket *promoter.Ticket
}

// success reports whether the target ran the request and answered with a status
// below 500.
func (r attemptResult) success() bool {
	return r.answer != nil && !r.notRun && r.answer.Status < http.StatusInternalServerError
}

// discard frees the answer, if any, which is not forwarded.
func (r attemptResult) discard() {
	if r.answer != nil {
		r.answer.Finish(false)
	}
	r.ticket.Leave()
}

// demand returns what the call requires of a target.
func (c *call) demand(now time.Time) placer.Demand {
	return placer.Demand{
		Route:     c.route.Name,
		Objective: c.arrived.Add(c.route.Objective).Sub(now),
		Deadline:  c.g.callsEndBy(c.deadline).Sub(now),
		KiB:       float64(len(c.request.Body))/1024 + 1,
		Work:      time.Duration(defaultWorkFraction * float64(c.route.Objective)),
		Tried:     c.tried,
		Cohort:    c.assigned.Cohort(),
	}
}

// work returns a demand of which only the work is stated.
func (c *call) work() placer.Demand {
	return placer.Demand{Route: c.route.Name, Deadline: c.route.Timeout, Work: time.Duration(defaultWorkFraction * float64(c.route.Objective))}
}

// run sends the call to targets until one answers, the call can't be retried or
// its deadline passes.
func (c *call) run(ctx context.Context) callResult {
	c.service.budget.Request(c.arrived)
	if c.request.Rest != nil {
		c.body = &streamedBody{source: c.request.Rest}
		c.request.Rest, _ = c.body.take()
	}
	results := make(chan attemptResult)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer context.AfterFunc(c.g.calls, cancel)()

	sel, refusal := c.selectTarget(ctx)
	if refusal != nil {
		return refusal
	}
	hedge := time.NewTimer(c.hedgeDelay(sel))
	defer hedge.Stop()
	c.startAttempt(ctx, sel, results, false)
	var last attemptResult
	defer func() { last.discard() }()
	for {
		select {
		case r := <-results:
			c.inFlight--
			c.recordAttempt(r)
			if r.success() {
				return answered{answer: r.answer, target: r.target, ticket: r.ticket}
			}
			c.mayHaveRun = c.mayHaveRun || !r.notRun
			if r.notRun {
				r.discard()
			} else if r.answer != nil {
				last.discard()
				last = r
			}
			if c.inFlight > 0 {
				continue
			}
			if !c.canRetry(r) || !c.retry(ctx, r, results) {
				final := c.finalResult(last, r)
				last = attemptResult{}
				return final
			}
		case <-hedge.C:
			c.hedge(ctx, results)
		case <-ctx.Done():
			if c.inFlight == 0 && !c.mayHaveRun {
				return refused{reason: "deadline exceeded", retryAfter: retryAfter(0)}
			}
			reason := "no answer in time"
			if c.g.calls.Err() != nil {
				reason = "no answer before the entry stopped"
			}
			return failed{status: http.StatusGatewayTimeout, reason: reason}
		}
	}
}

// recordAttempt completes the log record of an attempt and counts the attempt.
func (c *call) recordAttempt(r attemptResult) {
	for _, a := range c.attempts {
		if a.target == r.target.Name && a.duration == 0 {
			a.duration, a.result = time.Since(c.arrived)-a.startOffset, r.label()
			c.service.countAttempt(a)
			return
		}
	}
}

// canRetry reports whether the call may be sent to another target. A call that
// may have run is retried only if its route is idempotent, and one with a streamed
// body only if none of that body has been read: a further target would get a
// truncated one. A call that crashes targets is not retried. The route's limit on
// attempts doesn't apply after an attempt of which no byte was sent.
func (c *call) canRetry(r attemptResult) bool {
	if _, blocked := c.refuseBlocked(); blocked {
		return false
	}
	if c.mayHaveRun && !c.route.Class.Idempotent() {
		return false
	}
	if r.sent && c.sends >= max(1, c.route.MaxAttempts) {
		return false
	}
	if c.body != nil {
		rest, ok := c.body.take()
		c.request.Rest = rest
		return ok
	}
	return true
}

// retry sends the call to another target. It returns false if the retry budget or the
// organisation's quota is used up or no target has capacity. An attempt of which no byte was sent is
// retried outside the budget.
func (c *call) retry(ctx context.Context, r attemptResult, results chan<- attemptResult) bool {
	if r.sent && !c.service.budget.Repair(time.Now()) {
		return false
	}
	if c.mayHaveRun && !c.takeFurther(ctx, quotaWait(c.route)) {
		return false
	}
	sel, v := c.selectTarget(ctx)
	if v != nil {
		return false
	}
	c.startAttempt(ctx, sel, results, false)
	return true
}

// hedge sends an idempotent call whose answer is late to a second target, within the
// service's retry budget and the organisation's quota.
func (c *call) hedge(ctx context.Context, results chan<- attemptResult) {
	if !c.route.Class.Idempotent() || c.inFlight != 1 || c.sends >= c.route.MaxAttempts || c.body != nil {
		return
	}
	if _, blocked := c.refuseBlocked(); blocked {
		return
	}
	if c.service.level != nil && c.service.level.Pressed(time.Now()) {
		return // first attempts need the room that a hedge would take
	}
	if _, onTime := c.service.admitter.Len(time.Now()); onTime > 0 {
		return // first attempts wait for the room that a hedge would take
	}
	sel, ok := c.trySelectTarget(ctx, false, time.Now())
	if !ok {
		return
	}
	if !c.service.budget.Hedge(time.Now()) || !c.takeFurther(ctx, hedgeQuotaWait) {
		c.service.placer.Finish(sel.choice.Target, placer.Result{}, time.Now())
		sel.conn.Release()
		sel.ticket.Leave()
		return
	}
	c.startAttempt(ctx, sel, results, true)
}

// hedgeDelay returns how long the first target has to answer before the call is
// hedged.
func (c *call) hedgeDelay(sel selection) time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(sel.choice.Expected)))
}

// finalResult returns the result of a call that is not retried. Last is the last
// attempt that ran and was answered, if any; latest is the one that ended last.
func (c *call) finalResult(last, latest attemptResult) callResult {
	switch {
	case last.answer != nil:
		return answered{answer: last.answer, target: last.target, ticket: last.ticket}
	case !c.mayHaveRun:
		return refused{reason: "targets refused", retryAfter: retryAfter(0)}
	default:
		reason := "target broke off"
		if latest.err != nil {
			reason += ": " + latest.err.Error()
		}
		return failed{status: http.StatusBadGateway, reason: reason}
	}
}

// selection is a selected target with a leased connection to it.
type selection struct {
	choice placer.Choice
	conn   *transporter.Conn
	// ticket is the assignment to a version.
	ticket *promoter.Ticket
}

// trySelectTarget selects a target of the version that the attempt is assigned to. An
// attempt for which a new version has no target goes to the old one. A call that yields
// leaves the room beyond the saturation of targets to others.
func (c *call) trySelectTarget(ctx context.Context, yields bool, now time.Time) (selection, bool) {
	ticket := c.service.gate.Load().Assign(c.sends > 0)
	c.assigned = ticket
	sel, ok := c.tryCohort(ctx, yields, now)
	if !ok && ticket.FallBack() {
		sel, ok = c.tryCohort(ctx, yields, time.Now())
	}
	if !ok {
		ticket.Leave()
		return sel, false
	}
	sel.ticket = ticket
	return sel, true
}

// tryCohort probes targets in the entry's data centre and chooses one. If
// none of them costs at most placer.Good, it also probes targets in other data
// centres. It returns false if no target has capacity.
func (c *call) tryCohort(ctx context.Context, yields bool, now time.Time) (selection, bool) {
	s := c.service
	d := c.demand(now)
	d.Yields = yields
	var buf [max(nearProbes, farProbes)]*placer.Target
	candidates := c.g.probeTargets(ctx, s, s.placer.Candidates(buf[:0], d, placer.Near, nearProbes, now))
	choice := s.placer.Choose(targetsOf(candidates), d, time.Now())
	if choice.Target == nil || choice.Cost > placer.Good {
		candidates = append(candidates, c.g.probeTargets(ctx, s, s.placer.Candidates(buf[:0], d, placer.Far, farProbes, now))...)
		choice = s.placer.Choose(targetsOf(candidates), d, time.Now())
	}
	c.probeRounds++
	c.probesAnswered += len(candidates)
	sel := selection{choice: choice}
	for _, cand := range candidates {
		if cand.target == choice.Target && ctx.Err() == nil && s.placer.Start(cand.target, time.Now()) {
			sel.conn = cand.conn
			continue
		}
		cand.conn.Release()
	}
	return sel, sel.conn != nil
}

func targetsOf(candidates []candidate) []*placer.Target {
	targets := make([]*placer.Target, len(candidates))
	for i, cand := range candidates {
		targets[i] = cand.target
	}
	return targets
}

// startAttempt sends the call to a target in the background. The result is sent
// to results, or dropped if the call ends first.
func (c *call) startAttempt(ctx context.Context, sel selection, results chan<- attemptResult, hedge bool) {
	c.attempts = append(c.attempts, &attempt{
		target: sel.choice.Target.Name, far: sel.choice.Far, load: sel.choice.Load, loadAge: sel.choice.LoadAge,
		expected: sel.choice.Expected, startOffset: time.Since(c.arrived), hedge: hedge, result: "under way",
	})
	c.tried = append(c.tried, sel.choice.Target)
	c.inFlight++
	c.sends++
	sel.ticket.Send()
	request := c.request
	request.Header = c.request.Header.Clone()
	platform.Address(request.Header, string(sel.choice.Target.Name), time.Until(c.deadline)-deadlineMargin)
	go func() {
		r := c.sendAttempt(ctx, sel, request)
		select {
		case results <- r:
		case <-ctx.Done():
			r.discard()
		}
	}()
}

// sendAttempt sends the call to a target, waits for its answer and reports the
// result to the placer.
func (c *call) sendAttempt(ctx context.Context, sel selection, request transporter.Request) attemptResult {
	t, sentAt := sel.choice.Target, time.Now()
	watch := c.watchSilence(t)
	a, err := sel.conn.Send(ctx, request)
	watch.stop()
	var leaving bool
	var pause time.Duration
	if err == nil && a.Status != http.StatusMisdirectedRequest {
		leaving, pause = platform.Leaving(a.Header), platform.Pause(a.Status, a.Header)
	}
	r := classify(t, a, err)
	r.ticket = sel.ticket
	now := time.Now()
	failed := !r.success() && !r.notRun && (ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	c.answer(sel.ticket, sel, r, failed, sentAt, now.Sub(sentAt))
	if r.answer == nil || r.answer.Rest == nil {
		sel.ticket.Leave()
	}
	defer c.service.admitter.Wake(now)
	c.service.placer.Finish(t, placer.Result{
		Limit:    r.limitReport(sentAt),
		Leaving:  leaving,
		Pause:    pause,
		Route:    c.route.Name,
		Answered: r.success(),
		Failed:   failed,
		Took:     now.Sub(sentAt),
		Expected: sel.choice.Expected,
		Basis:    sel.choice.Basis,
	}, now)
	if a != nil && r.notRun && a.Status == http.StatusMisdirectedRequest {
		c.service.placer.Miss(t, now)
	}
	c.noteOutcome(r)
	return r
}

// classify derives the result of an attempt from the target's answer or error.
// A refusal that doesn't name the request proves nothing: the target may have sent an
// earlier one again. Status 421 comes from a server that runs no request for the target.
// Answers without a seal, or with a content encoding, don't come unchanged from
// the target and are discarded.
func classify(t *placer.Target, a *transporter.Answer, err error) attemptResult {
	r := attemptResult{target: t, answer: a, err: err, sent: true}
	switch {
	case errors.Is(err, transporter.ErrNotSent):
		r.notRun, r.sent = true, false
	case err != nil:
	case platform.NotRun(a.Status, a.Header) && !a.Identified && a.Status != http.StatusMisdirectedRequest:
		r.answer, r.err = nil, errors.Newf("refusal with status %d doesn't name the request", a.Status)
		a.Finish(false)
	case platform.NotRun(a.Status, a.Header):
		r.notRun = true
	case !platform.Sealed(a.Header) || a.Header.Get("Content-Encoding") != "":
		r.answer, r.err = nil, errors.Newf("answer with status %d is unsealed or re-encoded", a.Status)
		a.Finish(false)
	}
	return r
}
