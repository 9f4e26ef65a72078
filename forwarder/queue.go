package forwarder

import (
	"context"
	"slices"
	"time"
)

// acquire reserves capacity at a backend, preferably one that is neither tried
// nor struck, and counts the call as outstanding there. If no backend has
// capacity, acquire waits until one has, the context ends, or maxWait has
// passed.
func (s *service) acquire(ctx context.Context, maxWait time.Duration, tried []*backend, struck []string) (*backend, error) {
	s.mu.Lock()
	avoid := tried
	if len(struck) > 0 {
		avoid = s.addStruck(tried, struck)
	}
	if b, ok := s.pick(avoid); ok {
		s.mu.Unlock()
		return b, nil
	}
	if !s.anyInService() {
		s.mu.Unlock()
		return nil, errNoneInService
	}
	if maxWait <= 0 || len(s.waiters) >= s.settings.Queue {
		s.mu.Unlock()
		return nil, errQueueFull
	}
	w := &waiter{granted: make(chan *backend, 1), queuedAt: time.Now()}
	s.waiters = append(s.waiters, w)
	s.stats.waiting.Update(int64(len(s.waiters)))
	for range loanRequestsPerCall {
		s.requestLoan()
	}
	s.mu.Unlock()

	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case b := <-w.granted:
		return b, nil
	case <-timer.C:
		return s.cancelWait(w, errWaitTimeout)
	case <-ctx.Done():
		return s.cancelWait(w, ctx.Err())
	}
}

// cancelWait removes a waiter from the queue and returns the cause. A waiter
// that was granted a backend in the meantime gets the backend instead.
func (s *service) cancelWait(w *waiter, cause error) (*backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		s.stats.waiting.Update(int64(len(s.waiters)))
		return nil, cause
	}
	return <-w.granted, nil
}

// grantWaiters assigns free capacity in the order of arrival, to queued calls
// and to the pending loans of other entries. The caller must hold the lock.
func (s *service) grantWaiters() {
	s.grantPendingLoans()
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
	s.grantPendingLoans()
}

// addStruck returns tried plus the backends whose limitName is in struck. The
// caller must hold the lock.
func (s *service) addStruck(tried []*backend, struck []string) []*backend {
	all := slices.Clone(tried)
	for _, b := range s.backends {
		if slices.Contains(struck, b.limitName) {
			all = append(all, b)
		}
	}
	return all
}

// oldestWaitStart returns when the oldest queued call was queued, or a time in
// the future if none is. The caller must hold the lock.
func (s *service) oldestWaitStart() time.Time {
	if len(s.waiters) == 0 {
		return time.Now().Add(time.Hour)
	}
	return s.waiters[0].queuedAt
}
