package forwarder

import (
	"maps"
	"slices"

	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// Dump is the state of the traffic path.
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
	// Limit bounds this entry's calls; 0 means no new work.
	Limit int
	// Outstanding counts this entry's calls.
	Outstanding int
	// Warmth is what the fleet may have outstanding; 0 when it is warm.
	Warmth int
	// Home is set when this entry decides on the target's warmth.
	Home bool
	// Lent counts the permits that other entries use, Pending the loans that
	// wait for one, and Borrowed the permits that this entry uses.
	Lent, Pending, Borrowed int
	// Reported is the load on the target's latest answer.
	Reported int
}

// Dump returns the state of the traffic path.
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
		RepeatTokens: s.repeatTokens,
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
