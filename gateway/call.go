package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/carrier"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/router"
)

const (
	// presumedWork is the part of its objective that a route's request takes,
	// until that is known.
	presumedWork = 0.4
	// patience is the part of the objective that a request waits for room.
	patience = 0.125
	// lookPause is the time between two looks for room.
	lookPause = 20 * time.Millisecond
	// hedgeFactor is how much later than expected an answer is when a second
	// target is asked, and hedgeFloor the least delay.
	hedgeFactor = 1.5
	hedgeFloor  = 30 * time.Millisecond
	// answerMargin is the part of the remaining time that the target doesn't
	// get, so that its answer still reaches the caller.
	answerMargin = 5 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	g       *Gateway
	route   *router.Active
	service *service
	request carrier.Request
	arrived time.Time
	// end is when nobody waits for an answer any more.
	end   time.Time
	tried []*placer.Target
	// sends counts the sends; each may have reached a target.
	sends int
	// ran is set unless every send has provably not run.
	ran bool
	// inFlight counts the attempts under way.
	inFlight int
	// version is that of the configuration which chose the route.
	version router.Version
	// looks counts the looks for a target, asked the targets that answered.
	looks, asked int
	// attempts holds what is logged of each send.
	attempts []*attempt
}

// verdict is what became of a call: answered, refused or failed.
type verdict interface{ verdict() }

// answered passes a target's answer on.
type answered struct {
	answer *carrier.Answer
	target *placer.Target
}

// refused says that the request did not run and never will.
type refused struct {
	// after is when the caller may come back.
	after  time.Duration
	reason string
	// least is when the first answer was expected of the targets asked.
	least time.Duration
}

// failed says that there is no answer, and that the request may have run.
type failed struct {
	status int
	reason string
}

func (answered) verdict() {}
func (refused) verdict()  {}
func (failed) verdict()   {}

// outcome is what became of one attempt at a target.
type outcome struct {
	target *placer.Target
	answer *carrier.Answer
	// notRun is set when the request provably did not run there.
	notRun bool
	// arrived is set when the target may have seen it.
	arrived bool
	err     error
}

// success tells whether the answer is one that the caller hopes for.
func (o outcome) success() bool {
	return o.answer != nil && !o.notRun && o.answer.Status < http.StatusInternalServerError
}

// demand describes what the call needs now.
func (c *call) demand(now time.Time) placer.Demand {
	return placer.Demand{
		Route:     c.route.Name,
		Objective: c.arrived.Add(c.route.Objective).Sub(now),
		Deadline:  c.end.Sub(now),
		KiB:       float64(len(c.request.Body))/1024 + 1,
		Work:      time.Duration(presumedWork * float64(c.route.Objective)),
		Tried:     c.tried,
	}
}

// run brings the call to its end.
func (c *call) run(ctx context.Context) verdict {
	c.service.budget.Request(c.arrived)
	outcomes := make(chan outcome)
	ctx, cancel := context.WithDeadline(ctx, c.end)
	defer cancel()

	p, v := c.place(ctx)
	if v != nil {
		return v
	}
	hedge := time.NewTimer(c.hedgeDelay(p))
	defer hedge.Stop()
	c.start(ctx, p, outcomes, false)
	var last outcome
	for {
		select {
		case o := <-outcomes:
			c.inFlight--
			c.note(o)
			if o.success() {
				return answered{answer: o.answer, target: o.target}
			}
			c.ran = c.ran || !o.notRun
			if o.answer != nil && !o.notRun {
				last = o
			}
			if c.inFlight > 0 {
				continue
			}
			if !c.repeatable(o) || !c.repair(ctx, o, outcomes) {
				return c.giveUp(last, o)
			}
		case <-hedge.C:
			c.hedge(ctx, outcomes)
		case <-ctx.Done():
			if c.inFlight == 0 && !c.ran {
				return refused{reason: "time is over", after: retryAfter(0)}
			}
			return failed{status: http.StatusGatewayTimeout, reason: "no answer in time"}
		}
	}
}

// note notes the end of an attempt for the log.
func (c *call) note(o outcome) {
	for _, a := range c.attempts {
		if a.target == o.target.Name && a.took == 0 {
			a.took, a.result = time.Since(c.arrived)-a.began, o.result()
			c.service.countAttempt(a)
			return
		}
	}
}

// repeatable tells whether the call may be sent to another target.
func (c *call) repeatable(o outcome) bool {
	if c.ran && c.route.Class != loader.Lookup {
		return false
	}
	return c.sends < max(1, c.route.MaxAttempts) || !o.arrived
}

// repair sends the call to another target, if the budget allows it.
func (c *call) repair(ctx context.Context, o outcome, outcomes chan<- outcome) bool {
	if o.arrived && !c.service.budget.Repair(time.Now()) {
		return false
	}
	p, v := c.place(ctx)
	if v != nil {
		return false
	}
	c.start(ctx, p, outcomes, false)
	return true
}

// hedge sends a lookup whose answer is late to a second target.
func (c *call) hedge(ctx context.Context, outcomes chan<- outcome) {
	if c.route.Class != loader.Lookup || c.inFlight != 1 || c.sends >= c.route.MaxAttempts || c.request.Rest != nil {
		return
	}
	p, ok := c.lookOnce(ctx, time.Now())
	if !ok {
		return
	}
	if !c.service.budget.Hedge(time.Now()) {
		c.service.placer.Finish(p.choice.Target, placer.Result{}, time.Now())
		p.conn.Release()
		return
	}
	c.start(ctx, p, outcomes, true)
}

