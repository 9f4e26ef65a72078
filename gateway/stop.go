package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// defaultDrainDelay is how long the platform takes to notice that an entry is
	// no longer ready: two readiness checks, one second apart, and some delay.
	defaultDrainDelay = 2600 * time.Millisecond
	// answerMarginDivisor divides the grace time into the part that is left, at its
	// end, to answer the calls that have no answer by then. Targets that are still
	// at work on calls in the last sixth of the grace time are not waited for.
	answerMarginDivisor = 12
	// closeMarginDivisor divides the grace time into the part that is left, at its
	// end, for the process to exit after the remaining connections were closed.
	closeMarginDivisor = 24
	// acceptWait is how long a draining listener waits for a further connection
	// before it takes its queue for empty.
	acceptWait = 20 * time.Millisecond
	// settleInterval is the time in which a process that isn't held up reads the
	// requests that its connections have received. An interval that takes longer
	// than maxSettleInterval shows that the process was held up.
	settleInterval    = 20 * time.Millisecond
	maxSettleInterval = 60 * time.Millisecond
)

// A stop has four steps:
//
//  1. The entry is no longer ready. It accepts requests, and asks callers to close
//     their connections, until the platform has noticed. Requests that can't be
//     answered before step 3 are refused.
//  2. It refuses further requests: first those of connections that wait to be
//     accepted and those that were received but not read, which a process that was
//     held up may have many of. Then it closes its listener and idle connections.
//  3. Shortly before the end of the grace time, calls without an answer end: as not
//     run if they were not sent, and otherwise with an unknown outcome.
//  4. The connections that are left are closed, and the process exits.
//
// A call is never sent to a target on a connection that step 2 closes: the server
// closes only connections without a running handler, and a handler that starts
// later finds closing set.

// drain announces to the platform, callers and peers that the entry is stopping,
// and accepts requests for drainDelay, until the platform has noticed.
func (g *Gateway) drain() {
	grace := g.bounds.Load().Grace
	now := time.Now()
	end := now.Add(grace - grace/answerMarginDivisor)
	g.callsEnd.Store(&end)
	g.killedAt = now.Add(grace)
	time.AfterFunc(end.Sub(now), g.endCalls)
	g.stopping.Store(true)
	g.gossiper.Leave()
	g.log.Info().Int64("InFlight", g.inFlight.Load()).Msg("stopping")
	time.Sleep(g.drainDelay)
}

// callsEndBy returns the earlier of a deadline and the time at which a stopping
// entry ends its calls.
func (g *Gateway) callsEndBy(deadline time.Time) time.Time {
	if end := g.callsEnd.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// drainingServer is the server of callers. It finishes requests in flight before it
// stops.
type drainingServer struct {
	*khttp.Server
	listener *drainingListener
	// pipelining is nil if requests are served in turn.
	pipelining *pipelining
	g          *Gateway
}

// newCallerServer returns the server of callers.
func (g *Gateway) newCallerServer(l *drainingListener) *drainingServer {
	guarded := g.guard.listen(l)
	if !g.tuning.Pipelining {
		srv := newServer(guarded, g)
		srv.ConnContext, srv.ConnState = withConnection, noteState
		return &drainingServer{Server: srv, listener: l, g: g}
	}
	p := newPipelining(g)
	srv := newServer(p.listen(guarded), p)
	p.attach(srv.Server)
	return &drainingServer{srv, l, p, g}
}

// Stop refuses further requests and waits for those in flight until shortly before
// the end of the grace time, then closes their connections.
func (s *drainingServer) Stop(context.Context) error {
	g := s.g
	defer close(g.drained)
	g.closing.Store(true)
	closeAt := g.killedAt.Add(-g.bounds.Load().Grace / closeMarginDivisor)
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	s.listener.drain(ctx)
	settle(ctx)
	if s.pipelining != nil {
		// The server closes a connection behind the answer that it writes next.
		s.pipelining.wait(ctx)
	}
	if err := s.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Int64("InFlight", g.inFlight.Load()).Msg("requests did not finish within the grace time; closing connections")
		return s.Close()
	}
	return nil
}

// settle waits until the process has run without being held up, so that its
// goroutines have read what its connections had received before, or until the context
// ends.
func settle(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		sleep(ctx, settleInterval)
		if time.Since(start) < maxSettleInterval {
			return
		}
	}
}

// drainingListener is a TCP listener that can accept the connections in its queue
// before it closes. Closing it at once would reset them, though their requests may
// have been received.
type drainingListener struct {
	*net.TCPListener
	draining atomic.Bool
	// drained is closed once the queue was found empty and the socket closed, and
	// closed by Close.
	drained, closed chan struct{}
	closeOnce       sync.Once
}

func newDrainingListener(l *net.TCPListener) *drainingListener {
	return &drainingListener{TCPListener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements [net.Listener]. Once drain was called, it returns the
// connections that are left in the queue, then closes the socket and blocks until
// Close.
func (l *drainingListener) Accept() (net.Conn, error) {
	for !l.draining.Load() {
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	// Accept looks at the queue before it waits, unless the deadline has passed.
	if err := l.SetDeadline(time.Now().Add(acceptWait)); err != nil {
		return nil, err
	}
	conn, err := l.TCPListener.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	_ = l.TCPListener.Close() // Close reports errors of the first call only
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements [net.Listener].
func (l *drainingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	select {
	case <-l.drained:
		return nil
	default:
		return l.TCPListener.Close()
	}
}

// drain makes Accept return what is left in the queue, and waits until it has or the
// context ends.
func (l *drainingListener) drain(ctx context.Context) {
	l.draining.Store(true)
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return // the listener is closed
	}
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
	}
}

// auxiliaryServer is a server that answers until the last request of a caller has
// ended.
type auxiliaryServer struct {
	*khttp.Server
	drained <-chan struct{}
}

// Stop closes the server and its connections. It doesn't wait for requests, which a
// client that sends none could make last.
func (s *auxiliaryServer) Stop(context.Context) error {
	<-s.drained
	return s.Close()
}

// refuseWhileClosing refuses a request that arrives after the listener was closed.
// It reports whether it did.
func (g *Gateway) refuseWhileClosing(w http.ResponseWriter, id string) bool {
	if !g.closing.Load() {
		return false
	}
	v := refused{reason: "entry is closing", retryAfter: retryAfter(0)}
	g.log.Warn().Str("Request", id).Str("Reason", v.reason).Dur("RetryAfter", v.retryAfter).Msg("refused")
	writeRefusal(w, v)
	return true
}
