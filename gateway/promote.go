package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"savoryroad.dev/gossiper"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/promoter"
	"savoryroad.dev/recorder"
	"savoryroad.dev/tracker"
)

// promotion holds the roll-outs of the entry. The control loop owns it.
type promotion struct {
	model *promoter.Model
	// usable holds the eligible targets of each service, of all versions.
	usable map[loader.ServiceName][]placer.Usable
}

// promoterMsg carries a message to the roll-outs.
type promoterMsg struct {
	tracker.Msg
	msg promoter.Msg
}

// newPromotion returns the roll-outs of an entry; nil if the platform has none.
func newPromotion(p platform.Settings) *promotion {
	if p.Bounds.ExposedShare <= 0 {
		return nil
	}
	self := promoter.Incarnation{Entry: p.Name, Born: time.Now().UnixMilli()}
	return &promotion{
		model:  promoter.New(self, p.Bounds.ExposedShare, rand.Float64),
		usable: map[loader.ServiceName][]placer.Usable{},
	}
}

// promote passes a message to the roll-outs and executes the commands that result.
func (g *Gateway) promote(ctx context.Context, msg promoter.Msg) {
	if g.promotion == nil {
		return
	}
	for _, cmd := range g.promotion.model.Update(msg, time.Now()) {
		switch cmd := cmd.(type) {
		case promoter.PlaceCmd:
			if s, ok := g.snapshot.Load().services[cmd.Service]; ok {
				g.setTargets(s, g.promotion.usable[cmd.Service])
			}
		case promoter.SpreadCmd:
			g.gossiper.Spread(gossiper.Message{Rollouts: []promoter.Report{cmd.Report}})
		case promoter.AskCmd:
			g.gossiper.TellAny(gossiper.Message{Rollouts: []promoter.Report{cmd.Report}})
		case promoter.TellCmd:
			g.gossiper.Tell(cmd.Peer, gossiper.Message{Rollouts: []promoter.Report{cmd.Report}})
		case promoter.StatusCmd:
			go g.settleRollout(ctx, cmd)
		case promoter.LogCmd:
			g.log.WithLevel(cmd.Level).Fields(cmd.Fields).Msg(cmd.Text)
		}
	}
}

// place sets the eligible targets of a service. While it is moved to another version, its
// requests get only those of the version that they are assigned to.
func (g *Gateway) place(ctx context.Context, s *service, usable []placer.Usable) {
	if g.promotion != nil {
		g.promotion.usable[s.name] = usable
		versions := make(map[loader.TargetName]loader.TargetVersion, len(usable))
		for _, u := range usable {
			versions[u.Name] = u.Version
		}
		g.promote(ctx, promoter.TargetsMsg{Service: s.name, Targets: versions})
	}
	g.setTargets(s, usable)
}

// setTargets divides the eligible targets of a service into cohorts and puts them into
// force. Requests are divided as long as there are targets of both cohorts.
func (g *Gateway) setTargets(s *service, usable []placer.Usable) {
	now := time.Now()
	if g.promotion != nil {
		gate := g.promotion.model.Gate(s.name)
		if gate != nil {
			s.gate.Store(gate)
		}
		defer s.gate.Store(gate)
		divided := make([]placer.Usable, 0, len(usable))
		for _, u := range usable {
			if cohort, ok := g.promotion.model.Cohort(s.name, u.Version, now); ok {
				u.Cohort = cohort
				divided = append(divided, u)
			}
		}
		usable = divided
	}
	s.closePools(s.placer.SetTargets(usable, now))
	g.updateProbeRate(s)
	s.admitter.Wake(now)
}

// hearRollouts forwards what a peer tells of roll-outs to the control loop.
func (g *Gateway) hearRollouts(from netip.Addr, reports []promoter.Report) {
	for _, r := range reports {
		g.dispatch(promoterMsg{msg: promoter.ReportMsg{Peer: from, Report: r}})
	}
}

// settleRollout reads what the store holds of a roll-out, and writes what is to be there.
// A write whose answer is lost is resolved by the next read: it was executed, or can't be
// any more once anything else is written.
func (g *Gateway) settleRollout(ctx context.Context, cmd promoter.StatusCmd) {
	log := g.log.With().Str("Service", string(cmd.Service)).Str("ToVersion", string(cmd.ToVersion)).Str("Write", cmd.Write.String()).Logger()
	page, err := g.store.Newest(ctx, platform.StatusTopic)
	msg, write := promoter.Decide(platform.DecodeRollout(cmd.Service, page.Records), cmd)
	if err == nil && write {
		var data []byte
		if data, err = platform.EncodeRollout(cmd.ToVersion, cmd.Write); err == nil {
			err = g.store.PutAt(ctx, platform.StatusTopic, platform.RolloutKey(cmd.Service), data, page.End)
		}
		msg.Phase = cmd.Write
	}
	if err != nil {
		log.Info().Err(err).Msg("can't settle a roll-out")
		g.dispatch(promoterMsg{msg: promoter.StatusFailedMsg{Service: cmd.Service, ToVersion: cmd.ToVersion}})
		return
	}
	log.Info().Str("Holds", msg.Phase.String()).Bool("Written", write).Msg("store holds the roll-out")
	g.dispatch(promoterMsg{msg: msg})
}

// answer counts an attempt that may have run for the roll-out of its service.
func (c *call) answer(ticket *promoter.Ticket, sel selection, r attemptResult, failed bool, sentAt time.Time, took time.Duration) {
	if ticket == nil || r.notRun || !failed && !r.success() {
		return
	}
	t := sel.choice.Target
	if pace := sel.choice.Load.Pace; pace > 1 {
		took = time.Duration(float64(took) / pace)
	}
	ticket.Answer(promoter.Answer{
		Route: c.route.Name, Target: t.Name, DataCentre: t.DataCentre, Failed: failed,
		Took: took, Usual: c.service.placer.Work(c.work(), time.Now()), Cold: c.service.placer.IsCold(t, sentAt),
	})
	result := "answered"
	if failed {
		result = "failed"
	}
	c.g.recorder.Counter("rollout_answers_total",
		recorder.Label{Name: "service", Value: string(c.service.name)},
		recorder.Label{Name: "cohort", Value: ticket.Cohort().String()},
		recorder.Label{Name: "result", Value: result}).Inc(1)
}
