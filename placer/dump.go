package placer

import (
	"maps"
	"slices"
	"time"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
)

// Dumped is the state of one target in the state dump for operators. Durations
// are formatted as by time.Duration.String.
type Dumped struct {
	Target      loader.TargetName
	Far         bool
	Outstanding int
	Load        Load
	// LoadAge is the age of Load; empty if the target hasn't reported any.
	LoadAge string `json:",omitempty"`
	// Slowness is the time that requests took as a multiple of the expected
	// time, and Failing the fraction of them that failed.
	Slowness float64
	Failing  float64
	// Ill is set if the latest health check reported a failure.
	Ill bool `json:",omitempty"`
	// Leaving is set if the target has said that it is about to leave.
	Leaving bool `json:",omitempty"`
	// PausedFor is the rest of the time for which the target wants no requests of this
	// entry; empty if there is none.
	PausedFor string `json:",omitempty"`
	// ColdFor is the rest of the warm-up; empty if the target is warm.
	ColdFor string `json:",omitempty"`
	// AvoidedFor is the rest of the backoff after the target could not be
	// reached; empty if there is none.
	AvoidedFor string `json:",omitempty"`
	// Limit is the limit that the target names, in requests per second; nil for none.
	Limit *limiter.NamedLimit `json:",omitempty"`
}

// Dump returns the state of all targets, sorted by name.
func (s *Service) Dump(now time.Time) []Dumped {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []Dumped
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		d := Dumped{Target: name, Far: t.far, Outstanding: t.outstanding, Load: t.load, Ill: t.unhealthy, Leaving: t.leaving}
		d.Slowness, d.Failing = t.decayedOutcomes(now)
		if !t.reportedAt.IsZero() {
			d.LoadAge = now.Sub(t.reportedAt).String()
		}
		d.ColdFor, d.AvoidedFor = remaining(t.coldUntil, now), remaining(t.backoffUntil, now)
		d.PausedFor = remaining(t.pausedUntil, now)
		if t.limit.named {
			perSecond := t.limit.perSecond
			d.Limit = &perSecond
		}
		states = append(states, d)
	}
	return states
}

// remaining formats the time left until a point in time, or returns the empty
// string if that has passed.
func remaining(until, now time.Time) string {
	if !now.Before(until) {
		return ""
	}
	return until.Sub(now).String()
}
