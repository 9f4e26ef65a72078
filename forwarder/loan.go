package forwarder

import (
	"context"
	"slices"
	"time"

	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

const (
	// maxUses is the number of calls after which a borrowed permit goes back
	// even while calls wait here, since calls wait elsewhere too.
	maxUses = 4
	// maxReturned bounds the names of returned permits that are remembered.
	maxReturned = 4096
	// maxPending bounds the loans that wait at one target's home.
	maxPending = 256
	// lendWait is how long a loan waits there.
	lendWait = 800 * time.Millisecond
	// asksPerCall is the number of homes that are asked for each call that
	// waits.
	asksPerCall = 2
)

// pendingLoan is a loan that waits for a permit.
type pendingLoan struct {
	loan warmer.Loan
	// since is when it came.
	since time.Time
	// granted is closed when the permit is lent.
	granted chan struct{}
}

// SetBorrower sets who borrows permits from other entries and gives them back;
// it must not block. It is called before the first call.
func (f *Forwarder) SetBorrower(ask func(warmer.Loan)) { f.borrow = ask }

func (f *Forwarder) askLoan(l warmer.Loan) {
	if f.borrow != nil {
		f.borrow(l)
	}
}

// Lend decides, as the target's home, on a loan that another entry asks for or
// gives back. A loan asked for twice is granted once; one that was given back
// is never granted again. Lend waits for a permit for a while.
func (f *Forwarder) Lend(ctx context.Context, l warmer.Loan) bool {
	s := f.service(l)
	if s == nil {
		return false
	}
	granted, pending := s.lend(l)
	if pending == nil {
		return granted
	}
	timer := time.NewTimer(lendWait)
	defer timer.Stop()
	select {
	case <-pending.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !s.forgetPending(pending)
}

// Borrowed takes the answer to a loan that this entry asked for, and tells
// whether the permit is of use. One that is not goes back.
func (f *Forwarder) Borrowed(l warmer.Loan, granted bool) bool {
	s := f.service(l)
	return s != nil && s.borrowedPermit(l, granted)
}

// WantsLoan tells whether calls still wait for a permit of the service.
func (f *Forwarder) WantsLoan(l warmer.Loan) bool {
	s := f.service(l)
	return s != nil && s.hasWaiters()
}

// Reclaim takes back what was lent to an entry that is gone for good.
func (f *Forwarder) Reclaim(gone registrar.Incarnation) {
	t := f.table.Load()
	if t == nil {
		return
	}
	for _, s := range t.services {
		s.reclaim(gone)
	}
}

func (f *Forwarder) service(l warmer.Loan) *service {
	t := f.table.Load()
	if t == nil {
		return nil
	}
	return t.services[l.Service]
}

func (s *service) backend(l warmer.Loan) *backend {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.name == l.Target })
	if i < 0 {
		return nil
	}
	return s.backends[i]
}

// lend grants a loan, refuses it, or has it wait.
func (s *service) lend(l warmer.Loan) (granted bool, pending *pendingLoan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backend(l)
	if l.Return {
		s.remember(l.ID)
		if b != nil {
			s.takeBack(b, l)
		}
		return true, nil
	}
	if b == nil || !b.ramp.Home || slices.Contains(s.returned, l.ID) {
		return false, nil
	}
	if _, ok := b.lent[l.ID]; ok {
		return true, nil
	}
	if len(b.pending) == 0 && s.lendNow(b, l) {
		return true, nil
	}
	if len(b.pending) >= maxPending {
		return false, nil
	}
	p := &pendingLoan{loan: l, since: time.Now(), granted: make(chan struct{})}
	b.pending = append(b.pending, p)
	s.loansWaiting++
	return false, p
}

// lendNow lends a permit if there is one; the caller holds the lock.
func (s *service) lendNow(b *backend, l warmer.Loan) bool {
	if b.index < 0 || !s.pool.Take(b.index) {
		return false
	}
	b.outstanding++
	b.lent[l.ID] = l.Borrower
	return true
}

