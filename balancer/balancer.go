// Package balancer puts an entry together: traffic, control and the operator
// endpoint, as one run group that starts and stops together.
//
//	b, err := balancer.New(settings, balancer.WithLog(log))
//	err = b.Run(ctx)
package balancer

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rs/zerolog"

	"savoryroad.dev/appender"
	"savoryroad.dev/controller"
	"savoryroad.dev/forwarder"
	"savoryroad.dev/loader"
	"savoryroad.dev/recorder"
	"savoryroad.dev/runner"
)

const (
	// appendTimeout bounds the append of a snapshot.
	appendTimeout = 10 * time.Second
	// settleTime is the part of the drain timeout left for closing the rest.
	settleTime = time.Second
	// releaseTime bounds the wait for the shares to be given away.
	releaseTime = 10 * time.Second
	// releasePoll is the time between two looks whether they are.
	releasePoll = 20 * time.Millisecond
)

// Balancer is one entry. Run may be called once.
type Balancer struct {
	settings  loader.Settings
	log       appender.Log
	logger    zerolog.Logger
	rec       *recorder.Recorder
	forwarder *forwarder.Forwarder
	loop      *controller.Loop
	peers     *peers
	app       *kratos.App
	// callers and operators are the listeners, open since New.
	callers, operators net.Listener
	// abort is closed when the entry must end without finishing anything.
	abort chan struct{}
	// abortOnce closes abort.
	abortOnce sync.Once
	// drained is closed when the last caller's connection has ended.
	drained chan struct{}
	// released is closed when, after that, this entry owns no shares.
	released chan struct{}
	// started is when New returned.
	started time.Time
	seed    uint64
	signals []os.Signal
}

// Option changes a Balancer under construction.
type Option func(*Balancer)

// WithLog sets the log service, in place of the one that the settings name.
func WithLog(l appender.Log) Option { return func(b *Balancer) { b.log = l } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) Option {
	return func(b *Balancer) { b.logger = l.With().Str("Entry", string(b.settings.Name)).Logger() }
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(b *Balancer) { b.seed = seed } }

// WithSignals sets the signals that end Run; without it none does.
func WithSignals(signals ...os.Signal) Option {
	return func(b *Balancer) { b.signals = signals }
}

// New opens the listeners of an entry. It fails when an address is taken or a
// key file can't be read.
func New(s loader.Settings, opts ...Option) (*Balancer, error) {
	b := &Balancer{
		settings: s,
		logger:   zerolog.New(io.Discard),
		rec:      recorder.New(),
		abort:    make(chan struct{}),
		drained:  make(chan struct{}),
		released: make(chan struct{}),
		started:  time.Now(),
		seed:     rand.Uint64(),
		signals:  []os.Signal{runner.NoSignal{}},
	}
	for _, opt := range opts {
		opt(b)
	}
	if b.log == nil {
		b.log = appender.NewHTTP(string(s.Log))
	}
	b.forwarder = forwarder.New(b.rec, forwarder.WithStall(s.StallTimeout), forwarder.WithSeed(b.seed))
	jitter := rand.New(rand.NewPCG(b.seed, 1)).Float64()
	if err := b.listen(); err != nil {
		return nil, err
	}
	var err error
	if b.peers, err = newPeers(b); err != nil {
		b.close()
		return nil, err
	}
	b.forwarder.SetClaimer(b.peers)
	b.forwarder.SetWarmthTeller(b.peers.tell)
	b.forwarder.SetStriker(b.peers.strike)
	b.forwarder.SetBorrower(b.peers.askLoan)
	b.peers.limitTraffic()
	b.loop = controller.NewLoop(controller.New(s, jitter, b.peers.self), b.carryOut)
	servers, err := b.servers()
	if err != nil {
		b.close()
		return nil, err
	}
	runner.QuietFramework()
	b.app = kratos.New(
		kratos.Name("savoryroad"),
		kratos.ID(string(s.Name)),
		kratos.Signal(b.signals...),
		kratos.StopTimeout(s.DrainTimeout),
		kratos.Server(servers...),
		kratos.BeforeStop(b.beforeStop),
	)
	return b, nil
}

