package balancer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"

	"savoryroad.dev/appender"
	"savoryroad.dev/controller"
	"savoryroad.dev/messenger"
	"savoryroad.dev/publisher"
)

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
