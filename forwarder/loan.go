package forwarder

import (
	"context"
	"slices"
	"time"

	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

const (
	// maxCallsPerLoan is the number of calls after which a borrowed permit is
	// returned even while calls are queued here, because calls may be queued at
	// other entries as well.
	maxCallsPerLoan = 4
	// maxReturnedPermits limits the ids of returned permits that are stored.
	maxReturnedPermits = 4096
	// maxPendingLoans limits the loan requests that wait for a permit of one
	// target.
	maxPendingLoans = 256
	// maxLoanWait is how long a loan request waits for a permit.
	maxLoanWait = 800 * time.Millisecond
	// loanRequestsPerCall is the number of loan requests for each queued call.
	loanRequestsPerCall = 2
)

// pendingLoan is a loan request that waits for a permit.
type pendingLoan struct {
	loan warmer.Loan
	// queuedAt is when the request arrived.
	queuedAt time.Time
	// granted is closed when the permit is lent.
	granted chan struct{}
}

// SetBorrower sets the function that sends loan requests and returns of permits
// to other entries, which must not block. It must be called before the first
// call arrives.
func (f *Forwarder) SetBorrower(send func(warmer.Loan)) { f.loanSender = send }

func (f *Forwarder) sendLoan(l warmer.Loan) {
	if f.loanSender != nil {
		f.loanSender(l)
	}
}

// Lend handles a loan request or a return of a permit by another entry, and
// reports whether it succeeded. The entry must own the target. Lend is
// idempotent: a repeated request gets the same permit, and a request that
// arrives after the permit's return is rejected. A request waits up to
// maxLoanWait for a permit.
func (f *Forwarder) Lend(ctx context.Context, l warmer.Loan) bool {
	s := f.serviceOf(l)
	if s == nil {
		return false
	}
	granted, pending := s.lend(l)
	if pending == nil {
		return granted
	}
	timer := time.NewTimer(maxLoanWait)
	defer timer.Stop()
	select {
	case <-pending.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !s.cancelPendingLoan(pending)
}

// Borrowed handles the reply to a loan request of this entry. It returns false
// if the permit isn't needed any more, and the caller must then return it.
func (f *Forwarder) Borrowed(l warmer.Loan, granted bool) bool {
	s := f.serviceOf(l)
	return s != nil && s.receiveLoanReply(l, granted)
}

// WantsLoan reports whether queued calls of the service need another permit.
func (f *Forwarder) WantsLoan(l warmer.Loan) bool {
	s := f.serviceOf(l)
	return s != nil && s.needsPermit()
}

// Reclaim ends the loans to an entry that was evicted from the fleet.
func (f *Forwarder) Reclaim(evicted registrar.Incarnation) {
	t := f.table.Load()
	if t == nil {
		return
	}
	for _, s := range t.services {
		s.reclaim(evicted)
	}
}

func (f *Forwarder) serviceOf(l warmer.Loan) *service {
	t := f.table.Load()
	if t == nil {
		return nil
	}
	return t.services[l.Service]
}

func (s *service) backendOf(l warmer.Loan) *backend {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.name == l.Target })
	if i < 0 {
		return nil
	}
	return s.backends[i]
}

// lend grants a loan, rejects it, or adds it to the pending loans.
func (s *service) lend(l warmer.Loan) (granted bool, pending *pendingLoan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backendOf(l)
	if l.Return {
		s.recordReturned(l.ID)
		if b != nil {
			s.endLoan(b, l)
		}
		return true, nil
	}
	if b == nil || !b.ramp.Home || slices.Contains(s.returnedPermits, l.ID) {
		return false, nil
	}
	if _, ok := b.lent[l.ID]; ok {
		return true, nil
	}
	if len(b.pending) == 0 && s.tryLend(b, l) {
		return true, nil
	}
	if len(b.pending) >= maxPendingLoans {
		return false, nil
	}
	p := &pendingLoan{loan: l, queuedAt: time.Now(), granted: make(chan struct{})}
	b.pending = append(b.pending, p)
	s.pendingLoans++
	return false, p
}

// tryLend lends a permit if one is free. The caller must hold the lock.
func (s *service) tryLend(b *backend, l warmer.Loan) bool {
	if b.index < 0 || !s.pool.Take(b.index) {
		return false
	}
	b.outstanding++
	b.lent[l.ID] = l.Borrower
	return true
}

