package balancer

import (
	"context"
	"net/netip"
	"time"

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
	if !n.Seen {
		for _, peer := range p.addresses() {
			go p.deliver(ctx, n, func() (netip.AddrPort, bool) { return peer, true })
		}
		return
	}
	share := registrar.ShareOf(warmer.LimitName(n.Service, n.Target))
	go p.deliver(ctx, n, func() (netip.AddrPort, bool) {
		o, ok := p.table.Load().Owner(share)
		return o.Peer, ok
	})
}

// deliver sends news until they are taken or no longer worth it. Where to is
// asked each time, since the home may change.
func (p *peers) deliver(ctx context.Context, n warmer.News, to func() (netip.AddrPort, bool)) {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	for ctx.Err() == nil {
		peer, ok := to()
		if ok && peer == p.self.Peer {
			p.b.forwarder.Hear(n)
			return
		}
		if ok {
			ask, done := context.WithTimeout(ctx, askTimeout)
			a, err := p.ask(ask, peer, messenger.Request{News: []warmer.News{n}})
			done()
			if err == nil && a.Done {
				return
			}
		}
		time.Sleep(settlePause)
	}
}
