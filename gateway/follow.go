package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/tracker"
)

const (
	// orderWait is how long a read waits for the next record of operators. A
	// read that began while a record was being written may not be woken by it,
	// so the wait is well within the time in which a change must be in force.
	orderWait = 1200 * time.Millisecond
	// targetInterval is the time between two reads of the targets' records.
	// They come all the time, and a leaving target must be known within the
	// drain bound.
	targetInterval = 1200 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 300 * time.Millisecond
	// shareTTL is how long a share lasts without being renewed. It outlasts
	// most outages of the store.
	shareTTL = 12 * time.Second
	// shareInterval is the time between two renewals of a share, and
	// shareSettling that while the fleet's shares are changing.
	shareInterval = 4 * time.Second
	shareSettling = 700 * time.Millisecond
	// shareTopics is the number of topics whose partitions are divided, so
	// that even a large fleet has several partitions for each entry.
	shareTopics = 1
	// shareGroup is the group that divides them.
	shareGroup = "entries"
	// shareTopic is the topic whose partitions are the fleet's shares.
	shareTopic = "shares"
)

// followOrders reads the operators' records.
func (g *Gateway) followOrders(ctx context.Context) {
	g.follow(ctx, platform.OperatorTopic, orderWait, 0, g.takeOrders, g.takeAllOrders)
}

// followTargets reads the targets' records.
func (g *Gateway) followTargets(ctx context.Context) {
	g.follow(ctx, platform.TargetTopic, 0, targetInterval, g.takeTargets, g.takeAllTargets)
}

// follow reads the newest record of each key of a topic, and then what
// changes. Pause is the time between reads; wait is how long one read waits.
func (g *Gateway) follow(ctx context.Context, topic string, wait, pause time.Duration, take, takeAll func([]platform.Record)) {
	var next platform.Offset
	known := false
	for ctx.Err() == nil {
		var page platform.Page
		var err error
		if known {
			page, err = g.store.Read(ctx, topic, next, wait)
		} else {
			page, err = g.store.Newest(ctx, topic)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrTrimmed):
			g.log.Warn().Str("Topic", topic).Uint64("Offset", uint64(next)).Msg("records are gone; reading the newest of each key")
			known = false
			continue
		case err != nil:
			g.storeFailed(topic, err)
			sleep(ctx, jitter(retryPause))
			continue
		}
		g.tell(tracker.StoreMsg{})
		if known {
			take(page.Records)
		} else {
			takeAll(page.Records)
		}
		next, known = page.Next, true
		if pause > 0 {
			sleep(ctx, jitter(pause))
		}
	}
}

func (g *Gateway) storeFailed(what string, err error) {
	g.tell(tracker.StoreMsg{Down: true})
	g.log.Debug().Err(err).Str("Call", what).Msg("call to the store failed")
}

func (g *Gateway) takeOrders(records []platform.Record) {
	for _, r := range records {
		msg, err := platform.DecodeOrder(r)
		if err != nil {
			g.log.Error().Err(err).Str("Key", r.Key).Msg("order can't be read; the last good one stays in force")
			continue
		}
		if msg != nil {
			g.tell(msg)
		}
	}
}

// takeAllOrders takes all orders at once; data centres that are not among them
// are back in.
func (g *Gateway) takeAllOrders(records []platform.Record) {
	out := map[loader.DataCentreName]bool{}
	for _, r := range records {
		msg, err := platform.DecodeOrder(r)
		if err != nil {
			g.log.Error().Err(err).Str("Key", r.Key).Msg("order can't be read; the last good one stays in force")
			continue
		}
		switch msg := msg.(type) {
		case tracker.EvacuateMsg:
			if msg.Out {
				out[msg.DataCentre] = true
			}
		case tracker.ConfigMsg:
			g.tell(msg)
		}
	}
	g.tell(tracker.EvacuatedMsg{DataCentres: out})
}

func (g *Gateway) takeTargets(records []platform.Record) {
	// Only the newest record of each key matters.
	newest := map[string]platform.Record{}
	for _, r := range records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if registration, ok := g.registration(r); ok {
			g.tell(tracker.RegisterMsg{Registration: registration})
		} else {
			g.tell(tracker.UnregisterMsg{Name: loader.TargetName(r.Key)})
		}
	}
}

func (g *Gateway) takeAllTargets(records []platform.Record) {
	var all []placer.Registration
	for _, r := range records {
		if registration, ok := g.registration(r); ok {
			all = append(all, registration)
		}
	}
	g.tell(tracker.ListMsg{Registrations: all})
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

// keepShare keeps the entry's share of the fleet.
func (g *Gateway) keepShare(ctx context.Context) {
	var last platform.Membership
	for ctx.Err() == nil {
		asked := time.Now()
		m, err := g.store.Join(ctx, shareGroup, string(g.platform.Name), shareTopic, shareTTL, last.Generation)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.storeFailed("join", err)
			sleep(ctx, jitter(retryPause))
			continue
		}
		g.tell(tracker.ShareMsg{Total: g.platform.Store.Partitions * shareTopics, Owned: m.Partitions, Until: asked.Add(shareTTL)})
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
