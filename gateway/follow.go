package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/courier"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/tracker"
)

const (
	// retryPause is the pause after a renewal of the share that failed.
	retryPause = 1 * time.Second
	// firstGreetings is the time between the first greetings, while entries
	// that started together begin to listen. It doubles up to greetings.
	firstGreetings = 250 * time.Millisecond
	greetings      = 4 * time.Second
	// greeted is how many of the known peers are greeted each time.
	greeted = 2
	// shareTTL is how long a share lasts without being renewed. It outlasts
	// most outages of the store.
	shareTTL = 12 * time.Second
	// shareInterval is the time between two renewals of a share, and
	// shareSettling that while the fleet's shares are changing.
	shareInterval = 4 * time.Second
	shareSettling = 700 * time.Millisecond
	// shareTopics is the number of topics whose partitions are divided. With
	// 24 partitions each, that is one at least for each of 240 entries; the
	// platform allows 100 topics.
	shareTopics = 10
	// shareGroup is the group that divides them.
	shareGroup = "entries"
	// shareTopic begins the names of the topics.
	shareTopic = "shares-"
)

// storeTopics are the names of the topics in the store.
var storeTopics = map[tracker.Topic]string{
	tracker.Orders:  platform.OperatorTopic,
	tracker.Targets: platform.TargetTopic,
}

// read reads a topic of the store and tells the control goroutine.
func (g *Gateway) read(ctx context.Context, cmd tracker.ReadCmd) {
	topic, asked := storeTopics[cmd.Topic], time.Now()
	var page platform.Page
	var err error
	if cmd.Full {
		page, err = g.store.Newest(ctx, topic)
	} else {
		page, err = g.store.Read(ctx, topic, platform.Offset(cmd.From), 0)
	}
	g.reads.Inc(1)
	if err != nil {
		trimmed := errors.Is(err, platform.ErrTrimmed)
		g.log.Debug().Err(err).Str("Topic", topic).Uint64("From", uint64(cmd.From)).Bool("Trimmed", trimmed).Msg("read of the store failed")
		g.tell(tracker.ReadFailedMsg{Topic: cmd.Topic, Trimmed: trimmed})
		return
	}
	g.log.Debug().Str("Topic", topic).Uint64("From", uint64(cmd.From)).Bool("Full", cmd.Full).Uint64("Next", uint64(page.Next)).Msg("read")
	msg := tracker.ReadMsg{Topic: cmd.Topic, Full: cmd.Full, Next: tracker.Offset(page.Next), Asked: asked}
	switch {
	case !cmd.Full:
		msg.Records = g.decode(cmd.Topic, page.Records)
	case cmd.Topic == tracker.Orders:
		msg.Msgs = g.decodeAllOrders(page.Records)
	default:
		msg.Msgs = []tracker.Msg{g.decodeAllTargets(page.Records)}
	}
	g.tell(msg)
}

// decode decodes the records of a read.
func (g *Gateway) decode(topic tracker.Topic, records []platform.Record) []tracker.ReadRecord {
	out := make([]tracker.ReadRecord, 0, len(records))
	for _, r := range records {
		rec := tracker.ReadRecord{Offset: tracker.Offset(r.Offset)}
		if topic == tracker.Orders {
			rec.Msg = g.decodeOrder(r)
		} else if registration, ok := g.registration(r); ok {
			rec.Msg = tracker.RegisterMsg{Registration: registration}
		} else {
			rec.Msg = tracker.UnregisterMsg{Name: loader.TargetName(r.Key)}
		}
		out = append(out, rec)
	}
	return out
}

// decodeOrder decodes an order; it returns nil for one that can't be read.
func (g *Gateway) decodeOrder(r platform.Record) tracker.Msg {
	msg, err := platform.DecodeOrder(r)
	if err != nil {
		g.log.Error().Err(err).Str("Key", r.Key).Msg("order can't be read; the last good one stays in force")
		return nil
	}
	return msg
}

// decodeAllOrders decodes all orders there are. Data centres that are not
// among them are back in.
func (g *Gateway) decodeAllOrders(records []platform.Record) []tracker.Msg {
	out := map[loader.DataCentreName]bool{}
	var msgs []tracker.Msg
	for _, r := range records {
		switch msg := g.decodeOrder(r).(type) {
		case tracker.EvacuateMsg:
			if msg.Out {
				out[msg.DataCentre] = true
			}
		case tracker.ConfigMsg:
			msgs = append(msgs, msg)
		}
	}
	return append(msgs, tracker.EvacuatedMsg{DataCentres: out})
}

// decodeAllTargets decodes all registrations there are.
func (g *Gateway) decodeAllTargets(records []platform.Record) tracker.Msg {
	var all []placer.Registration
	for _, r := range records {
		if registration, ok := g.registration(r); ok {
			all = append(all, registration)
		}
	}
	return tracker.ListMsg{Registrations: all}
}

// registration decodes a target's record, if it holds a target.
func (g *Gateway) registration(r platform.Record) (placer.Registration, bool) {
	if r.Value == nil {
		return placer.Registration{}, false
	}
	registration, err := platform.DecodeTarget(r)
	if err != nil {
		g.log.Warn().Err(err).Str("Key", r.Key).Msg("record names no target")
	}
	return registration, err == nil
}

// takeNews hands a peer's message on.
func (g *Gateway) takeNews(from netip.Addr, m courier.Message) {
	if m.Ask != nil {
		g.tell(tracker.AskMsg{Peer: from, Ask: *m.Ask})
	}
	if m.News != nil {
		g.tell(tracker.NewsMsg{News: *m.News})
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

// shareTopicNames returns the topics whose partitions are shares, and the place
// of each among them.
func shareTopicNames() (names []string, places map[string]int) {
	places = map[string]int{}
	for i := range shareTopics {
		name := shareTopic + strconv.Itoa(i)
		names = append(names, name)
		places[name] = i
	}
	return names, places
}

// keepShare keeps the entry's share of the fleet.
func (g *Gateway) keepShare(ctx context.Context) {
	topics, places := shareTopicNames()
	var last platform.Membership
	for ctx.Err() == nil {
		asked := time.Now()
		m, err := g.store.Join(ctx, shareGroup, string(g.platform.Name), topics, shareTTL, last.Generation)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.Debug().Err(err).Msg("share not renewed")
			sleep(ctx, jitter(retryPause))
			continue
		}
		share := tracker.ShareMsg{Total: g.platform.Store.Partitions * shareTopics, Until: asked.Add(shareTTL)}
		for _, p := range m.Partitions {
			share.Owned = append(share.Owned, places[p.Topic]*g.platform.Store.Partitions+p.Number)
		}
		g.tell(share)
		pause := shareInterval
		if m.Generation != last.Generation {
			pause = shareSettling
		}
		last = m
		sleep(ctx, jitter(pause))
	}
}

// jitter spreads the calls of entries that started together.
func jitter(d time.Duration) time.Duration {
	const spread = 0.2
	return time.Duration(float64(d) * (1 - spread*rand.Float64()))
}

// sleep waits, or returns earlier when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