// Run serves until the context ends or a signal arrives, and then until the
// calls in flight are done or the drain timeout is over.
func (b *Balancer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = b.app.Stop() })
	defer stop()
	b.logger.Info().
		Str("Listen", b.CallersAddr().String()).
		Str("Operator", b.OperatorsAddr().String()).
		Msg("started")
	err := b.app.Run()
	b.logger.Info().Int64("CallsCutOff", b.forwarder.InFlight()).Msg("stopped")
	return errors.Wrap(err, "entry")
}

// CallersAddr returns the address that callers reach.
func (b *Balancer) CallersAddr() net.Addr { return b.callers.Addr() }

// OperatorsAddr returns the address of the operator endpoint.
func (b *Balancer) OperatorsAddr() net.Addr { return b.operators.Addr() }

// Ready tells whether the entry has a configuration and wants calls. The
// control goroutine knows of a configuration a moment before calls can use it.
func (b *Balancer) Ready() bool {
	return b.loop.Model().Phase == controller.Serving && b.forwarder.Revision() > 0
}

func (b *Balancer) listen() error {
	var err error
	if b.callers, err = net.Listen("tcp", b.settings.Listen.String()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if b.operators, err = net.Listen("tcp", b.settings.Operator.String()); err != nil {
		b.callers.Close()
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

func (b *Balancer) close() {
	b.callers.Close()
	b.operators.Close()
}

// servers lists the run group.
func (b *Balancer) servers() ([]transport.Server, error) {
	callers, err := b.callerServer()
	if err != nil {
		return nil, err
	}
	return []transport.Server{
		drainedServer{Server: callers, drained: b.drained, abort: b.abort, logger: b.logger},
		lastServer{Server: b.operatorServer(), after: b.drained},
		runner.NewTask(b.released, b.loop.Run),
		runner.NewTask(b.released, func(ctx context.Context) error {
			return controller.Follow(ctx, b.log, b.loop)
		}),
		runner.NewTask(b.released, b.peers.run),
		runner.NewTask(b.released, b.pollVMs),
		runner.NewTask(nil, b.release),
	}, nil
}

// callerServer returns the server towards callers.
func (b *Balancer) callerServer() (*khttp.Server, error) {
	opts := []khttp.ServerOption{
		khttp.Listener(b.callers),
		khttp.Timeout(0),
		// Calls skip the transport's own routing, which would rewrite paths.
		khttp.Filter(func(http.Handler) http.Handler { return b.forwarder }),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	if b.settings.TLS.CertFile != "" {
		cfg, err := serverTLS(b.settings.TLS)
		if err != nil {
			return nil, err
		}
		opts = append(opts, khttp.TLSConfig(cfg))
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	srv := khttp.NewServer(opts...)
	srv.Protocols = protocols
	srv.ReadHeaderTimeout = b.settings.HeaderTimeout
	srv.IdleTimeout = b.settings.IdleTimeout
	srv.ErrorLog = runner.DiscardLogger()
	return srv, nil
}

// beforeStop reports the entry unready, so that the platform's balancer sends
// no more, and only then lets the servers stop.
func (b *Balancer) beforeStop(context.Context) error {
	b.forwarder.Drain()
	b.loop.Send(context.Background(), controller.StopMsg{})
	select {
	case <-time.After(b.settings.UnreadyDelay):
	case <-b.abort:
	}
	return nil
}

// Abort ends Run at once: calls in flight are cut off, and shares are not
// given away.
func (b *Balancer) Abort() {
	b.abortOnce.Do(func() { close(b.abort) })
	_ = b.app.Stop()
}

// carryOut executes one command of the control goroutine.
func (b *Balancer) carryOut(cmd controller.Cmd) {
	switch cmd := cmd.(type) {
	case controller.InstallCmd:
		b.forwarder.Install(cmd.Revision, cmd.Config)
	case controller.OwnCmd:
		b.peers.own(cmd.Table)
	case controller.GossipCmd:
		b.peers.kick()
	case controller.FleetCmd:
		go b.peers.appendRecord(cmd.Record)
	case controller.HandoverCmd:
		go b.peers.handOver(cmd.Transfer)
	case controller.AppendSnapshotCmd:
		go b.appendSnapshot(cmd.Data)
	case controller.LogCmd:
		b.logger.WithLevel(cmd.Level).Fields(cmd.Fields).Msg(cmd.Text)
	}
}
