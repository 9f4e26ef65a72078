// Package gateway implements an entry: a process on the platform that receives
// callers' requests and forwards them to backend servers.
//
//	g := gateway.New(settings, gateway.WithLogger(logger))
//	err := g.Run(ctx)
//
// A request passes through serve.go (routing and answers), call.go (attempts,
// retries and hedges), wait.go (the queue for targets), quota.go (quotas of organisations), look.go (health checks of
// targets) and isolate.go (requests that crash targets, which are found by end.go and
// silence.go). The entry receives the state of the fleet from the store (follow.go) and
// from its peers (news.go), and acquires its share of the fleet's limits in share.go.
// The control loop in board.go passes all of this to the model and publishes the
// snapshot that requests read. The entry stops in the steps of stop.go.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"savoryroad.dev/allotter"
	"savoryroad.dev/custodian"
	"savoryroad.dev/gossiper"
	"savoryroad.dev/isolator"
	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
	"savoryroad.dev/recorder"
	"savoryroad.dev/runner"
	"savoryroad.dev/tracker"
	"savoryroad.dev/transporter"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout are limits
	// of the HTTP servers. The configuration's limits are checked per request.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// bufferMemoryDivisor is the part of the process's memory that bodies of requests
	// and responses may take up. The garbage collector may need as much again.
	bufferMemoryDivisor = 4
)

