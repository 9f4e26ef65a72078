package balancer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"savoryroad.dev/appender"
	"savoryroad.dev/controller"
	"savoryroad.dev/deduplicator"
	"savoryroad.dev/messenger"
	"savoryroad.dev/publisher"
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
	loanPause = 2 * time.Millisecond
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
		b:      b,
		memory: deduplicator.New(),
		kicked: make(chan struct{}, 1),
		asked:  b.rec.Counter("peer_requests_total"),
		news:   make(chan warmer.News, newsWaiting),
		loans:  make(chan warmer.Loan, newsWaiting),
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

// setLeaving sets the shares that are being given away.
func (p *peers) setLeaving(shares []registrar.Share) {
	p.leaving.Lock()
	p.leaving.shares = shares
	p.leaving.Unlock()
	p.limitTraffic()
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

// digest says how far this entry has read the log.
func (p *peers) digest() *messenger.Digest {
	m := p.b.loop.Model()
	return &messenger.Digest{
		From:     p.self,
		Stopping: m.Phase == controller.Stopping,
		Next:     m.Reader.Next,
		Revision: m.Reader.State.Revision,
		Synced:   m.Reader.Synced,
	}
}

// gossip sends a digest to a few peers drawn at random. Whoever of the two is
// behind learns what it lacks.
func (p *peers) gossip(ctx context.Context) {
	if p.client == nil {
		return
	}
	known := p.addresses()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, peer := range known[:min(gossipFanout, len(known))] {
		go p.exchange(ctx, peer)
	}
}

// addresses lists the owners of shares, other peers heard of, and the seeds.
func (p *peers) addresses() []netip.AddrPort {
	set := map[netip.AddrPort]bool{}
	for _, o := range p.table.Load().Owners() {
		set[o.Peer] = true
	}
	for _, seen := range p.b.loop.Model().Fleet.Peers {
		set[seen.Peer.Peer] = true
	}
	for _, seed := range p.b.settings.Peers.Seeds {
		set[seed] = true
	}
	delete(set, p.self.Peer)
	delete(set, netip.AddrPort{})
	var all []netip.AddrPort
	for a := range set {
		all = append(all, a)
	}
	return all
}

// exchange compares notes with a peer.
func (p *peers) exchange(ctx context.Context, peer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := p.ask(ctx, peer, messenger.Request{Digest: p.digest()})
	if err != nil || a.Digest == nil {
		return
	}
	p.heard(ctx, *a.Digest)
	p.hearAll(a.Levels)
	if len(a.Records) > 0 {
		if page, err := a.Page(); err == nil {
			p.b.loop.Send(ctx, controller.PeerPageMsg{Page: page})
		}
		return
	}
	if len(a.Reader) > 0 {
		var r publisher.Reader
		if err := json.Unmarshal(a.Reader, &r); err == nil {
			p.b.loop.Send(ctx, controller.PeerStateMsg{Reader: r})
		}
	}
}

// heard notes that a peer lives; one that is behind is told at once.
func (p *peers) heard(ctx context.Context, d messenger.Digest) {
	p.b.loop.Send(ctx, controller.PeerSeenMsg{Peer: d.From, Stopping: d.Stopping})
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
	case r.Loan != nil:
		return messenger.Answer{Done: p.b.forwarder.Lend(*r.Loan)}
	case r.Handover != nil:
		p.hearAll(r.Handover.Levels)
		p.memory.Receive(r.Handover.Shares, r.Handover.Keys)
		return messenger.Answer{Done: true}
	case r.Digest != nil:
		return p.answerDigest(ctx, *r.Digest)
	}
	return messenger.Answer{}
}

// answerDigest gives a peer that is behind what it lacks, and asks one that is
// ahead.
func (p *peers) answerDigest(ctx context.Context, d messenger.Digest) messenger.Answer {
	p.heard(ctx, d)
	own := p.digest()
	a := messenger.Answer{Digest: own, Levels: p.b.forwarder.HomeLevels()}
	switch {
	case own.Synced && d.Next < own.Next, own.Synced && !d.Synced && d.Next == own.Next:
		p.fill(&a, d)
	case d.Synced && d.Next > own.Next && d.From.Peer.IsValid():
		go p.exchange(context.WithoutCancel(ctx), d.From.Peer)
	}
	return a
}

// fill adds the records that a peer lacks, or the whole state when too many
// are missing.
func (p *peers) fill(a *messenger.Answer, d messenger.Digest) {
	m := p.b.loop.Model()
	covered := len(m.Recent) > 0 && m.Recent[0].Offset <= d.Next && (d.Synced || d.Next == 0)
	if !covered {
		a.Reader, _ = json.Marshal(m.Reader)
		return
	}
	page := appender.Page{Head: d.Next, Next: m.Reader.Next, End: m.Reader.Next}
	page.Records = m.Recent[d.Next-m.Recent[0].Offset:]
	a.Records, _ = json.Marshal(page)
}

// Claim asks the owner of the key for the right to dispatch a call.
func (p *peers) Claim(ctx context.Context, c deduplicator.Claim) deduplicator.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		v := p.claimOnce(ctx, c)
		refused, ok := v.(deduplicator.Refused)
		if !ok || refused.Reason != deduplicator.NotOwner && refused.Reason != deduplicator.Unreachable {
			return v
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
			return deduplicator.Refused{Reason: deduplicator.Unreachable}
		}
	}
}

