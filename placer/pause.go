package placer

import "time"

// A target that turns a request away may say for how long it wants no further one from the
// entry. The entry sends it none in that time, and no health checks.

// maxPause bounds the time for which a target is left alone.
const maxPause = 1 * time.Hour

// notePause records for how long a target wants no requests. The caller must hold the
// lock.
func (t *Target) notePause(d time.Duration, now time.Time) {
	if until := now.Add(min(d, maxPause)); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// isPaused reports whether a target wants no requests now.
func (t *Target) isPaused(now time.Time) bool { return now.Before(t.pausedUntil) }

// PauseLeft returns the time until the first target wants requests again, if none does
// now. It is 0 if one does, or if that isn't known because all are leaving.
func (s *Service) PauseLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least time.Duration
	for _, t := range s.targets {
		switch left := t.pausedUntil.Sub(now); {
		case t.leaving:
		case left <= 0:
			return 0
		case least == 0 || left < least:
			least = left
		}
	}
	return least
}
