package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/gossiper"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
)

// limitReport returns what an answer of a target says of its limit, to a request sent at
// a time. An answer that is not a success, or names an invalid limit, doesn't show that
// there is none.
func limitReport(h http.Header, success bool, askedAt time.Time) placer.LimitReport {
	perSecond, named, err := platform.Limit(h)
	return placer.LimitReport{Named: named, PerSecond: perSecond, Conclusive: success && !named && err == nil, AskedAt: askedAt}
}

// limitReport returns what the answer to an attempt that was sent at a time says of the
// limit of its target. One with status 421 comes from another target at the address.
func (r attemptResult) limitReport(sentAt time.Time) placer.LimitReport {
	if r.answer == nil || r.answer.Status == http.StatusMisdirectedRequest {
		return placer.LimitReport{}
	}
	return limitReport(r.answer.Header, r.success(), sentAt)
}

// spreadLimits tells the peers what targets have said of their limits.
func (g *Gateway) spreadLimits(now time.Time) {
	var all []placer.LimitNews
	for _, s := range g.snapshot.Load().services {
		news := s.placer.LimitNews(now)
		for _, n := range news {
			if n.Changed {
				g.logLimit(zerolog.InfoLevel, n, "target")
			}
			if !n.Named {
				s.admitter.Wake(now)
			}
		}
		all = append(all, news...)
	}
	if len(all) > 0 {
		g.gossiper.Spread(gossiper.Message{Limits: all})
	}
}

// hearLimits applies what a peer tells of the limits of targets.
func (g *Gateway) hearLimits(all []placer.LimitNews, now time.Time) {
	services := g.snapshot.Load().services
	for _, n := range all {
		s, ok := services[n.Service]
		if !ok || !s.placer.HearLimit(n, now) {
			continue
		}
		g.logLimit(zerolog.DebugLevel, n, "peer")
		if !n.Named {
			s.admitter.Wake(now)
		}
	}
}

// logLimit logs a change of the limit of a target, and who told it.
func (g *Gateway) logLimit(level zerolog.Level, n placer.LimitNews, from string) {
	g.limitChanges.Inc(1)
	g.log.WithLevel(level).Str("Target", string(n.Target)).Str("Service", string(n.Service)).Bool("Named", n.Named).
		Float64("PerSecond", float64(n.PerSecond)).Str("From", from).Msg("limit of a target changed")
}
