package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"savoryroad.dev/pipeliner"
)

const (
	// maxAhead is the number of requests that an entry serves ahead of their turn, on all
	// connections.
	maxAhead = 512
	// aheadMemory is what each of them takes from the entry's buffers, in bytes, beside the
	// body of its answer.
	aheadMemory = requestBytes
	// maxHeldBytes is the number of bytes that are read from a connection behind the
	// request that is served, and freeHeldBytes the part of it that isn't taken from the
	// entry's buffers.
	maxHeldBytes  = 64 << 10
	freeHeldBytes = 4 << 10
	// readAheadBytes is the size of one read behind the request that is served.
	readAheadBytes = 4 << 10
	// leaveCheckInterval is how often a connection that isn't read, for lack of memory, is
	// checked for whether its caller has left.
	leaveCheckInterval = 200 * time.Millisecond
)

// The framework's server begins a request of a connection after its answer to the one
// before. A pipeline is what lets a connection's lookups start before that:
//
//   - A pipelinedConn, beneath the server, hands over one request at a time. While the
//     server serves it, it also reads the connection, to notice that the caller has left.
//     That read receives the requests behind, which the server doesn't see yet.
//   - Those that may (package pipeliner) start at once, as the server would start them,
//     with a heldAnswer.
//   - When the server comes to such a request, its handler waits for the held answer and
//     lets it write.
//
// A caller that leaves ends all of them. An answer that closes the connection is written
// only when nothing behind it was started.

// pipelining serves the requests of pipelined connections.
type pipelining struct {
	g *Gateway
	// ahead is the number of requests that were started ahead of their turn and have not
	// ended.
	ahead atomic.Int64
	// started counts them, and short how often none could start because maxAhead or the
	// buffers were used up.
	started, short metrics.Counter
}

func newPipelining(g *Gateway) *pipelining {
	return &pipelining{
		g: g, started: g.recorder.Counter("requests_started_ahead_total"), short: g.recorder.Counter("read_ahead_short_total"),
	}
}

// listen returns a listener whose connections are pipelined.
func (p *pipelining) listen(l net.Listener) net.Listener { return &pipeliningListener{l, p} }

// attach makes a server of that listener tell the connections which request it serves.
func (p *pipelining) attach(srv *http.Server) {
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(withConnection(ctx, c), turnKey{}, c)
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		noteState(c, state)
		if c, ok := c.(*pipelinedConn); ok && state == http.StateIdle {
			c.advance()
		}
	}
}

// ServeHTTP serves a request that the server has read.
func (p *pipelining) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(turnKey{}).(*pipelinedConn); ok {
		if a := c.begin(r); a != nil {
			if conn := connectionOf(r); conn != nil {
				conn.headRead()
				conn.passOn()
			}
			if a.deliver(w, r) {
				return
			}
		}
	}
	p.g.ServeHTTP(w, r)
}

// mayStart reports whether a request may start before the ones ahead of it are answered.
func (p *pipelining) mayStart(r *http.Request) bool {
	if !p.g.ready.Load() || p.g.stopping.Load() {
		return false
	}
	route, ok := p.g.snapshot.Load().router.Match(r.Host, r.URL.EscapedPath())
	return ok && route.Class.Idempotent()
}

// acquire takes the room for a request that starts ahead. It returns false if there is
// none, or the entry is stopping.
func (p *pipelining) acquire() bool {
	if p.ahead.Add(1) > maxAhead || p.g.stopping.Load() || !p.g.buffers.Take(aheadMemory) {
		p.ahead.Add(-1)
		return false
	}
	return true
}

func (p *pipelining) release() {
	p.g.buffers.Give(aheadMemory)
	p.ahead.Add(-1)
}

// wait waits until the requests that were started ahead have ended, or the context ends.
func (p *pipelining) wait(ctx context.Context) {
	for p.ahead.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, settleInterval)
	}
}

// turnKey is the key of a request's context under which its turn is.
type turnKey struct{}

