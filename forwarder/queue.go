package forwarder

import (
	"context"
	"slices"
	"time"
)

// acquire returns a backend with room, not among those tried or struck if any
// other will do, and counts the call as outstanding there. It waits for room
// until the context ends or maxWait is over.
func (s *service) acquire(ctx context.Context, maxWait time.Duration, tried []*backend, struck []string) (*backend, error) {
	s.mu.Lock()
	avoid := tried
	if len(struck) > 0 {
		avoid = s.withStruck(tried, struck)
	}
	if b, ok := s.pick(avoid); ok {
		s.mu.Unlock()
		return b, nil
	}
	if !s.inService() {
		s.mu.Unlock()
		return nil, errNoTarget
	}
	if maxWait <= 0 || len(s.waiters) >= s.settings.Queue {
		s.mu.Unlock()
		return nil, errQueueFull
	}
	w := &waiter{granted: make(chan *backend, 1), since: time.Now()}
	s.waiters = append(s.waiters, w)
	s.stats.waiting.Update(int64(len(s.waiters)))
	for range asksPerCall {
		s.wantLoan()
	}
	s.mu.Unlock()

	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case b := <-w.granted:
		return b, nil
	case <-timer.C:
		return s.giveUp(w, errWaitOver)
	case <-ctx.Done():
		return s.giveUp(w, ctx.Err())
	}
}

// giveUp takes a waiter out of the queue. One that was granted a backend at
// the same moment keeps it.
func (s *service) giveUp(w *waiter, cause error) (*backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		s.stats.waiting.Update(int64(len(s.waiters)))
		return nil, cause
	}
	return <-w.granted, nil
}

// grantWaiters hands room to whoever waited longest, here or at other entries;
// the caller holds the lock.
func (s *service) grantWaiters() {
	s.grantLoans()
	for len(s.waiters) > 0 {
		b, ok := s.pick(nil)
		if !ok {
			return
		}
		w := s.waiters[0]
		s.waiters = slices.Delete(s.waiters, 0, 1)
		s.stats.waiting.Update(int64(len(s.waiters)))
		w.granted <- b
	}
	s.grantLoans()
}

// withStruck adds the backends of that name to those tried; the caller holds
// the lock.
func (s *service) withStruck(tried []*backend, struck []string) []*backend {
	all := slices.Clone(tried)
	for _, b := range s.backends {
		if slices.Contains(struck, b.limitName) {
			all = append(all, b)
		}
	}
	return all
}

// oldest is when the call that waits longest here began to; the caller holds
// the lock.
func (s *service) oldest() time.Time {
	if len(s.waiters) == 0 {
		return time.Now().Add(time.Hour)
	}
	return s.waiters[0].since
}
