package gateway

import (
	"context"
	"strconv"
	"time"

	"savoryroad.dev/custodian"
	"savoryroad.dev/platform"
)

const (
	// shareRetryInterval is the delay after a failed renewal of the share.
	shareRetryInterval = 1 * time.Second
	// shareTTL is how long a share stays valid without renewal. It is longer
	// than most outages of the store.
	shareTTL = 12 * time.Second
	// shareRenewInterval is the time between two renewals of a share.
	shareRenewInterval = 4 * time.Second
	// shareSettleInterval is the renewal interval after a change of the group.
	shareSettleInterval = 700 * time.Millisecond
	// shareTopicCount is the number of topics whose partitions are divided among
	// the entries. With 24 partitions each, every one of 240 entries gets at
	// least one partition. The platform allows 100 topics.
	shareTopicCount = 10
	// shareGroup is the consumer group that divides the partitions.
	shareGroup = "entries"
	// shareTopicPrefix begins the names of the topics.
	shareTopicPrefix = "shares-"
)

// shareTopics returns the names of the topics whose partitions are shares, and
// the index of each name.
func shareTopics() (names []string, indexes map[string]int) {
	indexes = map[string]int{}
	for i := range shareTopicCount {
		name := shareTopicPrefix + strconv.Itoa(i)
		names = append(names, name)
		indexes[name] = i
	}
	return names, indexes
}

// sleepUnlessRestored pauses for d, until the store is known to have been restored, or
// until the context ends.
func (g *Gateway) sleepUnlessRestored(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-g.rejoin:
			cancel()
		case <-ctx.Done():
		}
	}()
	sleep(ctx, d)
}

// renewShare acquires and renews the entry's share of the fleet until the
// context ends.
func (g *Gateway) renewShare(ctx context.Context) {
	topics, indexes := shareTopics()
	var last platform.Membership
	answered := false
	// same counts the answers in a row with the same generation, and saved is what was last
	// saved.
	same, saved := 0, savedShare{}
	for ctx.Err() == nil {
		requestedAt, suspended := time.Now(), suspendedTime()
		// Generations of a former era of the store may be given out again: the store would
		// take one for the confirmation of a division that the entry doesn't know.
		if g.store.Era() > last.Era {
			last = platform.Membership{}
		}
		membership, err := g.store.Join(ctx, shareGroup, string(g.platform.Name), topics, shareTTL, last.Generation)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.Debug().Err(err).Msg("renewal of the share failed")
			sleep(ctx, jitter(shareRetryInterval))
			continue
		}
		// The lease counts from before the call, so the entry gives the share up no later
		// than the store does, which also counts suspensions.
		same++
		if membership.Generation != last.Generation {
			same = 0
		}
		assigned := custodian.AssignedMsg{
			Generation: custodian.Generation(membership.Generation),
			Restored:   answered && (last.Generation == 0 || membership.Era != last.Era),
			First:      g.platform.Bootstrap && !answered && membership.Generation <= 1,
		}
		if !answered && !g.platform.Bootstrap && g.savesShare() {
			assigned.Inherited = g.readSavedShare(ctx, membership)
		}
		answered = true
		for _, p := range membership.Partitions {
			assigned.Partitions = append(assigned.Partitions, custodian.Partition(indexes[p.Topic]*g.platform.Store.Partitions+p.Number))
		}
		assigned.RequestedAt = requestedAt.Add(suspended - suspendedTime())
		g.dispatch(custodyMsg{msg: assigned})
		if same >= settledAnswers && g.savesShare() {
			saved = g.saveShare(ctx, membership, saved)
		}
		interval := shareRenewInterval
		if membership.Generation != last.Generation {
			interval = shareSettleInterval
		}
		last = membership
		g.sleepUnlessRestored(ctx, jitter(interval))
	}
}
