package placer

import (
	"time"

	"savoryroad.dev/loader"
)

// A target that is about to leave says so in its answers, often before its registration
// does. From the first such answer on it gets no further request. The entry that was told
// tells its peers.

// Leaving tells that a target is about to leave.
type Leaving struct {
	Service loader.ServiceName `cbor:"0,keyasint"`
	Target  loader.TargetName  `cbor:"1,keyasint"`
	// Born identifies the start of the target.
	Born int64 `cbor:"2,keyasint"`
}

// noteLeaving records that a target has said that it is leaving. The caller must hold the
// lock.
func (s *Service) noteLeaving(t *Target) {
	if t.leaving {
		return
	}
	t.leaving = true
	s.newlyLeaving = append(s.newlyLeaving, Leaving{Service: s.name, Target: t.Name, Born: t.startedMs})
}

// TakeLeaving returns the targets that have said since the last call that they are leaving.
func (s *Service) TakeLeaving() []Leaving {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.newlyLeaving
	s.newlyLeaving = nil
	return taken
}

// HearLeaving records that a peer was told that a target is leaving, and reports whether
// that is news.
func (s *Service) HearLeaving(l Leaving) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[l.Target]
	if t == nil || t.startedMs != l.Born || t.leaving {
		return false
	}
	t.leaving = true
	return true
}

// awayTTL is how long what a target has said is kept after it is no longer listed.
const awayTTL = 10 * time.Minute

// awayTarget is what a target has said that was listed until a time.
type awayTarget struct {
	limit   targetLimit
	leaving bool
	// pausedUntil is the time until which it wants no requests of this entry.
	pausedUntil time.Time
	startedMs   int64
	until       time.Time
}

// keep keeps what a target has said that is no longer listed, and drops what is too old.
func (s *Service) keep(t *Target, now time.Time) {
	for name, a := range s.away {
		if now.Sub(a.until) > awayTTL {
			delete(s.away, name)
		}
	}
	if t.limit.named || t.leaving || t.isPaused(now) {
		s.away[t.Name] = awayTarget{limit: t.limit, leaving: t.leaving, pausedUntil: t.pausedUntil, startedMs: t.startedMs, until: now}
	}
}

// restore applies what is known of a target that is listed again, or that has moved.
func (s *Service) restore(t *Target, now time.Time) {
	known := s.away[t.Name]
	delete(s.away, t.Name)
	if former := s.targets[t.Name]; former != nil {
		known = awayTarget{limit: former.limit, leaving: former.leaving, pausedUntil: former.pausedUntil, startedMs: former.startedMs}
	}
	if known.startedMs != t.startedMs {
		return
	}
	t.leaving, t.pausedUntil = known.leaving, known.pausedUntil
	if known.limit.named {
		s.restoreLimit(t, known.limit, now)
	}
}
