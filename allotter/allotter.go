// Package allotter divides the quotas of organisations among the entries. It does no I/O.
//
// The quota of an organisation has a few parts. A part is a token bucket at the entry that
// holds a certain partition of the fleet (package custodian), so that it is at one entry at
// most. A request takes a token: of a part that its own entry holds, or one that the entry
// borrows from another. A loan ends soon, by the clock of the borrower, and whether it was
// used or not, the lender counts it as used. So the sum over all entries stays within the
// quota whatever becomes of entries and messages.
//
//	verdict, cmds := a.Take(organisation, now)
//
// An entry that holds no part and reaches no holder lets no request through.
package allotter

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
)

const (
	// AskInterval is the time after which an entry asks another holder because the answer
	// is late.
	AskInterval = 15 * time.Millisecond
	// maxDryTime is the longest time for which a holder that had no tokens isn't asked.
	maxDryTime = 200 * time.Millisecond
	// demandDecay is the time over which the demand of an organisation is measured.
	demandDecay = 2 * time.Second
	// aheadFraction is the fraction of the expected demand during a loan that is borrowed
	// ahead.
	aheadFraction = 0.5
	// minAhead is the expected demand during a loan, in requests, above which tokens are
	// borrowed ahead. Below it, too many would end unused.
	minAhead = 2
)

// AskID identifies an ask, so that a loan arrives once.
type AskID uint64

// Ask asks the holder of a part of a quota for tokens.
type Ask struct {
	ID           AskID                   `cbor:"0,keyasint"`
	Organisation loader.OrganisationName `cbor:"1,keyasint"`
	Count        int                     `cbor:"2,keyasint"`
}

// Loan answers an Ask.
type Loan struct {
	ID    AskID `cbor:"0,keyasint"`
	Count int   `cbor:"1,keyasint,omitempty"`
	// Holds is unset if the entry holds no part of the quota, or doesn't know it.
	Holds bool `cbor:"2,keyasint,omitempty"`
	// Wait is the time until there are tokens, if there are none.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// TellCmd sends an ask to an entry.
type TellCmd struct {
	To  netip.Addr
	Ask Ask
}

// Verdict is the answer to a request for a token: Granted, Waiting, Over or Unknown.
type Verdict interface{ verdict() }

// Granted allows the request.
type Granted struct{ Token Token }

// Waiting means that another entry is asked.
type Waiting struct{ Ticket *Ticket }

// Over means that the quota is used up.
type Over struct{ RetryAfter time.Duration }

// Unknown means that no holder of the quota can be reached.
type Unknown struct{}

func (Granted) verdict() {}
func (Waiting) verdict() {}
func (Over) verdict()    {}
func (Unknown) verdict() {}

// Token allows one request. The zero value is that of a request without a quota.
type Token struct {
	organisation loader.OrganisationName
	// until is when the token ends if it is given back: one of the entry's own parts is like
	// a loan to itself.
	until time.Time
	// suspensions is the number of suspensions before the token was taken.
	suspensions int
}

// Ticket is a request that waits for a token.
type Ticket struct {
	organisation loader.OrganisationName
	result       chan Verdict
	// asked are the holders that were asked, open the number of them that have not answered.
	asked []netip.Addr
	open  int
	// dry is set if a holder has answered that there are no tokens, and wait is the
	// shortest time until there are some.
	dry  bool
	wait time.Duration
}

// Result receives the final verdict.
func (t *Ticket) Result() <-chan Verdict { return t.result }

// account is what the entry knows of the quota of an organisation that it borrows from.
type account struct {
	loans   []loan
	waiting []*Ticket
	// dry holds the holders that had no tokens.
	dry map[netip.Addr]dryness
	// demand is the rate of requests, at demandAt.
	demand   float64
	demandAt time.Time
}

type loan struct {
	count int
	until time.Time
}

// dryness is until when a holder isn't asked again, and when it expects to have tokens.
type dryness struct{ until, wait time.Time }

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	organisation loader.OrganisationName
	to           netip.Addr
	// count is the number of tokens that were asked for. No more are accepted.
	count  int
	at     time.Time
	ticket *Ticket
}

// Allotter takes, borrows and lends tokens for one entry. It is safe for concurrent use.
type Allotter struct {
	mu sync.Mutex
	lender
	self netip.Addr
	// holders holds the addresses of the entries that partitions are assigned to.
	holders []netip.Addr
	// random returns random numbers.
	random   func() uint64
	accounts map[loader.OrganisationName]*account
	pending  map[AskID]pendingAsk
	sweptAt  time.Time
	// suspensions counts the suspensions of the machine. Loans end with each.
	suspensions int
}

// New returns an allotter of the entry at an address, which knows no quotas.
func New(self netip.Addr, random func() uint64) *Allotter {
	return &Allotter{
		self: self, random: random, lender: lender{pots: map[loader.OrganisationName]*pot{}},
		accounts: map[loader.OrganisationName]*account{}, pending: map[AskID]pendingAsk{},
	}
}

