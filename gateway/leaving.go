package gateway

import (
	"github.com/rs/zerolog"

	"savoryroad.dev/gossiper"
	"savoryroad.dev/placer"
)

// spreadLeaving tells the peers which targets have said that they are about to leave.
func (g *Gateway) spreadLeaving() {
	var all []placer.Leaving
	for _, s := range g.snapshot.Load().services {
		all = append(all, s.placer.TakeLeaving()...)
	}
	for _, l := range all {
		g.logLeaving(zerolog.InfoLevel, l, "target")
	}
	if len(all) > 0 {
		g.gossiper.Spread(gossiper.Message{Leaving: all})
	}
}

// hearLeaving applies what a peer tells of targets that leave.
func (g *Gateway) hearLeaving(all []placer.Leaving) {
	services := g.snapshot.Load().services
	for _, l := range all {
		if s, ok := services[l.Service]; ok && s.placer.HearLeaving(l) {
			g.logLeaving(zerolog.DebugLevel, l, "peer")
		}
	}
}

// logLeaving logs that a target leaves, and who told it.
func (g *Gateway) logLeaving(level zerolog.Level, l placer.Leaving, from string) {
	g.log.WithLevel(level).Str("Target", string(l.Target)).Str("Service", string(l.Service)).Str("From", from).Msg("target is leaving")
}
