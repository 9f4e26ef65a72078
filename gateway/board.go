package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"savoryroad.dev/carrier"
	"savoryroad.dev/courier"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/rationer"
	"savoryroad.dev/recorder"
	"savoryroad.dev/router"
	"savoryroad.dev/tracker"
)

// board is what requests see of the fleet. It never changes; the control
// goroutine replaces it.
type board struct {
	router   *router.Router
	services map[loader.ServiceName]*service
}

// service holds what requests need of one service.
type service struct {
	name     loader.ServiceName
	config   router.Service
	placer   *placer.Service
	budget   *rationer.Budget
	probes   *rationer.Probes
	recorder *recorder.Recorder
	*connections
}

// connections holds the connections to a service's targets.
type connections struct {
	mu    sync.Mutex
	pools map[*placer.Target]*carrier.Pool
	// limit is how many connections each pool may have.
	limit int
}

// pool returns the connections to a target.
func (s *connections) pool(t *placer.Target) *carrier.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[t]
	if !ok {
		p = carrier.NewPool(t.Address, s.limit)
		s.pools[t] = p
	}
	return p
}

// drop closes the connections to targets that get no more requests. Those that
// carry one are closed when it ends.
func (s *connections) drop(gone []*placer.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range gone {
		if p, ok := s.pools[t]; ok {
			p.Close()
			delete(s.pools, t)
		}
	}
}

// expire closes the connections that were idle for too long.
func (s *connections) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Expire(now)
	}
}

// limitConnections sets how many connections each pool may have.
func (s *connections) limitConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = n
	for _, p := range s.pools {
		p.SetLimit(n)
	}
}

const (
	// tickInterval is how often the control goroutine looks at the time.
	tickInterval = 50 * time.Millisecond
	// expiryInterval is how often idle connections are looked through.
	expiryInterval = 500 * time.Millisecond
	// controlQueue is the number of messages that wait for it.
	controlQueue = 64
	// spendableConnections is the part of a target's connections that all
	// entries together use.
	spendableConnections = 0.8
	// minConnections is what an entry uses of a target's connections at least.
	minConnections = 2
	// presumedEntries is the size of the fleet while the share is not known.
	presumedEntries = 32
)

// control owns the model: it feeds it messages and carries out its commands.
func (g *Gateway) control(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	expired := time.Now()
	for {
		var msg tracker.Msg
		select {
		case <-ctx.Done():
			return
		case msg = <-g.messages:
		case <-ticker.C:
			msg = tracker.TickMsg{Peers: g.courier.Count()}
			if now := time.Now(); now.Sub(expired) >= expiryInterval {
				expired = now
				for _, s := range g.board.Load().services {
					s.expire(now)
				}
			}
		}
		switch msg := msg.(type) {
		case boundsMsg:
			g.rebound()
			continue
		case dumpMsg:
			msg.answer <- g.dump(time.Now())
			continue
		}
		for _, cmd := range g.model.Update(msg, time.Now()) {
			g.carryOut(ctx, cmd)
		}
		if g.model.Config.Version > 0 && g.model.Listed {
			g.becomeReady()
		}
	}
}

// becomeReady lets requests in, once.
func (g *Gateway) becomeReady() {
	if g.ready.CompareAndSwap(false, true) {
		close(g.known)
	}
}

// tell hands a message to the control goroutine.
func (g *Gateway) tell(msg tracker.Msg) {
	select {
	case g.messages <- msg:
	case <-g.drained:
	}
}

// boundsMsg says that the settings have other bounds.
type boundsMsg struct{ tracker.Msg }

// carryOut executes a command of the model.
func (g *Gateway) carryOut(ctx context.Context, cmd tracker.Cmd) {
	switch cmd := cmd.(type) {
	case tracker.InstallCmd:
		g.install(cmd.Config)
	case tracker.PlaceCmd:
		services := g.board.Load().services
		for name, targets := range cmd.Targets {
			if s, ok := services[name]; ok {
				s.drop(s.placer.SetTargets(targets))
				g.setProbes(s)
			}
		}
	case tracker.ShareCmd:
		g.share = cmd.Share
		for _, s := range g.board.Load().services {
			g.setShare(s)
		}
	case tracker.ReadCmd:
		go g.read(ctx, cmd)
	case tracker.SpreadCmd:
		g.courier.Spread(courier.Message{News: &cmd.News})
	case tracker.AskCmd:
		g.courier.TellAny(courier.Message{Ask: &cmd.Ask})
	case tracker.TellCmd:
		g.courier.Tell(cmd.Peer, courier.Message{News: &cmd.News})
	case tracker.LogCmd:
		g.log.WithLevel(cmd.Level).Fields(cmd.Fields).Msg(cmd.Text)
	}
}

// install brings a configuration into force. Services keep what is known of
// them.
func (g *Gateway) install(cfg router.Config) {
	old := g.board.Load()
	next := &board{
		router:   router.New(cfg, rand.Float64()),
		services: make(map[loader.ServiceName]*service, len(cfg.Services)),
	}
	for name, c := range cfg.Services {
		s := &service{name: name, config: c, recorder: g.recorder}
		if known, ok := old.services[name]; ok {
			s.placer, s.budget, s.probes, s.connections = known.placer, known.budget, known.probes, known.connections
		} else {
			b := g.bounds.Load()
			s.placer = placer.New(name, g.platform.DataCentre, rand.Uint64())
			s.budget = rationer.NewBudget(b.RetryRatio, b.RetrySlack, b.RetryWindow)
			s.probes = &rationer.Probes{}
			s.connections = &connections{pools: map[*placer.Target]*carrier.Pool{}}
		}
		s.placer.SetCold(coldLimit(c, *g.bounds.Load()))
		g.setShare(s)
		next.services[name] = s
	}
	g.board.Store(next)
}

// rebound passes the bounds of the settings on to the services.
func (g *Gateway) rebound() {
	b := g.bounds.Load()
	for _, s := range g.board.Load().services {
		s.placer.SetCold(coldLimit(s.config, *b))
		s.budget.SetBounds(b.RetryRatio, b.RetrySlack)
		g.setProbes(s)
	}
}

// coldLimit is what a cold target of a service bears.
func coldLimit(c router.Service, b platform.Bounds) rationer.ColdLimit {
	return rationer.ColdLimit{Rate: c.WarmupRate, Peak: c.WarmupRate*b.WarmupExcess + b.WarmupSlack}
}

// setShare passes the entry's share of the fleet on to a service.
func (g *Gateway) setShare(s *service) {
	s.placer.SetShare(g.share)
	s.budget.SetShare(g.share.Part())
	s.limitConnections(max(minConnections, int(spendableConnections*g.presumedPart()*float64(s.config.Connections))))
	g.setProbes(s)
}

// presumedPart is the entry's part of the fleet, or what it most likely is while
// that is not known.
func (g *Gateway) presumedPart() float64 {
	if part := g.share.Part(); part > 0 {
		return part
	}
	return 1.0 / presumedEntries
}

// setProbes passes on what the entry may ask the targets of a service.
func (g *Gateway) setProbes(s *service) {
	s.probes.SetRate(g.bounds.Load().ProbesPerTarget, s.placer.Targets(), g.presumedPart())
}
