package placer

import (
	"maps"
	"slices"
	"time"

	"savoryroad.dev/loader"
)

// Dumped is what is known of a target, for operators.
type Dumped struct {
	Target      loader.TargetName
	Far         bool
	Outstanding int
	Load        Load
	// LoadAge is how old the load is; empty if it is not known.
	LoadAge  string `json:",omitempty"`
	Slowness float64
	Failing  float64
	Ill      bool   `json:",omitempty"`
	ColdFor  string `json:",omitempty"`
	// AvoidedFor is the rest of the backoff after a failed health check or
	// connection attempt; empty if there is none.
	AvoidedFor string `json:",omitempty"`
}

// Dump lists what is known of the targets, by name.
func (s *Service) Dump(now time.Time) []Dumped {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Dumped
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		d := Dumped{Target: name, Far: t.far, Outstanding: t.outstanding, Load: t.load, Ill: t.unhealthy}
		d.Slowness, d.Failing = t.decayedOutcomes(now)
		if !t.reportedAt.IsZero() {
			d.LoadAge = now.Sub(t.reportedAt).String()
		}
		d.ColdFor, d.AvoidedFor = remaining(t.coldUntil, now), remaining(t.backoffUntil, now)
		all = append(all, d)
	}
	return all
}

// remaining is the time until a moment, or empty once it is past.
func remaining(until, now time.Time) string {
	if !now.Before(until) {
		return ""
	}
	return until.Sub(now).String()
}
