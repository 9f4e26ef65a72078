package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"savoryroad.dev/admitter"
	"savoryroad.dev/authenticator"
	"savoryroad.dev/custodian"
	"savoryroad.dev/gossiper"
	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/promoter"
	"savoryroad.dev/recorder"
	"savoryroad.dev/router"
	"savoryroad.dev/tracker"
	"savoryroad.dev/transporter"
)

// snapshot is the immutable view of routes and services that requests read.
// The control loop replaces it as a whole.
type snapshot struct {
	router *router.Router
	// keys holds the keys of the organisations; nil if callers present none.
	keys     *authenticator.Keys
	services map[loader.ServiceName]*service
}

// service holds the per-service state that requests share.
type service struct {
	name     loader.ServiceName
	config   router.Service
	placer   *placer.Service
	admitter *admitter.Queue
	// level is nil if levels are switched off.
	level        *admitter.Level
	budget       *limiter.Budget
	probeLimiter *limiter.Probes
	recorder     *recorder.Recorder
	// gate assigns requests to versions while the service is moved to a new one;
	// otherwise it holds nil.
	gate *atomic.Pointer[promoter.Gate]
	*connectionPools
}

// connectionPools holds one connection pool per target of a service. It is
// safe for concurrent use.
type connectionPools struct {
	mu    sync.Mutex
	pools map[*placer.Target]*transporter.Pool
	// buffers bounds the response bodies of all pools of the entry.
	buffers *transporter.Buffers
	// limit is the maximum number of connections in each pool.
	limit int
}

// pool returns the connection pool of a target, and creates it on first use.
func (c *connectionPools) pool(t *placer.Target) *transporter.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[t]
	if !ok {
		p = transporter.NewPool(t.Address, c.limit, c.buffers)
		c.pools[t] = p
	}
	return p
}

// closePools closes the connections to removed targets. A connection that
// carries a request is closed when the request ends.
func (c *connectionPools) closePools(removed []*placer.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range removed {
		if p, ok := c.pools[t]; ok {
			p.Close()
			delete(c.pools, t)
		}
	}
}

// closeIdle closes the connections whose idle timeout has passed.
func (c *connectionPools) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Expire(now)
	}
}

// setConnectionLimit sets the maximum number of connections in each pool.
func (c *connectionPools) setConnectionLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
	for _, p := range c.pools {
		p.SetLimit(n)
	}
}

const (
	// tickInterval is the time between two TickMsg to the model.
	tickInterval = 50 * time.Millisecond
	// idleCheckInterval is the time between two sweeps for idle connections.
	idleCheckInterval = 500 * time.Millisecond
	// controlQueueSize is the number of messages buffered for the control loop.
	controlQueueSize = 64
	// usableConnectionFraction is the fraction of a target's connection limit
	// that all entries use together.
	usableConnectionFraction = 0.8
	// minConnections is the smallest connection limit of an entry per target.
	minConnections = 2
	// assumedFleetSize is the number of entries assumed while the entry's share
	// is unknown.
	assumedFleetSize = 32
)

// controlLoop owns the model: it passes messages to Update and executes the
// commands that Update returns.
func (g *Gateway) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastIdleCheck := time.Now()
	suspensions := suspendWatch{total: suspendedTime, seen: suspendedTime()}
	for {
		var msg tracker.Msg
		select {
		case <-ctx.Done():
			return
		case msg = <-g.messages:
		case <-ticker.C:
			g.checkSuspension(ctx, &suspensions)
			g.updateCustody(ctx, custodian.TickMsg{})
			msg = tracker.TickMsg{Peers: g.gossiper.Count()}
			g.spreadLimits(time.Now())
			g.spreadLeaving()
			g.spreadPressure(time.Now())
			g.watchTargets(ctx, time.Now())
			g.spreadCrashes(ctx, time.Now())
			g.promote(ctx, promoter.TickMsg{Peers: g.gossiper.Count(), Part: g.share.Part()})
			if now := time.Now(); now.Sub(lastIdleCheck) >= idleCheckInterval {
				lastIdleCheck = now
				for _, s := range g.snapshot.Load().services {
					s.closeIdle(now)
				}
			}
		}
		switch msg := msg.(type) {
		case boundsChangedMsg:
			g.applyBounds()
			continue
		case custodyMsg:
			// An answer from before a suspension no longer tells what the entry may use.
			if !g.checkSuspension(ctx, &suspensions) {
				g.updateCustody(ctx, msg.msg)
			}
			continue
		case promoterMsg:
			g.promote(ctx, msg.msg)
			continue
		case dumpMsg:
			msg.reply <- g.dump(time.Now())
			continue
		}
		g.update(ctx, msg)
		if g.model.Config.Version > 0 && g.model.Listed {
			g.markReady()
		}
	}
}

// checkSuspension ends what ends with a suspension of the machine. It reports whether there
// was one.
func (g *Gateway) checkSuspension(ctx context.Context, w *suspendWatch) bool {
	msg := w.check()
	if msg == nil {
		return false
	}
	g.update(ctx, msg)
	g.updateCustody(ctx, custodian.SuspendedMsg{})
	g.allotter.Suspended()
	g.suspensionsSeen.Store(int64(w.seen))
	return true
}

// update passes a message to the model and executes the commands that result.
func (g *Gateway) update(ctx context.Context, msg tracker.Msg) {
	for _, cmd := range g.model.Update(msg, time.Now()) {
		g.execute(ctx, cmd)
	}
	at := g.model.Views[tracker.Orders].At
	g.ordersAt.Store(&at)
}