// hedgeDelay is how long the first target has before a second one is asked.
func (c *call) hedgeDelay(p placement) time.Duration {
	return max(hedgeFloor, time.Duration(hedgeFactor*float64(p.choice.Expected)))
}

// giveUp tells the caller of a call that is not sent again.
func (c *call) giveUp(last, latest outcome) verdict {
	switch {
	case last.answer != nil:
		return answered{answer: last.answer, target: last.target}
	case !c.ran:
		return refused{reason: "targets refused", after: retryAfter(0)}
	default:
		reason := "target broke off"
		if latest.err != nil {
			reason += ": " + latest.err.Error()
		}
		return failed{status: http.StatusBadGateway, reason: reason}
	}
}

// placement is a target with a connection to it.
type placement struct {
	choice placer.Choice
	conn   *carrier.Conn
}

// place finds a target, waiting a little for room. Without one the call is
// refused at once if nothing can come of waiting.
func (c *call) place(ctx context.Context) (placement, verdict) {
	patient := c.arrived.Add(time.Duration(patience * float64(c.route.Objective)))
	for {
		now := time.Now()
		p, ok := c.lookOnce(ctx, now)
		if ok {
			return p, nil
		}
		if ctx.Err() != nil || time.Now().Add(lookPause).After(patient) || c.service.probeLimiter.Scarce() {
			return placement{}, refused{reason: "no room", after: retryAfter(p.choice.Wait), least: p.choice.Least}
		}
		sleep(ctx, jitter(lookPause))
	}
}

// lookOnce asks near targets for their load, then, unless one of them is good,
// far ones, and chooses.
func (c *call) lookOnce(ctx context.Context, now time.Time) (placement, bool) {
	s := c.service
	d := c.demand(now)
	var asked [max(nearLooks, farLooks)]*placer.Target
	found := c.g.look(ctx, s, s.placer.Candidates(asked[:0], d, placer.Near, nearLooks, now))
	choice := s.placer.Choose(targetsOf(found), d, time.Now())
	if choice.Target == nil || choice.Cost > placer.Good {
		found = append(found, c.g.look(ctx, s, s.placer.Candidates(asked[:0], d, placer.Far, farLooks, now))...)
		choice = s.placer.Choose(targetsOf(found), d, time.Now())
	}
	c.looks++
	c.asked += len(found)
	p := placement{choice: choice}
	for _, f := range found {
		if f.target == choice.Target && ctx.Err() == nil && s.placer.Start(f.target, time.Now()) {
			p.conn = f.conn
			continue
		}
		f.conn.Release()
	}
	return p, p.conn != nil
}

func targetsOf(found []candidate) []*placer.Target {
	targets := make([]*placer.Target, len(found))
	for i, f := range found {
		targets[i] = f.target
	}
	return targets
}

// start sends the call to a target.
func (c *call) start(ctx context.Context, p placement, outcomes chan<- outcome, hedge bool) {
	c.attempts = append(c.attempts, &attempt{
		target: p.choice.Target.Name, far: p.choice.Far, load: p.choice.Load, age: p.choice.LoadAge,
		expected: p.choice.Expected, began: time.Since(c.arrived), hedge: hedge, result: "under way",
	})
	c.tried = append(c.tried, p.choice.Target)
	c.inFlight++
	c.sends++
	request := c.request
	request.Header = c.request.Header.Clone()
	platform.Address(request.Header, string(p.choice.Target.Name), time.Until(c.end)-answerMargin)
	go func() {
		o := c.send(ctx, p, request)
		select {
		case outcomes <- o:
		case <-ctx.Done():
			if o.answer != nil {
				o.answer.Finish(false)
			}
		}
	}()
}

// send sends the call to a target and waits for its answer.
func (c *call) send(ctx context.Context, p placement, r carrier.Request) outcome {
	t, sent := p.choice.Target, time.Now()
	a, err := p.conn.Send(ctx, r)
	o := judge(t, a, err)
	now := time.Now()
	c.service.placer.Finish(t, placer.Result{
		Route:    c.route.Name,
		Answered: o.success(),
		Failed:   !o.success() && !o.notRun && (ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded)),
		Took:     now.Sub(sent),
		Expected: p.choice.Expected,
	}, now)
	if a != nil && o.notRun && a.Status == http.StatusMisdirectedRequest {
		c.service.placer.Miss(t, now)
	}
	return o
}

// judge tells what an answer, or its absence, says of the request.
func judge(t *placer.Target, a *carrier.Answer, err error) outcome {
	o := outcome{target: t, answer: a, err: err, arrived: true}
	switch {
	case errors.Is(err, carrier.ErrNotSent):
		o.notRun, o.arrived = true, false
	case err != nil:
	case platform.NotRun(a.Status, a.Header):
		o.notRun = true
	case !platform.Sealed(a.Header) || a.Header.Get("Content-Encoding") != "":
		o.answer, o.err = nil, errors.Newf("answer %d is not the target's own", a.Status)
		a.Finish(false)
	}
	return o
}