// turn is the place of a request on its connection: the pipelinedConn if it is the one that
// the server serves, and the heldAnswer if it was started ahead.
type turn interface {
	// readAt returns when the request was received, or the current time if it hasn't been
	// received completely.
	readAt() time.Time
	// endsConnection reports whether the connection may close behind the answer. From then
	// on nothing behind it starts.
	endsConnection() bool
}

// arrival returns when a request was received.
func arrival(r *http.Request) time.Time {
	if t, ok := r.Context().Value(turnKey{}).(turn); ok {
		return t.readAt()
	}
	return time.Now()
}

// asksToClose reports whether the answer to a request asks the caller to close the
// connection.
func (g *Gateway) asksToClose(r *http.Request) bool {
	if !g.stopping.Load() {
		return false
	}
	t, ok := r.Context().Value(turnKey{}).(turn)
	return !ok || t.endsConnection()
}

// pipeliningListener is a listener of pipelined connections.
type pipeliningListener struct {
	net.Listener
	p *pipelining
}

// Accept implements [net.Listener].
func (l *pipeliningListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pipelinedConn{Conn: conn, p: l.p, unblocked: make(chan struct{})}, nil
}

// pipelinedConn is a connection of a caller. The server reads from it one request at a
// time.
type pipelinedConn struct {
	net.Conn
	p *pipelining

	mu    sync.Mutex
	queue pipeliner.Queue
	// request is the one that the server serves; nil before its handler begins.
	request *http.Request
	// plain is set if nothing in its head keeps others behind it from starting. It is
	// read before the handler begins, which changes the head.
	plain bool
	// current was started ahead for that request; nil if it wasn't.
	current *heldAnswer
	// ahead are the requests behind it that were started, in their order.
	ahead []*heldAnswer
	// closing is set once an answer that closes the connection may be written.
	closing bool
	// reserved is the number of bytes taken from the entry's buffers.
	reserved int
	// gone is the error with which the caller has left.
	gone error
	// discarded is set once bytes were discarded behind a head that is too long.
	discarded bool
	// expired is set while the read deadline has passed, and unblocked closed.
	expired   bool
	unblocked chan struct{}
}

// Read implements [net.Conn]. While the server serves a request, Read returns only errors.
func (c *pipelinedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone != nil {
		return 0, c.gone
	}
	if c.queue.Complete() {
		return 0, c.readAhead(p)
	}
	if c.queue.Held() > 0 {
		n := c.queue.Take(p)
		if c.queue.Held() == 0 {
			c.giveHeld()
		}
		return n, nil
	}
	if c.discarded {
		// The server finds that the head is too long, and closes the connection.
		for i := range p {
			p[i] = 'x'
		}
		return len(p), nil
	}
	n, err := c.read(p)
	if n > 0 {
		n = c.queue.Pass(p, n, time.Now())
	}
	return n, err
}

// read reads from the connection, with c.mu released.
func (c *pipelinedConn) read(p []byte) (int, error) {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Read(p)
}

// aheadBuffers are the buffers of reads behind the requests that are served.
var aheadBuffers = sync.Pool{New: func() any { return new([readAheadBytes]byte) }}

// readAhead receives and starts requests behind the one that the server serves, until the
// caller leaves or the read deadline passes. A connection on which nothing follows takes no
// more memory than the single byte of p.
func (c *pipelinedConn) readAhead(p []byte) error {
	for c.gone == nil {
		if c.queue.Held() == 0 {
			n, err := c.read(p[:1])
			if err := c.received(p[:n], err); err != nil {
				return err
			}
			continue
		}
		hopeless := c.queue.Hopeless()
		if !hopeless && !c.takeHeld() {
			return c.received(nil, c.waitUnblocked())
		}
		buf := aheadBuffers.Get().(*[readAheadBytes]byte)
		n, err := c.read(buf[:])
		if hopeless {
			// The caller's leaving is behind what no request can be made of.
			n, c.discarded = 0, c.discarded || n > 0
		}
		err = c.received(buf[:n], err)
		aheadBuffers.Put(buf)
		if err != nil {
			return err
		}
	}
	return c.gone
}

