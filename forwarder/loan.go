package forwarder

import (
	"slices"

	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// maxUses is the number of calls after which a borrowed permit goes back even
// while calls wait here, since calls wait elsewhere too.
const maxUses = 16

// maxReturned bounds the names of returned permits that are remembered.
const maxReturned = 4096

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
// is never granted again.
func (f *Forwarder) Lend(l warmer.Loan) bool {
	if s := f.service(l); s != nil {
		return s.lend(l)
	}
	return false
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

func (s *service) lend(l warmer.Loan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backend(l)
	if l.Return {
		s.remember(l.ID)
		if b != nil {
			s.takeBack(b, l.ID)
		}
		return true
	}
	if b == nil || !b.ramp.Home || slices.Contains(s.returned, l.ID) {
		return false
	}
	if _, ok := b.lent[l.ID]; ok {
		return true
	}
	if !s.pool.Take(b.index) {
		return false
	}
	b.outstanding++
	b.lent[l.ID] = l.Borrower
	return true
}

// remember notes a returned permit, so that a late request for it is refused;
// the caller holds the lock.
func (s *service) remember(id warmer.PermitID) {
	s.returned = append(s.returned, id)
	if n := len(s.returned); n > maxReturned {
		s.returned = slices.Clone(s.returned[n-maxReturned/2:])
	}
}

// takeBack ends a loan; the caller holds the lock.
func (s *service) takeBack(b *backend, id warmer.PermitID) {
	if _, ok := b.lent[id]; ok {
		delete(b.lent, id)
		s.free(b)
	}
}

func (s *service) reclaim(gone registrar.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		for id, borrower := range b.lent {
			if borrower == gone {
				s.takeBack(b, id)
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
	if s.fleet == nil || s.asking >= len(s.waiters) || s.asking >= len(s.backends) {
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
	if part := s.limit(b) - len(b.borrowed); b.outstanding > part+len(b.borrowed)-1 && !b.ramp.Level.Warm() {
		return
	}
	id := b.borrowed[0]
	b.borrowed = b.borrowed[1:]
	b.uses = 0
	s.relimitQuietly(b)
	s.askLoan(warmer.Loan{Service: s.name, Target: b.name, ID: id, Return: true})
	if len(s.waiters) > 0 {
		s.wantLoan()
	}
}
