package forwarder

import (
	"slices"

	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// ownership is an immutable view of the owners of all shares.
type ownership struct {
	table registrar.Table
	// owned holds the shares whose part of the limits this entry may use.
	owned []registrar.Share
}

// SetWarmthTeller sets the function that sends warm-up levels to other entries,
// which must not block. It must be called before the first call arrives.
func (f *Forwarder) SetWarmthTeller(announce func(warmer.News)) { f.levelAnnouncer = announce }

func (f *Forwarder) announceLevel(w warmer.News) {
	if f.levelAnnouncer != nil {
		f.levelAnnouncer(w)
	}
}

// SetFleet applies a table of share owners. The shares in leaving, which are
// being transferred to other entries, don't count as owned. Until the first
// SetFleet the entry counts as the only one.
func (f *Forwarder) SetFleet(t registrar.Table, self registrar.Incarnation, leaving []registrar.Share) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	owned := slices.DeleteFunc(t.OwnedBy(self), func(s registrar.Share) bool {
		return slices.Contains(leaving, s)
	})
	f.ownership = &ownership{table: t, owned: owned}
	for _, s := range f.services {
		s.setOwnership(f.ownership)
	}
}

// Hear handles a warm-up level or a report of a failed target from another
// entry.
func (f *Forwarder) Hear(w warmer.News) {
	t := f.table.Load()
	if t == nil {
		return
	}
	if s, ok := t.services[w.Service]; ok {
		s.receiveLevel(w)
	}
}

// HomeLevels returns the warm-up levels of the targets that this entry owns.
func (f *Forwarder) HomeLevels() []warmer.News {
	t := f.table.Load()
	if t == nil {
		return nil
	}
	var all []warmer.News
	for _, s := range t.services {
		all = append(all, s.ownedLevels()...)
	}
	return all
}

// Settled reports whether this entry's outstanding calls at each cold target
// are within its limit.
func (f *Forwarder) Settled() bool {
	t := f.table.Load()
	if t == nil {
		return true
	}
	for _, s := range t.services {
		if !s.withinLimits() {
			return false
		}
	}
	return true
}

// warmupLimits returns the limits of a target's warm-up. With the policy
// Permits, a warm target is still limited to its slots.
func warmupLimits(t loader.Target, s loader.Service) warmer.Limits {
	return warmer.Limits{Cold: t.ColdLimit, Answers: s.Defaults.ColdAnswers, Full: t.Slots, Capped: s.Policy == loader.Permits}
}

func (s *service) setOwnership(v *ownership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownership = v
	for _, b := range s.backends {
		s.updateRampOwner(b)
		s.pool.SetLimit(b.index, s.limit(b))
	}
	s.grantWaiters()
}

// updateRampOwner updates whether this entry owns the target. The caller must
// hold the lock.
func (s *service) updateRampOwner(b *backend) {
	if s.ownership == nil {
		b.ramp.Settle(true, 0, true)
		return
	}
	share := registrar.ShareOf(b.limitName)
	if !slices.Contains(s.ownership.owned, share) {
		b.ramp.Settle(false, 0, false)
		return
	}
	held := s.ownership.table.Held[share]
	if b.ramp.Settle(true, held.Term, held.Handed) {
		s.announceLevel(s.levelUpdate(b))
	}
}

// limit returns the maximum of this entry's outstanding calls at a target: its
// part of the fleet's limit plus the permits that it has borrowed. The caller
// must hold the lock.
func (s *service) limit(b *backend) int {
	allowed := b.ramp.Allowed()
	switch {
	case allowed == 0 || b.baseLimit == 0:
		return b.baseLimit
	case s.ownership == nil:
		return min(b.baseLimit, allowed)
	default:
		part := registrar.Part(b.limitName, allowed, s.ownership.owned)
		return min(b.baseLimit, part+len(b.borrowed))
	}
}

// applyLimit updates the target's limit in the pool and assigns new capacity to
// waiters. The caller must hold the lock.
func (s *service) applyLimit(b *backend) {
	s.updatePoolLimit(b)
	s.grantWaiters()
}

// updatePoolLimit updates the target's limit in the pool. The caller must hold
// the lock.
func (s *service) updatePoolLimit(b *backend) {
	if b.index >= 0 {
		s.pool.SetLimit(b.index, s.limit(b))
	}
}

// recordResponse updates a target's state from a response.
func (s *service) recordResponse(b *backend, r targetReport, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.index >= 0 && r.load >= 0 {
		s.pool.Report(b.index, r.load)
	}
	if r.startID != "" && b.startID != "" && r.startID != b.startID {
		b.startID = r.startID
		s.markCold(b)
		return
	}
	b.startID = r.startID
	good = good && !r.cold
	switch {
	case len(b.borrowed) == 0:
		s.countResponse(b, good)
	case good:
		b.loanSuccesses++
	default:
		b.loanFailures++
	}
}

// countResponse counts a response for the warm-up of a target. The caller must
// hold the lock.
func (s *service) countResponse(b *backend, good bool) {
	if b.ramp.Answered(good) {
		s.announceLevel(s.levelUpdate(b))
		s.applyLimit(b)
	}
}

// recordFailure handles a failed connection to a target, which counts as a cold
// start.
func (s *service) recordFailure(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markCold(b)
}

// markCold puts a target into cold start. The caller must hold the lock.
func (s *service) markCold(b *backend) {
	if !b.ramp.Failed() {
		return
	}
	w := s.levelUpdate(b)
	w.Seen = !b.ramp.Home
	s.announceLevel(w)
	s.applyLimit(b)
}

// receiveLevel handles a message from another entry.
func (s *service) receiveLevel(w warmer.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b.name != w.Target {
			continue
		}
		if w.Seen {
			if b.ramp.Home {
				s.markCold(b)
			}
		} else if b.ramp.Hear(w.Level) {
			s.applyLimit(b)
		}
	}
}

// levelUpdate returns the message with a target's level. The caller must hold
// the lock.
func (s *service) levelUpdate(b *backend) warmer.News {
	return warmer.News{Service: s.name, Target: b.name, Level: b.ramp.Level}
}

func (s *service) ownedLevels() []warmer.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []warmer.News
	for _, b := range s.backends {
		if b.ramp.Home {
			all = append(all, s.levelUpdate(b))
		}
	}
	return all
}

func (s *service) withinLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b.baseLimit > 0 && !b.ramp.Level.Warm() && b.outstanding > s.limit(b) {
			return false
		}
	}
	return true
}
