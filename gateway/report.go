package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/recorder"
)

// attempt is what is logged of one send.
type attempt struct {
	target loader.TargetName
	far    bool
	// load is what the choice was based on, and age how old that was.
	load     placer.Load
	age      time.Duration
	expected time.Duration
	// began is the time from the request's arrival to the send, took that to
	// the send's end; it is 0 while the send goes on.
	began, took time.Duration
	hedge       bool
	result      string
}

// MarshalZerologObject writes the attempt.
func (a *attempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("Target", string(a.target)).Bool("Far", a.far).
		Int("Running", a.load.Running).Int("Waiting", a.load.Waiting).Float64("Pace", a.load.Pace).
		Dur("LoadAge", a.age).Dur("Expected", a.expected).Dur("Began", a.began).Dur("Took", a.took).
		Bool("Hedge", a.hedge).Str("Result", a.result)
}

// label names what became of an attempt.
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

// report writes the line of a request that has ended, and counts it. Requests
// that were served are sampled, all others are not.
func (c *call) report(v callResult, callerGone bool) {
	took := time.Since(c.arrived)
	var e *zerolog.Event
	kind := "served"
	switch v := v.(type) {
	case answered:
		if v.answer.Status >= http.StatusInternalServerError {
			kind = "failed"
			e = c.g.log.Warn().Int("Status", v.answer.Status).Str("Reason", "target failed")
		} else if c.g.served.Add(1)%int64(c.g.tuning.LogServedOneIn) == 0 {
			e = c.g.log.Info().Int("Status", v.answer.Status)
		}
	case refused:
		kind = "refused"
		e = c.g.log.Warn().Int("Status", http.StatusServiceUnavailable).Str("Reason", v.reason).Dur("RetryAfter", v.retryAfter).
			Dur("Least", v.earliestAnswer).Dur("Objective", c.route.Objective)
	case failed:
		kind = "failed"
		if callerGone {
			kind = "caller gone"
		}
		e = c.g.log.Warn().Int("Status", v.status).Str("Reason", v.reason)
	}
	c.service.count(kind, took)
	if e == nil {
		return
	}
	attempts := zerolog.Arr()
	for _, a := range c.attempts {
		attempts.Object(a)
	}
	e.Str("Request", c.request.ID).Str("Route", string(c.route.Name)).Uint64("Version", uint64(c.version)).
		Str("Service", string(c.service.name)).Int("Looks", c.probeRounds).Int("Asked", c.probesAnswered).
		Dur("Took", took).Dur("Left", time.Until(c.deadline)).Array("Attempts", attempts).Msg(kind)
}

// count counts an ended request of a service.
func (s *service) count(kind string, took time.Duration) {
	label := recorder.Label{Name: "service", Value: string(s.name)}
	s.recorder.Counter("requests_total", label, recorder.Label{Name: "end", Value: kind}).Inc(1)
	if kind == "served" {
		s.recorder.Histogram("served_us", label).Update(took.Microseconds())
	}
}

// countAttempt counts an ended attempt at a target of a service.
func (s *service) countAttempt(a *attempt) {
	label := recorder.Label{Name: "service", Value: string(s.name)}
	s.recorder.Counter("attempts_total", label,
		recorder.Label{Name: "result", Value: a.result}, recorder.Label{Name: "target", Value: string(a.target)}).Inc(1)
	s.recorder.Histogram("load_age_us").Update(a.age.Microseconds())
	if a.hedge {
		s.recorder.Counter("hedges_total", label).Inc(1)
	}
}
