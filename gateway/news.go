package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/courier"
	"savoryroad.dev/tracker"
)

const (
	// firstGreetings is the time between the first greetings, while entries
	// that started together begin to listen. It doubles up to greetings.
	firstGreetings = 250 * time.Millisecond
	greetings      = 4 * time.Second
	// greeted is how many of the known peers are greeted each time.
	greeted = 2
)

// takeNews hands a peer's message on.
func (g *Gateway) takeNews(from netip.Addr, m courier.Message) {
	if m.Ask != nil {
		g.dispatch(tracker.AskMsg{Peer: from, Ask: *m.Ask})
	}
	if m.News != nil {
		g.dispatch(tracker.NewsMsg{News: *m.News})
	}
}

// listen takes the news of peers.
func (g *Gateway) listen(ctx context.Context) {
	if err := g.courier.Run(ctx, g.takeNews); err != nil {
		g.log.Error().Err(err).Msg("news of peers is lost")
	}
}

// greet keeps looking for entries: it asks those that the platform names, and
// some of those that are known, who else is there.
func (g *Gateway) greet(ctx context.Context) {
	for pause := firstGreetings; ctx.Err() == nil; pause = min(2*pause, greetings) {
		known := g.courier.Peers()
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		g.courier.Greet(slices.Concat(g.platform.Seeds, known[:min(greeted, len(known))]))
		sleep(ctx, jitter(pause))
	}
}