func (p *peers) claimOnce(ctx context.Context, c deduplicator.Claim) deduplicator.Verdict {
	owner, ok := p.table.Load().Owner(registrar.ShareOf(c.Key))
	switch {
	case !ok:
		return deduplicator.Refused{Reason: deduplicator.Unreachable}
	case owner.Incarnation == p.self.Incarnation:
		return p.memory.Claim(c, time.Now())
	case p.client == nil:
		return deduplicator.Refused{Reason: deduplicator.Unreachable}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := p.ask(ctx, owner.Peer, messenger.Request{Claim: &c})
	if err != nil {
		return deduplicator.Refused{Reason: deduplicator.Unreachable}
	}
	return a.Claim.Verdict()
}

// Settle tells the owner of a key how a dispatch ended. It returns at once and
// goes on trying for a while.
func (p *peers) Settle(key string, a deduplicator.Attempt, r deduplicator.Result) {
	if p.settleOnce(context.Background(), key, a, r, true) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for ctx.Err() == nil && !p.settleOnce(ctx, key, a, r, false) {
			time.Sleep(settlePause)
		}
	}()
}

// settleOnce tries once; only what needs no message when local is set.
func (p *peers) settleOnce(ctx context.Context, key string, a deduplicator.Attempt, r deduplicator.Result, local bool) bool {
	owner, ok := p.table.Load().Owner(registrar.ShareOf(key))
	if ok && owner.Incarnation == p.self.Incarnation {
		return p.memory.Settle(key, a, r)
	}
	if !ok || local || p.client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := p.ask(ctx, owner.Peer, messenger.Request{Settle: &messenger.Settle{Key: key, Attempt: a, Result: r}})
	return err == nil && answer.Done
}

// appendRecord appends a record about shares, and tells the loop.
func (p *peers) appendRecord(r registrar.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	err := p.append(ctx, r)
	p.b.loop.Send(ctx, controller.FleetDoneMsg{Err: err})
}

// append appends a record. After errUncertain it may be in the log or get
// there yet; after any other error it is not and never will be.
func (p *peers) append(ctx context.Context, r registrar.Record) error {
	data, err := json.Marshal(publisher.Entry{Fleet: &r})
	if err != nil {
		return errors.Wrap(err, "record")
	}
	switch o := p.b.log.Append(ctx, publisher.Stream, data).(type) {
	case appender.Refused:
		return o.Reason
	case appender.Unknown:
		return errors.Mark(o.Cause, errUncertain)
	}
	return nil
}

// handOver gives shares to a peer. From the moment that the peer has their
// memory until the log says who owns them, nobody grants keys of theirs.
func (p *peers) handOver(t registrar.Transfer) {
	err := p.tryHandOver(t)
	p.b.loop.Send(context.Background(), controller.FleetDoneMsg{Err: err})
}

// tryHandOver fails without consequences until the record is appended; after
// that it goes on until the outcome is known.
func (p *peers) tryHandOver(t registrar.Transfer) error {
	if p.client == nil {
		return errors.New("entry has no peers")
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	// A log that can't be read would leave the shares in nobody's hands.
	if _, err := p.b.log.Read(ctx, publisher.Stream, p.b.loop.Model().Reader.Next, 0); err != nil {
		return err
	}
	levels := p.b.forwarder.HomeLevels()
	p.setLeaving(t.Shares)
	err := p.giveAway(ctx, t, levels)
	if err != nil && !errors.Is(err, errUncertain) {
		p.memory.Thaw(t.Shares)
		p.setLeaving(nil)
		return err
	}
	err = p.settleTransfer(t)
	p.setLeaving(nil)
	return err
}

// giveAway waits until this entry's calls fit in what it keeps, sends the
// memory of the shares, and appends the record.
func (p *peers) giveAway(ctx context.Context, t registrar.Transfer, levels []warmer.News) error {
	for end := time.Now().Add(ownTimeout); !p.b.forwarder.Settled(); time.Sleep(releasePoll) {
		if time.Now().After(end) {
			return errors.New("calls at a cold target take too long")
		}
	}
	keys := p.memory.Freeze(t.Shares)
	h := &messenger.Handover{Shares: t.Shares, Keys: keys, Levels: levels}
	a, err := p.ask(ctx, t.To.Peer, messenger.Request{Handover: h})
	if err != nil {
		return err
	}
	if !a.Done {
		return errors.New("peer did not take the memory")
	}
	return p.append(ctx, registrar.Record{Transfer: &t})
}

// settleTransfer waits until the log says who owns the shares, and appends the
// record again, which is harmless, while it does not. An entry that is asked
// to end at once gives up.
func (p *peers) settleTransfer(t registrar.Transfer) error {
	again := time.NewTicker(ownTimeout)
	defer again.Stop()
	look := time.NewTicker(releasePoll)
	defer look.Stop()
	for {
		if o, _ := p.table.Load().Owner(t.Shares[0]); o.Incarnation != p.self.Incarnation {
			return nil
		}
		select {
		case <-look.C:
		case <-again.C:
			ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
			_ = p.append(ctx, registrar.Record{Transfer: &t})
			cancel()
		case <-p.b.released:
			return errUncertain
		}
	}
}
