package gateway

import (
	"context"
	"encoding/json"
	"slices"

	"savoryroad.dev/custodian"
	"savoryroad.dev/platform"
)

const (
	// shareTopic is the keyed topic in which entries save their shares, under their names.
	shareTopic = "keyed.shares"
	// settledAnswers is the number of further answers with the same generation after which
	// an entry saves its share. By then no partition is still to be passed on in it.
	settledAnswers = 2
)

// savedShare is the stored form of the share that an entry held in a generation of the group,
// from which a later process of the entry takes it over.
type savedShare struct {
	Generation uint64
	Era        platform.Era
	Partitions []custodian.Partition
}

// savesShare tells whether shares are saved. Without quotas, a process that was started again
// can wait for its share.
func (g *Gateway) savesShare() bool { return g.bounds.Load().QuotaWindow > 0 }

// saveShare saves what the entry may use of its share, unless that is what was last saved. It
// returns what is saved now.
func (g *Gateway) saveShare(ctx context.Context, m platform.Membership, last savedShare) savedShare {
	held := g.held.Load()
	if held == nil || held.Generation != m.Generation || len(held.Partitions) == 0 {
		return last
	}
	share := savedShare{m.Generation, m.Era, held.Partitions}
	if last.Generation == share.Generation && last.Era == share.Era && slices.Equal(last.Partitions, share.Partitions) {
		return last
	}
	data, err := json.Marshal(share)
	if err == nil {
		err = g.store.Put(ctx, shareTopic, string(g.platform.Name), data)
	}
	if err != nil {
		g.log.Info().Err(err).Msg("can't save the share")
		return last
	}
	return share
}

// readSavedShare returns what a former process of the entry held in the same generation. That
// process has ended, as its addresses are this one's.
func (g *Gateway) readSavedShare(ctx context.Context, m platform.Membership) []custodian.Partition {
	page, err := g.store.Newest(ctx, shareTopic)
	if err != nil {
		g.log.Info().Err(err).Msg("can't read the saved share")
		return nil
	}
	var saved savedShare
	for _, r := range page.Records {
		if r.Key == string(g.platform.Name) && json.Unmarshal(r.Value, &saved) == nil && saved.Generation == m.Generation && saved.Era == m.Era {
			return saved.Partitions
		}
	}
	return nil
}
