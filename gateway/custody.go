package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/custodian"
	"savoryroad.dev/gossiper"
	"savoryroad.dev/tracker"
)

// renewSpread is the time over which entries that learn of a new assignment spread their
// renewals.
const renewSpread = 500 * time.Millisecond

// custodyMsg carries an event to the custodian, which the control loop owns.
type custodyMsg struct {
	tracker.Msg
	msg custodian.Msg
}

// custody is what the model has last been told of the share.
type custody struct {
	held     map[custodian.Partition]time.Time
	assigned int
	until    time.Time
}

// updateCustody passes an event to the custodian, applies what the entry may use now, and
// executes the commands that result.
func (g *Gateway) updateCustody(ctx context.Context, msg custodian.Msg) {
	now := time.Now()
	cmds := g.custodian.Update(msg, now)
	// What is passed on must not be used any more when its next holder hears of it.
	g.applyCustody(ctx, now)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case custodian.SpreadCmd:
			g.gossiper.Spread(gossiper.Message{Allotment: &gossiper.Allotment{Claim: &cmd.Claim}})
		case custodian.TellCmd:
			g.gossiper.Tell(cmd.To, gossiper.Message{Allotment: &gossiper.Allotment{Release: &cmd.Release}})
		case custodian.DisclaimCmd:
			g.gossiper.Tell(cmd.To, gossiper.Message{Allotment: &gossiper.Allotment{Disclaimer: &cmd.Disclaimer}})
		case custodian.AskCmd:
			g.gossiper.TellAny(gossiper.Message{Allotment: &gossiper.Allotment{Who: true}})
		case custodian.TeachCmd:
			g.gossiper.Tell(cmd.To, gossiper.Message{Allotment: &gossiper.Allotment{Claims: cmd.Claims}})
		case custodian.RenewCmd:
			g.renewSoon()
		}
	}
}

// applyCustody tells the model and the quotas what the entry may use now.
func (g *Gateway) applyCustody(ctx context.Context, now time.Time) {
	g.allotter.SetHolders(g.custodian.Entries())
	held, until := g.custodian.Held(now)
	g.held.Store(&savedShare{Generation: uint64(g.custodian.Generation()), Partitions: slices.Sorted(maps.Keys(held))})
	next := custody{held: held, assigned: g.custodian.Assigned(), until: until}
	if maps.Equal(held, g.custody.held) && next.assigned == g.custody.assigned && next.until.Equal(g.custody.until) {
		return
	}
	share := tracker.ShareMsg{
		Total: g.platform.Store.Partitions * shareTopicCount, Assigned: next.assigned, Until: until,
	}
	for _, p := range slices.Sorted(maps.Keys(held)) {
		share.Owned = append(share.Owned, int(p))
	}
	g.custody = next
	g.update(ctx, share)
}

// renewSoon renews the share soon, unless that is due anyway.
func (g *Gateway) renewSoon() {
	if g.renewing.Swap(true) {
		return
	}
	time.AfterFunc(randomUpTo(renewSpread), func() {
		g.renewing.Store(false)
		select {
		case g.rejoin <- struct{}{}:
		default: // a renewal is due anyway
		}
	})
}

// hearAllotment applies what a peer tells of partitions and quotas.
func (g *Gateway) hearAllotment(from netip.Addr, a gossiper.Allotment) {
	switch {
	case a.Ask != nil:
		g.hearAsk(from, *a.Ask)
	case a.Loan != nil:
		g.hearLoan(*a.Loan)
	case a.Claim != nil:
		g.dispatch(custodyMsg{msg: custodian.ClaimMsg{Claim: *a.Claim}})
	case a.Release != nil:
		g.dispatch(custodyMsg{msg: custodian.ReleaseMsg{Release: *a.Release}})
	case a.Disclaimer != nil:
		g.dispatch(custodyMsg{msg: custodian.DisclaimerMsg{Disclaimer: *a.Disclaimer}})
	case a.Who:
		g.dispatch(custodyMsg{msg: custodian.WhoMsg{From: from}})
	case len(a.Claims) > 0:
		g.dispatch(custodyMsg{msg: custodian.LearnMsg{Claims: a.Claims}})
	}
}