// grantPendingLoans grants the pending loans that are older than the oldest
// queued call of this entry. It iterates over the targets only if a loan is
// pending. The caller must hold the lock.
func (s *service) grantPendingLoans() {
	if s.pendingLoans == 0 {
		return
	}
	before := s.oldestWaitStart()
	for _, b := range s.backends {
		s.grantPendingLoansOf(b, before)
	}
}

// grantPendingLoansOf grants the pending loans of a target that were queued
// before the given time, oldest first. The caller must hold the lock.
func (s *service) grantPendingLoansOf(b *backend, before time.Time) {
	for len(b.pending) > 0 {
		p := b.pending[0]
		if !p.queuedAt.Before(before) || !s.tryLend(b, p.loan) {
			return
		}
		b.pending = slices.Delete(b.pending, 0, 1)
		s.pendingLoans--
		close(p.granted)
	}
}

// cancelPendingLoan removes a pending loan. It returns false if the loan was
// granted in the meantime.
func (s *service) cancelPendingLoan(p *pendingLoan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backendOf(p.loan)
	if b == nil {
		return true
	}
	i := slices.Index(b.pending, p)
	if i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
		s.pendingLoans--
	}
	return i >= 0
}

// recordReturned stores the id of a returned permit, so that a delayed request
// for it is rejected. The caller must hold the lock.
func (s *service) recordReturned(id warmer.PermitID) {
	s.returnedPermits = append(s.returnedPermits, id)
	if n := len(s.returnedPermits); n > maxReturnedPermits {
		s.returnedPermits = slices.Clone(s.returnedPermits[n-maxReturnedPermits/2:])
	}
}

// endLoan releases a lent permit and counts the responses that the borrower
// reports. The caller must hold the lock.
func (s *service) endLoan(b *backend, l warmer.Loan) {
	if _, ok := b.lent[l.ID]; !ok {
		return
	}
	delete(b.lent, l.ID)
	if l.Bad > 0 {
		b.ramp.Answered(false)
	}
	for range min(l.Good, maxCallsPerLoan*maxPendingLoans) {
		s.countResponse(b, true)
	}
	s.decrementOutstanding(b)
}

func (s *service) reclaim(evicted registrar.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		for id, borrower := range b.lent {
			if borrower == evicted {
				s.endLoan(b, warmer.Loan{ID: id})
			}
		}
	}
}

func (s *service) needsPermit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0 && s.pool.Open() == 0
}

// requestLoan requests a permit of a random cold target on behalf of a queued
// call, unless enough requests are in progress. The caller must hold the lock.
func (s *service) requestLoan() {
	if s.ownership == nil || s.loanRequests >= loanRequestsPerCall*len(s.waiters) || s.loanRequests >= len(s.backends) {
		return
	}
	cold := make([]*backend, 0, len(s.backends))
	for _, b := range s.backends {
		if b.baseLimit > 0 && !b.ramp.Home && b.ramp.Allowed() > 0 && s.limit(b) < b.baseLimit {
			cold = append(cold, b)
		}
	}
	if len(cold) == 0 {
		return
	}
	b := cold[s.rng.IntN(len(cold))]
	s.loanRequests++
	s.sendLoan(warmer.Loan{Service: s.name, Target: b.name})
}

func (s *service) receiveLoanReply(l warmer.Loan, granted bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loanRequests--
	b := s.backendOf(l)
	if !granted || b == nil || len(s.waiters) == 0 {
		if len(s.waiters) > 0 && s.pool.Open() == 0 {
			s.requestLoan()
		}
		return false
	}
	b.borrowed = append(b.borrowed, l.ID)
	b.callsSinceLoan = 0
	s.applyLimit(b)
	return true
}

// returnPermit returns a borrowed permit that is no longer needed or has served
// maxCallsPerLoan calls. The caller must hold the lock.
func (s *service) returnPermit(b *backend) {
	if len(b.borrowed) == 0 {
		return
	}
	b.callsSinceLoan++
	if len(s.waiters) > 0 && b.callsSinceLoan < maxCallsPerLoan && !b.ramp.Level.Warm() {
		return
	}
	if b.outstanding >= s.limit(b) && !b.ramp.Level.Warm() {
		return
	}
	id := b.borrowed[0]
	b.borrowed = b.borrowed[1:]
	b.callsSinceLoan = 0
	s.updatePoolLimit(b)
	s.sendLoan(warmer.Loan{Service: s.name, Target: b.name, ID: id, Return: true, Good: b.loanSuccesses, Bad: b.loanFailures})
	b.loanSuccesses, b.loanFailures = 0, 0
	if len(s.waiters) > 0 {
		s.requestLoan()
	}
}
