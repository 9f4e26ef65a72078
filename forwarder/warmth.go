package forwarder

import (
	"slices"

	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// fleetView is this entry's part in the fleet. It never changes.
type fleetView struct {
	table registrar.Table
	// owned lists the shares whose part of the limits this entry may use.
	owned []registrar.Share
}

// SetWarmthTeller sets who passes news of warmth on; it must not block. It is
// called before the first call.
func (f *Forwarder) SetWarmthTeller(tell func(warmer.News)) { f.tell = tell }

func (f *Forwarder) tellWarmth(w warmer.News) {
	if f.tell != nil {
		f.tell(w)
	}
}

// SetFleet takes over which shares the entry owns, but for those that it is
// giving away. Without it the entry counts as alone.
func (f *Forwarder) SetFleet(t registrar.Table, self registrar.Incarnation, leaving []registrar.Share) {
	f.installing.Lock()
	defer f.installing.Unlock()
	owned := slices.DeleteFunc(t.OwnedBy(self), func(s registrar.Share) bool {
		return slices.Contains(leaving, s)
	})
	f.fleet = &fleetView{table: t, owned: owned}
	for _, s := range f.services {
		s.setFleet(f.fleet)
	}
}

// Hear takes news of warmth from a peer.
func (f *Forwarder) Hear(w warmer.News) {
	t := f.table.Load()
	if t == nil {
		return
	}
	if s, ok := t.services[w.Service]; ok {
		s.hear(w)
	}
}

// HomeLevels lists the levels of the targets that this entry is the home of.
func (f *Forwarder) HomeLevels() []warmer.News {
	t := f.table.Load()
	if t == nil {
		return nil
	}
	var all []warmer.News
	for _, s := range t.services {
		all = append(all, s.homeLevels()...)
	}
	return all
}

// Settled tells whether no cold target has more calls of this entry than the
// entry's shares allow.
func (f *Forwarder) Settled() bool {
	t := f.table.Load()
	if t == nil {
		return true
	}
	for _, s := range t.services {
		if !s.settled() {
			return false
		}
	}
	return true
}

// warmLimits says how a target warms up. With permits it never goes beyond its
// slots.
func warmLimits(t loader.Target, s loader.Service) warmer.Limits {
	return warmer.Limits{Cold: t.ColdLimit, Answers: s.Defaults.ColdAnswers, Full: t.Slots, Capped: s.Policy == loader.Permits}
}

func (s *service) setFleet(v *fleetView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = v
	for _, b := range s.backends {
		s.settleRamp(b)
		s.pool.SetLimit(b.index, s.limit(b))
	}
	s.grantWaiters()
}

// settleRamp takes over whether this entry is the target's home; the caller
// holds the lock.
func (s *service) settleRamp(b *backend) {
	if s.fleet == nil {
		b.ramp.Settle(true, 0, true)
		return
	}
	share := registrar.ShareOf(b.limitName)
	if !slices.Contains(s.fleet.owned, share) {
		b.ramp.Settle(false, 0, false)
		return
	}
	held := s.fleet.table.Held[share]
	if b.ramp.Settle(true, held.Term, held.Handed) {
		s.tell(s.warmth(b))
	}
}

// limit is this entry's part of what the target bears; the caller holds the
// lock.
func (s *service) limit(b *backend) int {
	allowed := b.ramp.Allowed()
	switch {
	case allowed == 0 || b.base == 0:
		return b.base
	case s.fleet == nil:
		return min(b.base, allowed)
	default:
		part := registrar.Part(b.limitName, allowed, s.fleet.owned)
		return min(b.base, part+len(b.borrowed))
	}
}

// relimit applies a changed level, and lets waiting calls have the room; the
// caller holds the lock.
func (s *service) relimit(b *backend) {
	s.relimitQuietly(b)
	s.grantWaiters()
}

// relimitQuietly applies a changed level; the caller holds the lock.
func (s *service) relimitQuietly(b *backend) {
	if b.index >= 0 {
		s.pool.SetLimit(b.index, s.limit(b))
	}
}

// answered notes what an answer says of its target.
func (s *service) answered(b *backend, r report, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.index >= 0 && r.load >= 0 {
		s.pool.Report(b.index, r.load)
	}
	if r.start != "" && b.start != "" && r.start != b.start {
		b.start = r.start
		s.wentCold(b)
		return
	}
	b.start = r.start
	good = good && !r.cold
	switch {
	case len(b.borrowed) == 0:
		s.count(b, good)
	case good:
		b.good++
	default:
		b.bad++
	}
}

// count counts an answer at the target's home; the caller holds the lock.
func (s *service) count(b *backend, good bool) {
	if b.ramp.Answered(good) {
		s.tell(s.warmth(b))
		s.relimit(b)
	}
}

// failed notes a send that broke off or found nobody.
func (s *service) failed(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wentCold(b)
}

// wentCold makes a target cold; the caller holds the lock.
func (s *service) wentCold(b *backend) {
	if !b.ramp.Failed() {
		return
	}
	w := s.warmth(b)
	w.Seen = !b.ramp.Home
	s.tell(w)
	s.relimit(b)
}

// hear takes news from a peer.
func (s *service) hear(w warmer.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b.name != w.Target {
			continue
		}
		if w.Seen {
			if b.ramp.Home {
				s.wentCold(b)
			}
		} else if b.ramp.Hear(w.Level) {
			s.relimit(b)
		}
	}
}

// warmth is the news of a target; the caller holds the lock.
func (s *service) warmth(b *backend) warmer.News {
	return warmer.News{Service: s.name, Target: b.name, Level: b.ramp.Level}
}

func (s *service) homeLevels() []warmer.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []warmer.News
	for _, b := range s.backends {
		if b.ramp.Home {
			all = append(all, s.warmth(b))
		}
	}
	return all
}

func (s *service) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b.base > 0 && !b.ramp.Level.Warm() && b.outstanding > s.limit(b) {
			return false
		}
	}
	return true
}
