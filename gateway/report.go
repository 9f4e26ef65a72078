package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/recorder"
)

// attempt is the log record of one attempt at a target.
type attempt struct {
	target loader.TargetName
	far    bool
	// load is the target's reported load at the time of the choice, and loadAge
	// the age of that report; -1 if there was none.
	load    placer.Load
	loadAge time.Duration
	// expected is the response time predicted at the choice.
	expected time.Duration
	// startOffset is the time from the request's arrival to the start of the
	// attempt. Duration is 0 while the attempt is under way.
	startOffset, duration time.Duration
	hedge                 bool
	result                string
}

// MarshalZerologObject encodes the attempt as an object of a log line.
func (a *attempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("Target", string(a.target)).Bool("Far", a.far).
		Int("Running", a.load.Running).Int("Waiting", a.load.Waiting).Float64("Pace", a.load.Pace).
		Dur("LoadAge", a.loadAge).Dur("Expected", a.expected).Dur("Began", a.startOffset).Dur("Took", a.duration).
		Bool("Hedge", a.hedge).Str("Result", a.result)
}

// label returns the result's name in logs and metrics.
func (r attemptResult) label() string {
	switch {
	case r.success():
		return "answered"
	case !r.sent:
		return "not sent"
	case r.notRun:
		return "not run"
	case r.answer != nil:
		return "failed"
	default:
		return "no answer"
	}
}

// report logs and counts a request that has ended. One of LogServedOneIn served
// requests is logged, and every request that was not served.
func (c *call) report(v callResult, callerGone bool) {
	took := time.Since(c.arrived)
	var e *zerolog.Event
	outcome := "served"
	switch v := v.(type) {
	case answered:
		if v.answer.Status >= http.StatusInternalServerError {
			outcome = "failed"
			e = c.g.log.Warn().Int("Status", v.answer.Status).Str("Reason", "target failed")
		} else if c.g.servedCount.Add(1)%int64(c.g.tuning.LogServedOneIn) == 0 {
			e = c.g.log.Info().Int("Status", v.answer.Status)
		}
	case refused:
		outcome = "refused"
		c.service.countRefusal(v.reason)
		e = c.g.log.Warn().Int("Status", http.StatusServiceUnavailable).Str("Reason", v.reason).Dur("RetryAfter", v.retryAfter).
			Int("Ahead", v.ahead).Float64("Rate", v.rate).Dur("Least", v.earliestAnswer).Dur("Objective", c.route.Objective).
			Dur("Work", c.service.placer.Work(c.work(), time.Now()))
		if c.service.level != nil {
			state := c.service.level.State(time.Now())
			e = e.Float64("Share", state.Share).Float64("Pressure", state.Pressure)
		}
	case failed:
		outcome = "failed"
		if callerGone {
			outcome = "caller gone"
		}
		e = c.g.log.Warn().Int("Status", v.status).Str("Reason", v.reason)
	}
	c.service.countRequest(outcome, took)
	if e == nil {
		return
	}
	if outcome != "served" {
		e = e.Str("Fingerprint", c.fingerprints()[0].String())
	}
	if c.organisation.Name != "" {
		e = e.Str("Organisation", string(c.organisation.Name))
	}
	attempts := zerolog.Arr()
	for _, a := range c.attempts {
		attempts.Object(a)
	}
	e.Str("Request", c.request.ID).Str("Route", string(c.route.Name)).Uint64("Version", uint64(c.version)).
		Str("Service", string(c.service.name)).Int("Looks", c.probeRounds).Int("Asked", c.probesAnswered).
		Dur("Took", took).Dur("Left", time.Until(c.deadline)).Array("Attempts", attempts).Msg(outcome)
}

// countRequest updates a service's metrics for a request that has ended.
func (s *service) countRequest(outcome string, took time.Duration) {
	label := recorder.Label{Name: "service", Value: string(s.name)}
	s.recorder.Counter("requests_total", label, recorder.Label{Name: "end", Value: outcome}).Inc(1)
	if outcome == "served" {
		s.recorder.Histogram("served_us", label).Update(took.Microseconds())
	}
}

// countRefusal counts a refused request by its reason.
func (s *service) countRefusal(reason string) {
	s.recorder.Counter("refusals_total", recorder.Label{Name: "service", Value: string(s.name)}, recorder.Label{Name: "reason", Value: reason}).Inc(1)
}

// countAttempt updates a service's metrics for an attempt that has ended.
func (s *service) countAttempt(a *attempt) {
	label := recorder.Label{Name: "service", Value: string(s.name)}
	s.recorder.Counter("attempts_total", label,
		recorder.Label{Name: "result", Value: a.result}, recorder.Label{Name: "target", Value: string(a.target)}).Inc(1)
	s.recorder.Histogram("load_age_us").Update(a.loadAge.Microseconds())
	if a.hedge {
		s.recorder.Counter("hedges_total", label).Inc(1)
	}
}