// Gateway is one entry. Create it with New.
type Gateway struct {
	platform platform.Settings
	// settingsFile is the path of the platform's settings; empty if they are not
	// reloaded.
	settingsFile string
	// bounds are the bounds of the latest settings.
	bounds atomic.Pointer[platform.Bounds]
	// drainDelay is how long the entry accepts requests after it has stopped
	// being ready.
	drainDelay time.Duration
	store      *platform.Store
	log        zerolog.Logger
	recorder   *recorder.Recorder
	// storeRestores counts the topics that were read again after a restore.
	storeRestores metrics.Counter
	// storeReads counts the reads of the store, storeReadFailures those of them that
	// failed, and storeReadsPartial those that left records behind.
	storeReads, storeReadFailures, storeReadsPartial metrics.Counter
	// limitChanges counts the changes of targets' limits.
	limitChanges metrics.Counter
	gossiper     *gossiper.Gossiper
	// isolator holds the requests that crash targets. CrashesLoaded is set once those of
	// earlier times are known, and crashes counts the targets that ended under a
	// request of this entry.
	isolator      *isolator.Registry
	crashesLoaded atomic.Bool
	crashes       metrics.Counter
	// refusedBodies counts the requests that were refused for lack of memory.
	refusedBodies metrics.Counter
	// unauthenticated counts the requests without a valid key.
	unauthenticated metrics.Counter
	// absurdNews counts the news of peers that can't be true.
	absurdNews metrics.Counter
	// started is when the process started.
	started time.Time
	// ordersAt is the time up to which the operators' records are known; nil if they
	// aren't.
	ordersAt atomic.Pointer[time.Time]
	// buffers bounds the memory of bodies; nil means no bound.
	buffers *transporter.Buffers
	// guard bounds the connections of callers and the memory that they take.
	guard *guard

	snapshot atomic.Pointer[snapshot]
	messages chan tracker.Msg
	// rejoin receives a value when the share is to be renewed at once.
	rejoin chan struct{}
	// drained is closed once the last request has ended.
	drained chan struct{}
	// held is what the entry may use of its share.
	held atomic.Pointer[savedShare]
	// renewing is set while a renewal of the share is due soon.
	renewing atomic.Bool
	// allotter holds the entry's part of the quotas of organisations.
	allotter *allotter.Allotter
	// suspensionsSeen is the time of suspensions that the control loop has seen, in
	// nanoseconds.
	suspensionsSeen atomic.Int64
	// The control loop owns the following fields. pressureToldAt is when peers were last
	// told of the pressure on services, pressureSequence numbers these messages, and
	// loggedShares holds the shares of levels that were last logged.
	promotion        *promotion
	custodian        *custodian.Custodian
	custody          custody
	model            *tracker.Model
	share            limiter.Share
	pressureToldAt   time.Time
	pressureSequence uint64
	loggedShares     map[loader.ServiceName]float64

	// ready is set once requests can be served, stopping once the entry has begun
	// to shut down, and closing once it accepts no further requests.
	ready, stopping, closing atomic.Bool
	// callsEnd is the time at which a stopping entry ends its calls, or nil. The
	// context calls ends then.
	callsEnd atomic.Pointer[time.Time]
	calls    context.Context
	endCalls context.CancelFunc
	// killedAt is the time at which the platform kills the stopping process.
	killedAt time.Time
	// readyCh is closed when ready is set.
	readyCh  chan struct{}
	inFlight atomic.Int64
	// tuning holds the operators' settings.
	tuning loader.Tuning
	// servedCount is the number of served requests, for sampling their log lines.
	servedCount atomic.Int64
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithSettingsFile makes the entry reload the bounds of the platform's settings
// when the file changes or on SIGHUP.
func WithSettingsFile(file string) Option { return func(g *Gateway) { g.settingsFile = file } }

// WithTuning sets the operators' settings; by default there is no endpoint for
// operators, and every served request is logged.
func WithTuning(t loader.Tuning) Option { return func(g *Gateway) { g.tuning = t } }

// WithStore sets the client of the store; by default New creates one for the
// address in the settings.
func WithStore(s *platform.Store) Option { return func(g *Gateway) { g.store = s } }

// WithDrainDelay sets how long a stopping entry continues to accept requests,
// until the platform has noticed that it is no longer ready; 2.6 s by default.
func WithDrainDelay(d time.Duration) Option { return func(g *Gateway) { g.drainDelay = d } }

// New returns an entry with the platform's settings.
func New(p platform.Settings, opts ...Option) *Gateway {
	g := &Gateway{
		platform: p,
		store:    platform.NewStore(p.Store.Address),
		log:      zerolog.Nop(),

		custodian:    custodian.New(p.Listen.Addr(), p.Store.Partitions*shareTopicCount, shareTTL, rand.Uint64),
		allotter:     allotter.New(p.Listen.Addr(), rand.Uint64),
		promotion:    newPromotion(p),
		drainDelay:   defaultDrainDelay,
		tuning:       loader.Tuning{LogServedOneIn: 1, Pipelining: true, Levels: true},
		recorder:     recorder.New(),
		messages:     make(chan tracker.Msg, controlQueueSize),
		rejoin:       make(chan struct{}, 1),
		drained:      make(chan struct{}),
		readyCh:      make(chan struct{}),
		model:        tracker.New(rand.Float64),
		started:      time.Now(),
		loggedShares: map[loader.ServiceName]float64{},
		isolator:     isolator.NewRegistry(rand.Float64),
	}
	g.storeRestores = g.recorder.Counter("store_restores_total")
	g.storeReads = g.recorder.Counter("store_reads_total")
	g.storeReadFailures = g.recorder.Counter("store_read_failures_total")
	g.storeReadsPartial = g.recorder.Counter("store_reads_partial_total")
	g.limitChanges = g.recorder.Counter("target_limit_changes_total")
	g.crashes = g.recorder.Counter("target_crashes_total")
	g.refusedBodies = g.recorder.Counter("refused_bodies_total")
	g.unauthenticated = g.recorder.Counter("unauthenticated_requests_total")
	g.absurdNews = g.recorder.Counter("absurd_news_total")
	g.snapshot.Store(&snapshot{})
	g.bounds.Store(&p.Bounds)
	g.allotter.SetTerms(quotaTerms(p.Bounds))
	g.suspensionsSeen.Store(int64(suspendedTime()))
	g.calls, g.endCalls = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(g)
	}
	plan := planMemory(p, g.tuning)
	if p.MemoryBytes > 0 {
		g.buffers = transporter.NewBuffers(plan.bodies)
	}
	g.guard = newGuard(plan, g.buffers, g.recorder)
	return g
}