// SetTerms sets the terms of all quotas.
func (a *Allotter) SetTerms(t Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.terms = t
}

// SetLimits sets the quotas of the organisations. What is known of others is forgotten.
func (a *Allotter) SetLimits(limits map[loader.OrganisationName]Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	for name, acc := range a.accounts {
		if _, ok := limits[name]; !ok && len(acc.waiting) == 0 {
			delete(a.accounts, name)
		}
	}
	for name := range a.pots {
		if _, ok := limits[name]; !ok {
			delete(a.pots, name)
		}
	}
}

// SetShare sets the entry's share of the fleet.
func (a *Allotter) SetShare(share limiter.Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share = share
}

// SetHolders sets the addresses of the entries that the partitions are assigned to, as far
// as this entry knows them.
func (a *Allotter) SetHolders(holders []netip.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders = holders
}

// Suspended ends all loans, as the machine was suspended and the clock has not counted that.
func (a *Allotter) Suspended() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspensions++
	clear(a.pending)
	for _, acc := range a.accounts {
		acc.loans = nil
		for _, t := range acc.waiting {
			t.result <- Unknown{}
		}
		acc.waiting = nil
	}
}

// Take takes a token for a request of an organisation, and returns the commands to execute.
func (a *Allotter) Take(name loader.OrganisationName, now time.Time) (Verdict, []TellCmd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.limit(name); !ok || a.terms.Window == 0 {
		return Granted{}, nil
	}
	acc := a.account(name)
	acc.measure(now)
	if v, ok := a.takeHere(name, acc, now); ok {
		return v, a.askAhead(name, acc, now)
	}
	t := &Ticket{organisation: name, result: make(chan Verdict, 1)}
	cmds := a.askNext(t, acc, now)
	if len(cmds) == 0 {
		return t.refusal(), nil
	}
	acc.waiting = append(acc.waiting, t)
	return Waiting{t}, cmds
}

// account returns the account of an organisation.
func (a *Allotter) account(name loader.OrganisationName) *account {
	acc, ok := a.accounts[name]
	if !ok {
		acc = &account{dry: map[netip.Addr]dryness{}}
		a.accounts[name] = acc
	}
	return acc
}

// measure counts a request in the demand.
func (acc *account) measure(now time.Time) {
	dt := max(0, now.Sub(acc.demandAt).Seconds())
	acc.demand = acc.demand*math.Exp(-dt/demandDecay.Seconds()) + 1/demandDecay.Seconds()
	acc.demandAt = now
}

// ahead returns the number of tokens that are worth borrowing ahead.
func (acc *account) ahead() int {
	expected := acc.demand * loanTime.Seconds()
	if expected < minAhead {
		return 0
	}
	return int(aheadFraction * expected)
}

// takeHere takes a token of the entry's own parts, or one that was borrowed.
func (a *Allotter) takeHere(name loader.OrganisationName, acc *account, now time.Time) (Granted, bool) {
	token := Token{organisation: name, suspensions: a.suspensions}
	if n, _, _ := a.take(name, 1, now); n > 0 {
		token.until = now.Add(loanTime)
		return Granted{token}, true
	}
	acc.loans = slices.DeleteFunc(acc.loans, func(l loan) bool { return l.count == 0 || !now.Before(l.until) })
	if len(acc.loans) == 0 {
		return Granted{}, false
	}
	acc.loans[0].count--
	token.until = acc.loans[0].until
	return Granted{token}, true
}

// askAhead asks for tokens if the last one that was borrowed is used and more will be
// needed soon.
func (a *Allotter) askAhead(name loader.OrganisationName, acc *account, now time.Time) []TellCmd {
	if len(acc.loans) != 1 || acc.loans[0].count > 0 || acc.ahead() == 0 {
		return nil
	}
	return a.askNext(&Ticket{organisation: name}, acc, now)
}

// askNext asks a holder that the ticket has not asked. It returns nothing if there is none.
func (a *Allotter) askNext(t *Ticket, acc *account, now time.Time) []TellCmd {
	if a.share.Total == 0 || len(a.holders) < a.share.Total {
		return nil
	}
	parts := a.terms.parts()
	first := int(a.random() % uint64(parts))
	for i := range parts {
		to := a.holders[partition(a.share, t.organisation, (first+i)%parts, parts)]
		if !to.IsValid() || to == a.self || slices.Contains(t.asked, to) {
			continue
		}
		t.asked = append(t.asked, to)
		if d := acc.dry[to]; now.Before(d.until) {
			t.noteDry(max(0, d.wait.Sub(now)))
			continue
		}
		t.open++
		ask := Ask{ID: AskID(a.random()), Organisation: t.organisation, Count: 1 + acc.ahead()}
		a.pending[ask.ID] = pendingAsk{organisation: t.organisation, to: to, count: ask.Count, at: now, ticket: t}
		a.sweep(now)
		return []TellCmd{{To: to, Ask: ask}}
	}
	if _, wait, holds := a.take(t.organisation, 0, now); holds {
		t.noteDry(wait)
	}
	return nil
}

