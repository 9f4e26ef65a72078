package gateway

import (
	"context"
	"strconv"
	"time"

	"savoryroad.dev/platform"
	"savoryroad.dev/tracker"
)

const (
	// retryPause is the pause after a renewal of the share that failed.
	retryPause = 1 * time.Second
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
		g.dispatch(share)
		pause := shareInterval
		if m.Generation != last.Generation {
			pause = shareSettling
		}
		last = m
		sleep(ctx, jitter(pause))
	}
}