// received takes what a read behind the served request has returned.
func (c *pipelinedConn) received(data []byte, err error) error {
	if len(data) > 0 {
		c.queue.Add(data, time.Now())
		c.startAhead()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave(err)
	}
	return err
}

// takeHeld takes memory for a further read. It returns false if there is none, or enough
// requests are held.
func (c *pipelinedConn) takeHeld() bool {
	size := c.queue.Held() + readAheadBytes
	if size > maxHeldBytes || c.queue.Full() {
		return false
	}
	added := size - freeHeldBytes - c.reserved
	if added <= 0 {
		return true
	}
	if !c.p.g.buffers.Take(added) {
		return false
	}
	c.reserved += added
	return true
}

// giveHeld gives the memory of what is held back.
func (c *pipelinedConn) giveHeld() {
	c.p.g.buffers.Give(c.reserved)
	c.reserved = 0
}

// waitUnblocked waits, without reading, until the server has answered the request or the
// caller leaves.
func (c *pipelinedConn) waitUnblocked() error {
	unblocked := c.unblocked
	c.mu.Unlock()
	defer c.mu.Lock()
	raw, ok := socketOf(c.Conn)
	check := time.NewTicker(leaveCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-unblocked:
			return os.ErrDeadlineExceeded
		case <-check.C:
			if ok && hasHungUp(raw) {
				return io.EOF
			}
		}
	}
}

// leave ends what was started for a caller that has left.
func (c *pipelinedConn) leave(err error) {
	c.gone = err
	if c.current != nil {
		c.current.cancel()
	}
	for _, a := range c.ahead {
		a.cancel()
	}
}

// SetReadDeadline implements [net.Conn].
func (c *pipelinedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	switch passed := !t.IsZero() && !t.After(time.Now()); {
	case passed && !c.expired:
		c.expired = true
		close(c.unblocked)
	case !passed && c.expired:
		c.expired, c.unblocked = false, make(chan struct{})
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close implements [net.Conn].
func (c *pipelinedConn) Close() error {
	c.mu.Lock()
	c.leave(net.ErrClosed)
	c.giveHeld()
	if !c.expired {
		c.expired = true
		close(c.unblocked)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection beneath.
func (c *pipelinedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the answers, for a server that has not read a whole request.
func (c *pipelinedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// begin notes that the server serves a request. It returns what was started for it, or nil.
func (c *pipelinedConn) begin(r *http.Request) *heldAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.plain = r, pipeliner.Plain(r)
	if c.queue.Started() {
		c.current, c.ahead = c.ahead[0], c.ahead[1:]
	}
	c.startAhead()
	return c.current
}

// advance lets the server read the next request.
func (c *pipelinedConn) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.current = nil, nil
	c.queue.Advance()
}

// startAhead starts the requests behind the one that the server serves, as far as they may.
func (c *pipelinedConn) startAhead() {
	if c.request == nil || c.closing || c.gone != nil {
		return
	}
	for {
		r, readAt, ok := c.queue.Next()
		if !ok || c.current == nil && !(c.plain && c.p.mayStart(c.request)) {
			return
		}
		if !c.p.mayStart(r) {
			c.queue.Bar()
			return
		}
		if !c.p.acquire() {
			c.p.short.Inc(1)
			return
		}
		c.p.started.Inc(1)
		c.queue.Start()
		c.ahead = append(c.ahead, c.start(r, readAt))
	}
}

// readAt implements turn.
func (c *pipelinedConn) readAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.queue.ReadAt(); ok {
		return t
	}
	return time.Now()
}

// endsConnection implements turn.
func (c *pipelinedConn) endsConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || len(c.ahead) == 0
	return c.closing
}
