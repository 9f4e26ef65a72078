package balancer

import (
	"context"
	"net/netip"
	"time"

	"savoryroad.dev/isolator"
	"savoryroad.dev/messenger"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// tell takes news of warmth to be passed on. News that find no place are
// dropped: peers learn levels from digests too, and until then use less.
func (p *peers) tell(n warmer.News) {
	select {
	case p.news <- n:
	default:
	}
}

// hearAll takes news of warmth from a peer.
func (p *peers) hearAll(all []warmer.News) {
	for _, n := range all {
		p.b.forwarder.Hear(n)
	}
}

// spread passes news on: to the target's home what this entry saw, and to
// everybody what this entry decided as the home.
func (p *peers) spread(ctx context.Context, n warmer.News) {
	if p.client == nil {
		return
	}
	r := messenger.Request{News: []warmer.News{n}}
	if !n.Seen {
		p.tellAll(ctx, r)
		return
	}
	share := registrar.ShareOf(warmer.LimitName(n.Service, n.Target))
	go p.deliver(ctx, r, func() (netip.AddrPort, bool) {
		o, ok := p.table.Load().Owner(share)
		return o.Peer, ok
	})
}

// strike takes a strike to be passed on. One that finds no place is dropped;
// the other entries then find out for themselves.
func (p *peers) strike(s isolator.Strike) {
	select {
	case p.strikes <- s:
	default:
	}
}

// tellAll delivers a request to every peer.
func (p *peers) tellAll(ctx context.Context, r messenger.Request) {
	if p.client == nil {
		return
	}
	for _, peer := range p.addresses() {
		go p.deliver(ctx, r, func() (netip.AddrPort, bool) { return peer, true })
	}
}

// deliver sends a request until it is taken or no longer worth it. Where to is
// asked each time, since the home of a target may change.
func (p *peers) deliver(ctx context.Context, r messenger.Request, to func() (netip.AddrPort, bool)) {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	for ctx.Err() == nil {
		peer, ok := to()
		if ok && peer == p.self.Peer {
			p.handle(ctx, r)
			return
		}
		if ok {
			ask, done := context.WithTimeout(ctx, askTimeout)
			a, err := p.ask(ask, peer, r)
			done()
			if err == nil && a.Done {
				return
			}
		}
		time.Sleep(settlePause)
	}
}
