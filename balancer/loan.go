package balancer

import (
	"context"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/messenger"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// askLoan takes a loan to be asked for or given back. A request that finds no
// place counts as refused; what is given back is never dropped.
func (p *peers) askLoan(l warmer.Loan) {
	select {
	case p.loans <- l:
	default:
		go p.settleLoan(context.Background(), l)
	}
}

// settleLoan asks the target's home for a permit, or gives one back.
func (p *peers) settleLoan(ctx context.Context, l warmer.Loan) {
	l.Borrower = p.self.Incarnation
	if l.Return {
		p.returnLoan(ctx, l)
		return
	}
	l.ID = warmer.PermitID(uuid.NewString())
	granted, certain := p.loanOnce(ctx, l)
	if !granted {
		time.Sleep(loanPause)
	}
	used := p.b.forwarder.Borrowed(l, granted)
	if !used && (granted || !certain) {
		l.Return = true
		p.returnLoan(ctx, l)
	}
}

// returnLoan gives a permit back, for as long as it takes.
func (p *peers) returnLoan(ctx context.Context, l warmer.Loan) {
	for ctx.Err() == nil {
		if done, _ := p.loanOnce(ctx, l); done {
			return
		}
		time.Sleep(settlePause)
	}
}

// loanOnce puts a loan to the target's home. The answer is certain unless the
// home may have acted without our hearing of it.
func (p *peers) loanOnce(ctx context.Context, l warmer.Loan) (done, certain bool) {
	owner, ok := p.table.Load().Owner(registrar.ShareOf(warmer.LimitName(l.Service, l.Target)))
	switch {
	case !ok || p.client == nil:
		return false, true
	case owner.Incarnation == p.self.Incarnation:
		return p.b.forwarder.Lend(ctx, l), true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := p.ask(ctx, owner.Peer, messenger.Request{Loan: &l})
	return err == nil && a.Done, err == nil
}
