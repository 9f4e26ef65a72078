package forwarder

import (
	"maps"
	"slices"

	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// Dump is a snapshot of the forwarder's state for operators.
type Dump struct {
	Revision publisher.Revision
	InFlight int64
	Draining bool
	Services []ServiceDump
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Name         loader.ServiceName
	Policy       loader.Policy
	Waiting      int
	RepeatTokens float64
	Targets      []TargetDump
}

// TargetDump is the state of one target.
type TargetDump struct {
	Name loader.TargetName
	// Limit is the maximum of this entry's outstanding calls; 0 means that the
	// target gets no new calls.
	Limit int
	// Outstanding counts this entry's calls and the permits that it has lent.
	Outstanding int
	// Warmth is the maximum of outstanding calls of all entries during a cold
	// start; 0 means that the target is warm.
	Warmth int
	// Home is set if this entry owns the target, that is, decides on its
	// warm-up.
	Home bool
	// Lent counts the permits lent to other entries, Pending the loan requests
	// that wait for a permit, and Borrowed the permits that this entry has
	// borrowed.
	Lent, Pending, Borrowed int
	// Reported is the load in the target's latest response, in calls in flight.
	Reported int
}

// Dump returns a snapshot of the forwarder's state.
func (f *Forwarder) Dump() Dump {
	d := Dump{InFlight: f.InFlight(), Draining: f.draining.Load()}
	t := f.table.Load()
	if t == nil {
		return d
	}
	d.Revision = t.revision
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		d.Services = append(d.Services, t.services[name].dump())
	}
	return d
}

func (s *service) dump() ServiceDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := ServiceDump{
		Name:         s.name,
		Policy:       s.settings.Policy,
		Waiting:      len(s.waiters),
		RepeatTokens: s.retryTokens,
	}
	for _, b := range s.backends {
		m := s.pool.Member(b.index)
		d.Targets = append(d.Targets, TargetDump{
			Name:        b.name,
			Limit:       m.Limit,
			Outstanding: m.Outstanding,
			Warmth:      b.ramp.Allowed(),
			Home:        b.ramp.Home,
			Lent:        len(b.lent),
			Pending:     len(b.pending),
			Borrowed:    len(b.borrowed),
			Reported:    m.Reported,
		})
	}
	return d
}
