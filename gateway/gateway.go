// Package gateway is an entry on the platform: it takes callers' requests and
// sends them to backend servers.
//
//	g, err := gateway.New(platformSettings, settings, gateway.WithLogger(logger))
//	err = g.Run(ctx)
//
// A request runs through serve.go (routing and answers), call.go (attempts and
// hedges) and look.go (asking targets for their load). What the entry believes
// of the fleet comes in through follow.go (the store), news.go (the peers) and
// share.go (its part of the fleet), and is kept by board.go.
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

	"savoryroad.dev/courier"
	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
	"savoryroad.dev/rationer"
	"savoryroad.dev/recorder"
	"savoryroad.dev/runner"
	"savoryroad.dev/tracker"
)

const (
	// defaultNoticeTime is how long the platform takes to see that an entry is no
	// longer ready: two questions, one second apart, and some delay.
	defaultNoticeTime = 2600 * time.Millisecond
	// graceMargin is how long before the end of the grace time an entry ends
	// by itself.
	graceMargin = 500 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout bound
	// callers. The configuration's own limits are checked for each request.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// Gateway is one entry.
type Gateway struct {
	platform platform.Settings
	// settingsFile is where the platform's settings came from; empty if they
	// never change.
	settingsFile string
	// bounds are those of the latest settings.
	bounds     atomic.Pointer[platform.Bounds]
	noticeTime time.Duration
	store      *platform.Store
	log        zerolog.Logger
	recorder   *recorder.Recorder
	reads      metrics.Counter
	courier    *courier.Courier

	snapshot atomic.Pointer[snapshot]
	messages chan tracker.Msg
	// drained is closed once the last request has ended.
	drained chan struct{}
	// model and share belong to the control goroutine.
	model *tracker.Model
	share rationer.Share

	// ready is set once requests can be served, stopping once the entry is
	// to end.
	ready, stopping atomic.Bool
	// readyCh is closed when ready is set.
	readyCh  chan struct{}
	inFlight atomic.Int64
	// tuning is the operators' own settings.
	tuning loader.Tuning
	// served counts the requests that were served, for sampling their lines.
	served atomic.Int64
}

// Option changes a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithSettingsFile makes the entry follow the changes of the platform's file.
func WithSettingsFile(file string) Option { return func(g *Gateway) { g.settingsFile = file } }

// WithTuning sets the operators' own settings; by default there is no endpoint
// for operators, and every served request is logged.
func WithTuning(t loader.Tuning) Option { return func(g *Gateway) { g.tuning = t } }

// WithStore sets the client of the store; by default it is one of the address
// in the settings.
func WithStore(s *platform.Store) Option { return func(g *Gateway) { g.store = s } }

// WithNoticeTime sets how long the platform takes to see that the entry is no
// longer ready.
func WithNoticeTime(d time.Duration) Option { return func(g *Gateway) { g.noticeTime = d } }

// New returns an entry.
func New(p platform.Settings, opts ...Option) *Gateway {
	g := &Gateway{
		platform: p,
		store:    platform.NewStore(p.Store.Address),
		log:      zerolog.Nop(),

		noticeTime: defaultNoticeTime,
		tuning:     loader.Tuning{LogServedOneIn: 1},
		recorder:   recorder.New(),
		messages:   make(chan tracker.Msg, controlQueueSize),
		drained:    make(chan struct{}),
		readyCh:    make(chan struct{}),
		model:      tracker.New(rand.Float64),
	}
	g.reads = g.recorder.Counter("store_reads_total")
	g.snapshot.Store(&snapshot{})
	g.bounds.Store(&p.Bounds)
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Run serves until a signal or the end of the context.
func (g *Gateway) Run(ctx context.Context, signals ...os.Signal) error {
	runner.QuietFramework()
	if len(signals) == 0 {
		signals = []os.Signal{runner.NoSignal{}}
	}
	var err error
	peers := netip.AddrPortFrom(g.platform.Listen.Addr(), g.platform.PeerPorts[0])
	if g.courier, err = courier.Listen(peers); err != nil {
		return err
	}
	callers, err := g.server(g.platform.Listen, g)
	if err != nil {
		return err
	}
	readiness, err := g.server(g.platform.Readiness, http.HandlerFunc(g.serveReadiness))
	if err != nil {
		return err
	}
	servers := []transport.Server{
		&drainingServer{Server: callers, g: g},
		readiness,
		g.task(g.controlLoop),
		g.task(g.receivePeerMessages),
		g.task(g.discoverPeers),
		g.task(g.renewShare),
		g.task(g.watchSettings),
	}
	if g.tuning.Operator != 0 {
		at := netip.AddrPortFrom(g.platform.Listen.Addr(), uint16(g.tuning.Operator))
		operators, err := g.server(at, g.operatorHandler())
		if err != nil {
			return err
		}
		servers = append(servers, operators)
	}
	app := kratos.New(
		// The framework derives the requests' contexts from this one; they must
		// outlive the entry's own.
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
			g.log.Error().Err(err).Msg("stop")
		}
	})
	defer stop()
	err = app.Run()
	g.log.Info().Int64("InFlight", g.inFlight.Load()).Msg("stopped")
	return errors.Wrap(err, "entry")
}

// drain tells the platform and the callers that the entry is leaving, and
// takes requests until they have noticed.
func (g *Gateway) drain() {
	g.stopping.Store(true)
	g.courier.Leave()
	g.log.Info().Int64("InFlight", g.inFlight.Load()).Msg("stopping")
	time.Sleep(g.noticeTime)
}

// serveReadiness answers the platform's question whether callers are welcome.
func (g *Gateway) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath || !g.ready.Load() || g.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// server listens at an address and returns an HTTP server of the framework
// that hands every request to one handler.
func (g *Gateway) server(address netip.AddrPort, h http.Handler) (*khttp.Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	srv := khttp.NewServer(
		// With the address alone beside it, the framework doesn't ask the system
		// for its network interfaces, which not every machine tells.
		khttp.Address(l.Addr().String()),
		khttp.Listener(l),
		khttp.Timeout(0),
		// Requests skip the framework's own routing, which would rewrite paths.
		khttp.Filter(func(http.Handler) http.Handler { return h }),
	)
	srv.MaxHeaderBytes = defaultHeaderBytes
	srv.ReadHeaderTimeout = defaultHeaderTimeout
	srv.IdleTimeout = defaultIdleTimeout
	srv.ErrorLog = runner.DiscardLogger()
	return srv, nil
}

// drainingServer finishes the requests in flight before it stops.
type drainingServer struct {
	*khttp.Server
	g *Gateway
}

// Stop waits for the requests in flight as long as the grace time allows.
func (s *drainingServer) Stop(ctx context.Context) error {
	defer close(s.g.drained)
	ctx, cancel := context.WithTimeout(ctx, s.g.bounds.Load().Grace-s.g.noticeTime-graceMargin)
	defer cancel()
	if err := s.Server.Stop(ctx); err != nil {
		s.g.log.Warn().Err(err).Int64("InFlight", s.g.inFlight.Load()).Msg("grace time is over; closing connections")
		return s.Server.Close()
	}
	return nil
}

// task returns a goroutine of the run group that ends after the last request.
func (g *Gateway) task(run func(context.Context)) *runner.Task {
	return runner.NewTask(g.drained, func(ctx context.Context) error {
		run(ctx)
		return nil
	})
}
