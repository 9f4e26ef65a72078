package gateway

import (
	"math"
	"net/netip"
	"time"

	"savoryroad.dev/admitter"
	"savoryroad.dev/gossiper"
	"savoryroad.dev/recorder"
)

const (
	// pressureInterval is the time between two messages on the pressure on services, and
	// pressurePeers the number of random peers that get each. So an entry hears of about
	// twelve others in a second, of however many there are.
	pressureInterval = 200 * time.Millisecond
	pressurePeers    = 3
	// levelStep is the change of the share that a level admits which is logged.
	levelStep = 0.25
)

// spreadPressure tells some peers of the services that are under pressure, and logs the
// changes of their levels.
func (g *Gateway) spreadPressure(now time.Time) {
	if now.Sub(g.pressureToldAt) < pressureInterval {
		return
	}
	g.pressureToldAt = now
	var news []admitter.Pressure
	for _, s := range g.snapshot.Load().services {
		if s.level == nil {
			continue
		}
		g.noteLevel(s, s.level.State(now))
		if p, ok := s.level.News(now); ok {
			news = append(news, p)
		}
	}
	if len(news) == 0 {
		return
	}
	g.pressureSequence++
	m := gossiper.Message{Pressure: &admitter.PressureNews{
		Origin: admitter.Origin{Start: g.started.UnixMilli(), Sequence: g.pressureSequence}, Services: news,
	}}
	for range pressurePeers {
		g.gossiper.TellAny(m)
	}
}

// hearPressure applies what a peer tells of the pressure on services.
func (g *Gateway) hearPressure(from netip.Addr, m admitter.PressureNews, now time.Time) {
	services := g.snapshot.Load().services
	for _, p := range m.Services {
		if s, ok := services[p.Service]; ok && s.level != nil && !s.level.Hear(from, m.Origin, p, now) {
			g.absurdNews.Inc(1)
			g.log.Warn().Str("Service", string(p.Service)).Str("From", from.String()).
				Float64("Pressure", p.Pressure).Float64("Share", p.Share).Msg("news of pressure can't be true")
		}
	}
}

// noteLevel counts the level of a service and logs it if it has changed.
func (g *Gateway) noteLevel(s *service, state admitter.LevelState) {
	label := recorder.Label{Name: "service", Value: string(s.name)}
	s.recorder.Gauge("admitted_percent", label).Update(int64(100 * state.Share))
	s.recorder.Gauge("pressure_percent", label).Update(int64(100 * state.Pressure))
	was := g.loggedShares[s.name]
	if was == 0 {
		was = 1
	}
	if state.Share == was || state.Share < 1 && math.Abs(state.Share-was) < levelStep {
		return
	}
	g.loggedShares[s.name] = state.Share
	g.log.Info().Str("Service", string(s.name)).Float64("Share", state.Share).Float64("Was", was).
		Float64("Pressure", state.Pressure).Int("Peers", state.Peers).Msg("level changed")
}
