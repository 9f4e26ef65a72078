package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"savoryroad.dev/deduplicator"
	"savoryroad.dev/isolator"
	"savoryroad.dev/messenger"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

const (
	// gossipInterval is the time between two rounds of digests.
	gossipInterval = time.Second
	// gossipFanout is the number of peers told in one round.
	gossipFanout = 2
	// askTimeout bounds one question to a peer.
	askTimeout = time.Second
	// claimTimeout bounds all questions about one claim.
	claimTimeout = 2 * time.Second
	// claimPause is the wait before a claim is put again.
	claimPause = 20 * time.Millisecond
	// settleTimeout bounds the effort to deliver one result.
	settleTimeout = 30 * time.Second
	// settlePause is the wait before a result is delivered again.
	settlePause = 200 * time.Millisecond
	// ownTimeout bounds the wait for a transfer to be read back.
	ownTimeout = 3 * time.Second
	// newsWaiting bounds the news that wait to be told.
	newsWaiting = 4096
	// newsTimeout bounds the effort to deliver one piece of news.
	newsTimeout = 10 * time.Second
	// loanPause is the wait before a loan that was refused is answered to
	// those who want it, so that they do not ask at once again.
	loanPause = 20 * time.Millisecond
	// forgetInterval is the time between two clean-ups of old keys.
	forgetInterval = 10 * time.Second
)

var errUncertain = errors.New("outcome of the append is not known")

// peers is an entry's link to the other entries. It owns shares, answers for
// the keys in them, and asks others for theirs.
type peers struct {
	b      *Balancer
	self   registrar.Owner
	memory *deduplicator.Memory
	// table is the newest state of the shares.
	table atomic.Pointer[registrar.Table]
	// client and server are nil when the entry has no peers.
	client *messenger.Client
	server *messenger.Server
	// news waits to be told to peers.
	news chan warmer.News
	// strikes waits to be told to peers.
	strikes chan isolator.Strike
	// loans waits to be asked for or given back.
	loans chan warmer.Loan
	// leaving guards and holds the shares that are being given away.
	leaving struct {
		sync.Mutex
		shares []registrar.Share
	}
	// asked counts the messages sent to peers.
	asked metrics.Counter
	// kicked holds one token when a round of digests is wanted at once.
	kicked chan struct{}
}

func newPeers(b *Balancer) (*peers, error) {
	p := &peers{
		b:       b,
		memory:  deduplicator.New(),
		kicked:  make(chan struct{}, 1),
		asked:   b.rec.Counter("peer_requests_total"),
		news:    make(chan warmer.News, newsWaiting),
		loans:   make(chan warmer.Loan, newsWaiting),
		strikes: make(chan isolator.Strike, newsWaiting),
		self: registrar.Owner{
			Incarnation: registrar.Incarnation(uuid.NewString()),
			Entry:       b.settings.Name,
		},
	}
	p.table.Store(&registrar.Table{})
	s := b.settings.Peers
	if !s.Enabled() {
		return p, nil
	}
	keys, err := messenger.LoadKeys(s.CertFile, s.KeyFile, s.CAFile)
	if err != nil {
		return nil, err
	}
	p.client = messenger.NewClient(keys.ClientTLS())
	p.server, err = messenger.Listen(s.Listen.String(), keys.ServerTLS(), p.handle)
	if err != nil {
		return nil, err
	}
	p.self.Peer = p.server.Addr().(*net.UDPAddr).AddrPort()
	return p, nil
}

// run gossips and cleans up until the context ends.
func (p *peers) run(ctx context.Context) error {
	if p.server != nil {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = p.server.Run(ctx)
		}()
		defer func() { <-done }()
		defer p.client.Close()
	}
	gossip := time.NewTicker(gossipInterval)
	defer gossip.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gossip.C:
			p.gossip(ctx)
		case <-p.kicked:
			p.gossip(ctx)
		case <-forget.C:
			p.memory.Forget(time.Now())
		case n := <-p.news:
			p.spread(ctx, n)
		case s := <-p.strikes:
			p.tellAll(ctx, messenger.Request{Strike: &s})
		case l := <-p.loans:
			go p.settleLoan(ctx, l)
		}
	}
}

// own takes over what a newer table says.
func (p *peers) own(t registrar.Table) {
	for _, gone := range p.table.Load().Evicted(t) {
		p.b.forwarder.Reclaim(gone)
	}
	p.memory.Own(t, p.self.Incarnation)
	p.table.Store(&t)
	p.limitTraffic()
}

// limitTraffic gives traffic the shares that this entry owns and keeps.
func (p *peers) limitTraffic() {
	if p.client == nil {
		return
	}
	p.leaving.Lock()
	defer p.leaving.Unlock()
	p.b.forwarder.SetFleet(*p.table.Load(), p.self.Incarnation, p.leaving.shares)
}

// kick asks for a round of digests at once.
func (p *peers) kick() {
	select {
	case p.kicked <- struct{}{}:
	default:
	}
}

func (p *peers) ownsAny() bool {
	return len(p.table.Load().OwnedBy(p.self.Incarnation)) > 0
}

// PeersAddr returns the address that peers reach; it is zero for an entry that
// is alone.
func (b *Balancer) PeersAddr() netip.AddrPort { return b.peers.self.Peer }

// OwnsShares tells whether the entry owns any share of the fleet.
func (b *Balancer) OwnsShares() bool { return b.peers.ownsAny() }

// SharesComplete tells whether, as far as the entry knows, every share of the
// fleet has an owner.
func (b *Balancer) SharesComplete() bool { return len(b.peers.table.Load().Vacant()) == 0 }

func (p *peers) hasLivePeer() bool {
	return p.b.loop.Model().HearsPeers(time.Now())
}

// ask sends a request to a peer and waits for the answer.
func (p *peers) ask(ctx context.Context, peer netip.AddrPort, r messenger.Request) (messenger.Answer, error) {
	p.asked.Inc(1)
	return p.client.Ask(ctx, peer, r)
}

func (p *peers) bytes() int64 {
	if p.client == nil {
		return 0
	}
	return p.client.Bytes()
}

// handle answers a peer's request.
func (p *peers) handle(ctx context.Context, r messenger.Request) messenger.Answer {
	switch {
	case r.Claim != nil:
		return messenger.Answer{Claim: messenger.NewClaimAnswer(p.memory.Claim(*r.Claim, time.Now()))}
	case r.Settle != nil:
		return messenger.Answer{Done: p.memory.Settle(r.Settle.Key, r.Settle.Attempt, r.Settle.Result)}
	case len(r.News) > 0:
		p.hearAll(r.News)
		return messenger.Answer{Done: true}
	case r.Strike != nil:
		p.b.forwarder.HearStrike(*r.Strike)
		return messenger.Answer{Done: true}
	case r.Loan != nil:
		return messenger.Answer{Done: p.b.forwarder.Lend(ctx, *r.Loan)}
	case r.Handover != nil:
		p.hearAll(r.Handover.Levels)
		p.memory.Receive(r.Handover.Shares, r.Handover.Keys)
		return messenger.Answer{Done: true}
	case r.Digest != nil:
		return p.answerDigest(ctx, *r.Digest)
	}
	return messenger.Answer{}
}
