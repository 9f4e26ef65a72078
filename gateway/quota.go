package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"savoryroad.dev/allotter"
	"savoryroad.dev/gossiper"
	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
	"savoryroad.dev/recorder"
	"savoryroad.dev/router"
)

const (
	// maxQuotaWait is the longest time that a request waits for a token of its organisation's
	// quota, and quotaWaitDivisor limits it to a fraction of the route's objective.
	maxQuotaWait     = 250 * time.Millisecond
	quotaWaitDivisor = 4
	// maxQuotaRetryAfter bounds the retry delay of a request over the quota, before jitter.
	maxQuotaRetryAfter = 5 * time.Second
	// hedgeQuotaWait is how long a hedge waits for a token. Meanwhile the call doesn't see
	// the answer to its first attempt.
	hedgeQuotaWait = 2 * allotter.AskInterval
)

// quotaTerms returns the terms of quotas in the settings.
func quotaTerms(b platform.Bounds) allotter.Terms {
	return allotter.Terms{Window: b.QuotaWindow, Excess: b.QuotaExcess, Slack: b.QuotaSlack}
}

// quotaLimits returns the quotas of a configuration.
func quotaLimits(cfg router.Config) map[loader.OrganisationName]allotter.Limit {
	limits := map[loader.OrganisationName]allotter.Limit{}
	for _, o := range cfg.Organisations {
		if o.Rate > 0 {
			limits[o.Name] = allotter.Limit{Rate: o.Rate, Burst: o.Burst}
		}
	}
	return limits
}

// admitOrganisation takes a token of the organisation's quota for a request. It answers the
// request and returns false if there is none.
func (g *Gateway) admitOrganisation(w http.ResponseWriter, r *http.Request, o router.Organisation, route *router.Active, arrived time.Time) (allotter.Token, bool) {
	if o.Rate == 0 || route.KeyExempt {
		return allotter.Token{}, true
	}
	v := g.takeToken(r.Context(), o.Name, quotaWait(route))
	if granted, ok := v.(allotter.Granted); ok {
		return granted.Token, true
	}
	id, _ := platform.RequestID(r.Header)
	e := g.log.Warn().Str("Request", id).Str("Route", string(route.Name)).Str("Organisation", string(o.Name)).Float64("PerSecond", o.Rate).Dur("Took", time.Since(arrived))
	refusal, status := refused{reason: "quota unknown", retryAfter: retryAfter(startupRetryAfter)}, http.StatusServiceUnavailable
	if over, ok := v.(allotter.Over); ok {
		refusal.reason, status = "over quota", http.StatusTooManyRequests
		refusal.retryAfter = spreadRetry(min(max(over.RetryAfter, minRetryAfter), maxQuotaRetryAfter))
	}
	g.recorder.Counter("quota_refusals_total", recorder.Label{Name: "organisation", Value: string(o.Name)},
		recorder.Label{Name: "reason", Value: refusal.reason}).Inc(1)
	e.Str("Reason", refusal.reason).Dur("RetryAfter", refusal.retryAfter).Msg("refused")
	setRetryAfter(w, refusal.retryAfter)
	w.WriteHeader(status)
	return allotter.Token{}, false
}

// quotaWait returns how long a request of a route waits for a token.
func quotaWait(route *router.Active) time.Duration {
	return min(maxQuotaWait, route.Objective/quotaWaitDivisor)
}

// takeToken takes a token of an organisation's quota, and waits for one that other entries
// lend.
func (g *Gateway) takeToken(ctx context.Context, name loader.OrganisationName, wait time.Duration) allotter.Verdict {
	if g.wokeUp() {
		return allotter.Unknown{}
	}
	v, cmds := g.allotter.Take(name, time.Now())
	g.sendAsks(cmds)
	waiting, ok := v.(allotter.Waiting)
	if !ok {
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	again := time.NewTicker(allotter.AskInterval)
	defer again.Stop()
	for {
		select {
		case v := <-waiting.Ticket.Result():
			return v
		case <-again.C:
			g.sendAsks(g.allotter.AskAgain(waiting.Ticket, time.Now()))
		case <-ctx.Done():
			return g.allotter.Leave(waiting.Ticket)
		}
	}
}

// sendAsks sends asks for tokens.
func (g *Gateway) sendAsks(cmds []allotter.TellCmd) {
	for _, cmd := range cmds {
		g.gossiper.Tell(cmd.To, gossiper.Message{Allotment: &gossiper.Allotment{Ask: &cmd.Ask}})
	}
}

// hearAsk lends tokens to another entry.
func (g *Gateway) hearAsk(from netip.Addr, ask allotter.Ask) {
	if g.wokeUp() {
		return
	}
	l := g.allotter.HearAsk(ask, time.Now())
	g.gossiper.Tell(from, gossiper.Message{Allotment: &gossiper.Allotment{Loan: &l}})
}

// hearLoan applies the answer to an ask.
func (g *Gateway) hearLoan(l allotter.Loan) {
	if g.wokeUp() {
		return
	}
	g.sendAsks(g.allotter.HearLoan(l, time.Now()))
}

// wokeUp tells whether the machine was suspended and the control loop has not yet ended
// what ends with that.
func (g *Gateway) wokeUp() bool {
	return suspendedTime()-time.Duration(g.suspensionsSeen.Load()) >= minSuspension
}

// takeFurther takes a token for a further attempt of a call, whose earlier one may have run,
// and waits for it.
func (c *call) takeFurther(ctx context.Context, wait time.Duration) bool {
	if c.token == (allotter.Token{}) {
		return true
	}
	_, ok := c.g.takeToken(ctx, c.organisation.Name, wait).(allotter.Granted)
	return ok
}

// returnToken gives the token of a call back that was refused, and has not run.
func (c *call) returnToken(result callResult) {
	if _, ok := result.(refused); ok {
		c.g.allotter.GiveBack(c.token, time.Now())
	}
}