// markReady admits requests. Only the first call has an effect.
func (g *Gateway) markReady() {
	if g.ready.CompareAndSwap(false, true) {
		close(g.readyCh)
	}
}

// dispatch queues a message for the control loop. It blocks while the queue is
// full, and drops the message once the gateway has drained.
func (g *Gateway) dispatch(msg tracker.Msg) {
	select {
	case g.messages <- msg:
	case <-g.drained:
	}
}

// boundsChangedMsg reports that the bounds in the settings file have changed.
type boundsChangedMsg struct{ tracker.Msg }

// execute runs a command of the model.
func (g *Gateway) execute(ctx context.Context, cmd tracker.Cmd) {
	switch cmd := cmd.(type) {
	case tracker.InstallCmd:
		g.install(cmd.Config)
	case tracker.PlaceCmd:
		services := g.snapshot.Load().services
		for name, targets := range cmd.Targets {
			if s, ok := services[name]; ok {
				g.place(ctx, s, targets)
			}
		}
	case tracker.RolloutCmd:
		g.promote(ctx, promoter.OrderMsg{Order: cmd.Order, Fresh: cmd.Fresh})
	case tracker.ShareCmd:
		g.share = cmd.Share
		g.allotter.SetShare(cmd.Share)
		for _, s := range g.snapshot.Load().services {
			g.applyShare(s)
		}
	case tracker.ReadCmd:
		go g.readTopic(ctx, cmd)
	case tracker.SpreadCmd:
		g.gossiper.Spread(gossiper.Message{News: &cmd.News})
	case tracker.AskCmd:
		g.gossiper.TellAny(gossiper.Message{Ask: &cmd.Ask})
	case tracker.TellCmd:
		g.gossiper.Tell(cmd.Peer, gossiper.Message{News: &cmd.News})
	case tracker.RestoredCmd:
		g.storeRestores.Inc(1)
		select {
		case g.rejoin <- struct{}{}:
		default: // a renewal of the share is due anyway
		}
	case tracker.LogCmd:
		g.log.WithLevel(cmd.Level).Fields(cmd.Fields).Msg(cmd.Text)
	}
}

// install activates a configuration. A service that was configured before keeps
// its targets, retry budget, probe limit and connections.
func (g *Gateway) install(cfg router.Config) {
	old := g.snapshot.Load()
	next := &snapshot{
		router:   router.New(cfg, rand.Float64()),
		services: make(map[loader.ServiceName]*service, len(cfg.Services)),
	}
	if len(cfg.Organisations) > 0 {
		next.keys = authenticator.New(cfg.Organisations)
	}
	for name, c := range cfg.Services {
		s := &service{name: name, config: c, recorder: g.recorder}
		if existing, ok := old.services[name]; ok {
			s.placer, s.admitter, s.budget = existing.placer, existing.admitter, existing.budget
			s.level, s.gate = existing.level, existing.gate
			s.probeLimiter, s.connectionPools = existing.probeLimiter, existing.connectionPools
		} else {
			b := g.bounds.Load()
			s.placer = placer.New(name, g.platform.DataCentre, rand.Uint64())
			opts := []admitter.Option{admitter.WithLimits(s.placer)}
			if g.tuning.Levels {
				s.level = admitter.NewLevel(name, rand.Float64)
				opts = append(opts, admitter.WithLevel(s.level))
			}
			s.admitter = admitter.New(rand.Float64, opts...)
			s.budget = limiter.NewBudget(b.RetryRatio, b.RetrySlack, b.RetryWindow)
			s.probeLimiter, s.gate = &limiter.Probes{}, &atomic.Pointer[promoter.Gate]{}
			s.connectionPools = &connectionPools{pools: map[*placer.Target]*transporter.Pool{}, buffers: g.buffers}
		}
		s.placer.SetCold(coldLimit(c, *g.bounds.Load()))
		g.applyShare(s)
		next.services[name] = s
	}
	g.allotter.SetLimits(quotaLimits(cfg))
	g.snapshot.Store(next)
}

// applyBounds applies the bounds of the settings to all services.
func (g *Gateway) applyBounds() {
	b := g.bounds.Load()
	g.allotter.SetTerms(quotaTerms(*b))
	for _, s := range g.snapshot.Load().services {
		s.placer.SetCold(coldLimit(s.config, *b))
		s.budget.SetBounds(b.RetryRatio, b.RetrySlack)
		g.updateProbeRate(s)
	}
}

// coldLimit returns the limit on requests from the whole fleet to one target
// during its warm-up.
func coldLimit(c router.Service, b platform.Bounds) limiter.ColdLimit {
	return limiter.ColdLimit{Rate: c.WarmupRate, Peak: c.WarmupRate*b.WarmupExcess + b.WarmupSlack}
}

// applyShare scales a service's limits to the entry's share of the fleet.
func (g *Gateway) applyShare(s *service) {
	s.placer.SetShare(g.share)
	s.budget.SetShare(g.share)
	s.setConnectionLimit(max(minConnections, int(usableConnectionFraction*g.effectiveShare()*float64(s.config.Connections))))
	g.updateProbeRate(s)
}

// effectiveShare returns the entry's share of the fleet as a fraction, or an
// estimate while the share is unknown.
func (g *Gateway) effectiveShare() float64 {
	if fraction := g.share.AssignedPart(); fraction > 0 {
		return fraction
	}
	return 1.0 / assumedFleetSize
}

// updateProbeRate sets the entry's rate limit on health checks of a service.
func (g *Gateway) updateProbeRate(s *service) {
	s.probeLimiter.SetRate(g.bounds.Load().ProbesPerTarget, s.placer.Targets(), g.effectiveShare())
}