// grantLoans lends to the loans that came before the oldest waiter of this
// entry. It looks at the targets only when a loan waits; the caller holds the
// lock.
func (s *service) grantLoans() {
	if s.loansWaiting == 0 {
		return
	}
	before := s.oldest()
	for _, b := range s.backends {
		s.grantPending(b, before)
	}
}

// grantPending lends to the loans that wait at a target and came before the
// time given, the oldest first; the caller holds the lock.
func (s *service) grantPending(b *backend, before time.Time) {
	for len(b.pending) > 0 {
		p := b.pending[0]
		if !p.since.Before(before) || !s.lendNow(b, p.loan) {
			return
		}
		b.pending = slices.Delete(b.pending, 0, 1)
		s.loansWaiting--
		close(p.granted)
	}
}

// forgetPending takes a loan out of the queue, unless it was granted at the
// same moment.
func (s *service) forgetPending(p *pendingLoan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backend(p.loan)
	if b == nil {
		return true
	}
	i := slices.Index(b.pending, p)
	if i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
		s.loansWaiting--
	}
	return i >= 0
}

// remember notes a returned permit, so that a late request for it is refused;
// the caller holds the lock.
func (s *service) remember(id warmer.PermitID) {
	s.returned = append(s.returned, id)
	if n := len(s.returned); n > maxReturned {
		s.returned = slices.Clone(s.returned[n-maxReturned/2:])
	}
}

// takeBack ends a loan, and counts the answers that it brought; the caller
// holds the lock.
func (s *service) takeBack(b *backend, l warmer.Loan) {
	if _, ok := b.lent[l.ID]; !ok {
		return
	}
	delete(b.lent, l.ID)
	if l.Bad > 0 {
		b.ramp.Answered(false)
	}
	for range min(l.Good, maxUses*maxPending) {
		s.count(b, true)
	}
	s.free(b)
}

func (s *service) reclaim(gone registrar.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		for id, borrower := range b.lent {
			if borrower == gone {
				s.takeBack(b, warmer.Loan{ID: id})
			}
		}
	}
}

func (s *service) hasWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0 && s.pool.Open() == 0
}

// wantLoan asks for a permit of a cold target, for a call that has to wait,
// unless enough are asked for already; the caller holds the lock.
func (s *service) wantLoan() {
	if s.fleet == nil || s.asking >= asksPerCall*len(s.waiters) || s.asking >= len(s.backends) {
		return
	}
	cold := make([]*backend, 0, len(s.backends))
	for _, b := range s.backends {
		if b.base > 0 && !b.ramp.Home && b.ramp.Allowed() > 0 && s.limit(b) < b.base {
			cold = append(cold, b)
		}
	}
	if len(cold) == 0 {
		return
	}
	b := cold[s.rng.IntN(len(cold))]
	s.asking++
	s.askLoan(warmer.Loan{Service: s.name, Target: b.name})
}

func (s *service) borrowedPermit(l warmer.Loan, granted bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking--
	b := s.backend(l)
	if !granted || b == nil || len(s.waiters) == 0 {
		if len(s.waiters) > 0 && s.pool.Open() == 0 {
			s.wantLoan()
		}
		return false
	}
	b.borrowed = append(b.borrowed, l.ID)
	b.uses = 0
	s.relimit(b)
	return true
}

// giveBack returns borrowed permits that are of no more use, or were used for
// long enough; the caller holds the lock.
func (s *service) giveBack(b *backend) {
	if len(b.borrowed) == 0 {
		return
	}
	b.uses++
	if len(s.waiters) > 0 && b.uses < maxUses && !b.ramp.Level.Warm() {
		return
	}
	if b.outstanding >= s.limit(b) && !b.ramp.Level.Warm() {
		return
	}
	id := b.borrowed[0]
	b.borrowed = b.borrowed[1:]
	b.uses = 0
	s.relimitQuietly(b)
	s.askLoan(warmer.Loan{Service: s.name, Target: b.name, ID: id, Return: true, Good: b.good, Bad: b.bad})
	b.good, b.bad = 0, 0
	if len(s.waiters) > 0 {
		s.wantLoan()
	}
}