// Run serves requests until one of the signals arrives or the context ends. It
// then drains the entry: requests in flight may finish until shortly before the
// end of the grace time.
func (g *Gateway) Run(ctx context.Context, signals ...os.Signal) error {
	runner.QuietFramework()
	if len(signals) == 0 {
		signals = []os.Signal{runner.NoSignal{}}
	}
	var err error
	peerAddr := netip.AddrPortFrom(g.platform.Listen.Addr(), g.platform.PeerPorts[0])
	if g.gossiper, err = gossiper.Listen(peerAddr); err != nil {
		return err
	}
	l, err := listen(g.platform.Listen)
	if err != nil {
		return err
	}
	plan := planMemory(g.platform, g.tuning)
	if err := boundUnread(l, plan.backlog); err != nil {
		g.log.Warn().Err(err).Msg("can't bound what connections receive before it is read")
	}
	if left := plan.left(g.platform.MemoryBytes); g.platform.MemoryBytes > 0 && left < 0 {
		g.log.Warn().Int64("Bytes", g.platform.MemoryBytes).Int64("Missing", -left).Msg("too little memory for an entry")
	}
	callers := newDrainingListener(l)
	readinessServer, err := g.newAuxiliaryServer(g.platform.Readiness, http.HandlerFunc(g.serveReadiness))
	if err != nil {
		return err
	}
	servers := []transport.Server{
		g.newCallerServer(callers),
		readinessServer,
		g.newTask(g.controlLoop),
		g.newTask(g.receivePeerMessages),
		g.newTask(g.discoverPeers),
		g.newTask(g.renewShare),
		g.newTask(g.loadCrashes),
		g.newTask(g.watchSettings),
		g.newTask(g.guard.run),
	}
	if g.tuning.Operator != 0 {
		operatorAddr := netip.AddrPortFrom(g.platform.Listen.Addr(), uint16(g.tuning.Operator))
		operatorServer, err := g.newAuxiliaryServer(operatorAddr, g.operatorHandler())
		if err != nil {
			return err
		}
		servers = append(servers, operatorServer)
	}
	app := kratos.New(
		// The framework derives the contexts of requests from this one. They must
		// outlive ctx, so that requests in flight finish during shutdown.
		kratos.Context(context.WithoutCancel(ctx)),
		kratos.Signal(signals...),
		kratos.Server(servers...),
		kratos.BeforeStop(func(context.Context) error {
			g.drain()
			return nil
		}),
		kratos.StopTimeout(g.bounds.Load().Grace),
	)
	g.log.Info().Str("Entry", string(g.platform.Name)).Str("DataCentre", string(g.platform.DataCentre)).
		Str("Listen", g.platform.Listen.String()).Msg("started")
	stop := context.AfterFunc(ctx, func() {
		if err := app.Stop(); err != nil {
			g.log.Error().Err(err).Msg("can't stop the application")
		}
	})
	defer stop()
	err = app.Run()
	g.log.Info().Int64("InFlight", g.inFlight.Load()).Msg("stopped")
	return errors.Wrap(err, "entry")
}

// serveReadiness answers the platform's readiness checks.
func (g *Gateway) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath || !g.ready.Load() || g.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listen opens a TCP listener.
func listen(address netip.AddrPort) (*net.TCPListener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	return l, errors.Wrap(err, "listen")
}

// newAuxiliaryServer listens on an address and returns a server that passes every
// request to h.
func (g *Gateway) newAuxiliaryServer(address netip.AddrPort, h http.Handler) (*auxiliaryServer, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &auxiliaryServer{newServer(l, h), g.drained}, nil
}

// newServer returns an HTTP server of the framework that passes every request to h.
func newServer(l net.Listener, h http.Handler) *khttp.Server {
	srv := khttp.NewServer(
		// Without an explicit address, the framework lists the network interfaces,
		// which some machines don't permit.
		khttp.Address(l.Addr().String()),
		khttp.Listener(l),
		khttp.Timeout(0),
		// Bypass the framework's router, which would rewrite paths.
		khttp.Filter(func(http.Handler) http.Handler { return h }),
	)
	srv.MaxHeaderBytes = defaultHeaderBytes
	srv.ReadHeaderTimeout = defaultHeaderTimeout
	srv.IdleTimeout = defaultIdleTimeout
	srv.ErrorLog = runner.DiscardLogger()
	return srv
}

// newTask returns a task of the run group that ends after the last request.
func (g *Gateway) newTask(run func(context.Context)) *runner.Task {
	return runner.NewTask(g.drained, func(ctx context.Context) error {
		run(ctx)
		return nil
	})
}