// noteDry records that a holder has no tokens.
func (t *Ticket) noteDry(wait time.Duration) {
	if !t.dry || wait < t.wait {
		t.dry, t.wait = true, wait
	}
}

// refusal returns the verdict on a request that got no token.
func (t *Ticket) refusal() Verdict {
	if t.dry {
		return Over{RetryAfter: t.wait}
	}
	return Unknown{}
}

// sweep forgets the asks whose answers would be of no use.
func (a *Allotter) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < loanTime {
		return
	}
	a.sweptAt = now
	for id, p := range a.pending {
		if now.Sub(p.at) >= loanTime {
			delete(a.pending, id)
		}
	}
}

// HearAsk answers another entry.
func (a *Allotter) HearAsk(ask Ask, now time.Time) Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, wait, holds := a.take(ask.Organisation, max(1, ask.Count), now)
	return Loan{ID: ask.ID, Count: n, Holds: holds, Wait: wait}
}

// HearLoan applies an answer to an ask, and returns the commands to execute.
func (a *Allotter) HearLoan(l Loan, now time.Time) []TellCmd {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pending[l.ID]
	if !ok {
		return nil
	}
	delete(a.pending, l.ID)
	p.ticket.open--
	acc := a.account(p.organisation)
	if l.Count > 0 {
		delete(acc.dry, p.to)
		acc.loans = append(acc.loans, loan{count: min(l.Count, p.count), until: p.at.Add(loanTime)})
		a.serve(p.organisation, acc, p.ticket, now)
		return nil
	}
	acc.dry[p.to] = dryness{until: now.Add(min(max(0, l.Wait), maxDryTime)), wait: now.Add(l.Wait)}
	if l.Holds {
		p.ticket.noteDry(l.Wait)
	}
	if !slices.Contains(acc.waiting, p.ticket) {
		return nil
	}
	cmds := a.askNext(p.ticket, acc, now)
	if len(cmds) == 0 && p.ticket.open == 0 {
		a.finish(p.ticket, acc, p.ticket.refusal())
	}
	return cmds
}

// serve grants what was borrowed to the requests that wait: first to the one that asked for
// it, which has no other ask under way, and then in their order.
func (a *Allotter) serve(name loader.OrganisationName, acc *account, first *Ticket, now time.Time) {
	for len(acc.waiting) > 0 {
		t := acc.waiting[0]
		if slices.Contains(acc.waiting, first) {
			t = first
		}
		v, ok := a.takeHere(name, acc, now)
		if !ok {
			return
		}
		a.finish(t, acc, v)
	}
}

// finish ends the wait of a ticket.
func (*Allotter) finish(t *Ticket, acc *account, v Verdict) {
	acc.waiting = slices.DeleteFunc(acc.waiting, func(other *Ticket) bool { return other == t })
	t.result <- v
}

// AskAgain asks another holder for a ticket, because the answer is late.
func (a *Allotter) AskAgain(t *Ticket, now time.Time) []TellCmd {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.account(t.organisation)
	if !slices.Contains(acc.waiting, t) {
		return nil
	}
	cmds := a.askNext(t, acc, now)
	switch {
	case len(cmds) > 0:
	case t.open == 0:
		a.finish(t, acc, t.refusal())
	default:
		t.asked = nil // messages may have been lost
	}
	return cmds
}

// Leave ends the wait of a ticket, and returns the verdict on its request.
func (a *Allotter) Leave(t *Ticket) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case v := <-t.result:
		return v
	default:
	}
	acc := a.account(t.organisation)
	acc.waiting = slices.DeleteFunc(acc.waiting, func(other *Ticket) bool { return other == t })
	return t.refusal()
}

// GiveBack returns the token of a request that has not run.
func (a *Allotter) GiveBack(token Token, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if token.organisation == "" || token.suspensions != a.suspensions || !now.Before(token.until) {
		return
	}
	acc := a.account(token.organisation)
	acc.loans = slices.DeleteFunc(acc.loans, func(l loan) bool { return l.count == 0 || !now.Before(l.until) })
	acc.loans = append(acc.loans, loan{count: 1, until: token.until})
	a.serve(token.organisation, acc, nil, now)
}

// Left returns the tokens that the entry holds and has borrowed, by organisation; -1 where it
// holds and has borrowed none.
func (a *Allotter) Left(now time.Time) map[loader.OrganisationName]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := map[loader.OrganisationName]float64{}
	for name := range a.limits {
		n := a.left(name, now)
		if acc, ok := a.accounts[name]; ok {
			for _, l := range acc.loans {
				if now.Before(l.until) {
					n = max(0, n) + float64(l.count)
				}
			}
		}
		left[name] = n
	}
	return left
}
