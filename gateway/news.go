package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/gossiper"
	"savoryroad.dev/tracker"
)

const (
	// minDiscoveryInterval is the time between the first rounds of peer
	// discovery, while entries that started together begin to listen. It doubles
	// up to maxDiscoveryInterval.
	minDiscoveryInterval = 250 * time.Millisecond
	maxDiscoveryInterval = 4 * time.Second
	// discoveryFanout is the number of known peers that are asked in each round,
	// besides the seeds.
	discoveryFanout = 2
)

// handlePeerMessage applies what a peer tells of targets that leave, of their limits, of
// requests that crash them and of partitions, and forwards the rest of its message to the
// control loop.
func (g *Gateway) handlePeerMessage(from netip.Addr, m gossiper.Message) {
	if m.Ask != nil {
		g.dispatch(tracker.AskMsg{Peer: from, Ask: *m.Ask})
	}
	if len(m.Limits) > 0 {
		g.hearLimits(m.Limits, time.Now())
	}
	g.hearLeaving(m.Leaving)
	if m.Pressure != nil {
		g.hearPressure(from, *m.Pressure, time.Now())
	}
	if m.Crashes != nil {
		g.hearCrashes(from, *m.Crashes, time.Now())
	}
	if m.Allotment != nil {
		g.hearAllotment(from, *m.Allotment)
	}
	g.hearRollouts(from, m.Rollouts)
	if m.News != nil {
		g.dispatch(tracker.NewsMsg{News: *m.News})
	}
}

// receivePeerMessages receives messages of peers until the context ends.
func (g *Gateway) receivePeerMessages(ctx context.Context) {
	if err := g.gossiper.Run(ctx, g.handlePeerMessage); err != nil {
		g.log.Error().Err(err).Msg("can't receive messages from peers")
	}
}

// discoverPeers asks the platform's seeds and some random known peers for the
// peers that they know, at growing intervals.
func (g *Gateway) discoverPeers(ctx context.Context) {
	for interval := minDiscoveryInterval; ctx.Err() == nil; interval = min(2*interval, maxDiscoveryInterval) {
		peers := g.gossiper.Peers()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		g.gossiper.Greet(slices.Concat(g.platform.Seeds, peers[:min(discoveryFanout, len(peers))]))
		sleep(ctx, jitter(interval))
	}
}
