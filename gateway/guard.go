package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"savoryroad.dev/bouncer"
	"savoryroad.dev/recorder"
	"savoryroad.dev/transporter"
)

const (
	// evictInterval is how often the entry looks whether connections have to be closed.
	evictInterval = 500 * time.Millisecond
	// bodyShortage and bodyRelief are the parts of the memory for bodies, as divisors: when
	// less than the one is free, connections are closed until the other is.
	bodyShortage, bodyRelief = 8, 4
	// writePiece is the number of bytes that are written to a caller at a time, so that one
	// that reads slowly is seen to read.
	writePiece = 16 << 10
	// streamHeldBytes is what a caller that reads an answer as it comes counts for: it keeps
	// a target's connection, and what the target and the network hold of the answer.
	streamHeldBytes = 1 << 20
)

// errNoRoom is returned to the server for a request for whose head there is no memory.
var errNoRoom = errors.New("no memory for the request")

// guard admits connections of callers and requests on them, and closes connections to have
// room for others.
type guard struct {
	*bouncer.Bouncer
	// buffers and bodies are the memory for bodies, and its size in bytes.
	buffers *transporter.Buffers
	bodies  int64
	// connections holds the admitted connections by their IDs.
	connections sync.Map
	recorder    *recorder.Recorder
	// refusedRequests counts the connections that were closed because there was no memory
	// for the head of a request, and evicted those that had to make room.
	refusedRequests, evicted metrics.Counter
}

func newGuard(plan memoryPlan, buffers *transporter.Buffers, r *recorder.Recorder) *guard {
	return &guard{
		Bouncer: bouncer.New(plan.callers), buffers: buffers, bodies: plan.bodies, recorder: r,
		refusedRequests: r.Counter("connections_closed_total", recorder.Label{Name: "reason", Value: "no memory for a request"}),
		evicted:         r.Counter("connections_closed_total", recorder.Label{Name: "reason", Value: "room for others"}),
	}
}

// run closes connections when there is too little room, until the context ends.
func (d *guard) run(ctx context.Context) {
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.evict(now)
		}
	}
}

// evict closes the connections that have to leave.
func (d *guard) evict(now time.Time) {
	var short bouncer.Shortage
	if d.buffers != nil && d.buffers.Free() < d.bodies/bodyShortage {
		short.BodyBytes = d.bodies/bodyRelief - d.buffers.Free()
	}
	for _, id := range d.Evict(now, short) {
		if c, ok := d.connections.Load(id); ok {
			d.evicted.Inc(1)
			_ = c.(*guardedConn).Conn.Close() // the server notices, and closes it as well
		}
	}
}

// listen returns a listener that admits connections.
func (d *guard) listen(l net.Listener) net.Listener { return &guardedListener{l, d} }

// boundUnread bounds what the connections of a listener receive before it is read, and how
// many of them wait to be accepted, unless backlog is 0.
func boundUnread(l *net.TCPListener, backlog int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "bound unread bytes")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		if backlog > 0 {
			failed = errors.CombineErrors(failed, unix.Listen(int(fd), backlog))
		}
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "bound unread bytes")
}

// guardedListener closes the connections for which there is no room. Nothing was read from
// them, which tells their callers that no request of theirs has run.
type guardedListener struct {
	net.Listener
	guard *guard
}

// Accept implements [net.Listener].
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		switch v := l.guard.Enter(time.Now()).(type) {
		case bouncer.Admitted:
			c := &guardedConn{Conn: conn, guard: l.guard, guest: v.Guest}
			c.inHead.Store(true)
			l.guard.connections.Store(v.Guest.ID, c)
			return c, nil
		case bouncer.Refused:
			l.guard.recorder.Counter("connections_refused_total", recorder.Label{Name: "reason", Value: v.Lacking.String()}).Inc(1)
			_ = conn.Close() // nothing was read from it
		}
	}
}

// guardedConn is an admitted connection. It takes memory for the heads of requests.
type guardedConn struct {
	net.Conn
	guard *guard
	guest *bouncer.Guest
	// inHead is set while the server waits for the head of a request or reads it, of which
	// headBytes were read.
	inHead    atomic.Bool
	headBytes atomic.Int64
	closed    sync.Once
}

// Read implements [net.Conn].
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	taken := int64(n + headLineBytes*bytes.Count(p[:n], []byte{'\n'}))
	if c.headBytes.Add(int64(n)) == int64(n) {
		taken += requestBytes
	}
	if !c.guard.Take(c.guest, taken) {
		c.guard.refusedRequests.Inc(1)
		// The server answers to other errors, and callers don't come again after that.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom}
	}
	now := time.Now()
	c.guard.Moved(c.guest, n, now)
	c.guard.Await(c.guest, now)
	return n, err
}

// Write implements [net.Conn].
func (c *guardedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePiece, len(p))]
		c.guard.Await(c.guest, time.Now())
		n, err := c.Conn.Write(piece)
		c.guard.Moved(c.guest, n, time.Now())
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// NetConn returns the connection beneath.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the server end an answer to a caller that still sends.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *guardedConn) Close() error {
	c.closed.Do(func() {
		c.guard.connections.Delete(c.guest.ID)
		c.guard.Leave(c.guest)
	})
	return c.Conn.Close()
}

// begin notes that the server has read the head of a request. It returns false if there is
// no memory for the request.
func (c *guardedConn) begin() bool {
	c.headRead()
	// Requests that were sent one behind the other are read with one head.
	return c.headBytes.Load() > 0 || c.guard.Take(c.guest, requestBytes)
}

// headRead notes that the server has read the head of a request, which may have its memory
// from elsewhere.
func (c *guardedConn) headRead() {
	if c.inHead.Swap(false) {
		c.guard.Moved(c.guest, 0, time.Now())
	}
}

// idle notes that the server waits for the next request.
func (c *guardedConn) idle() {
	c.headBytes.Store(0)
	c.inHead.Store(true)
	c.guard.Idle(c.guest, time.Now())
}

// connectionKey is the key of the context of a request under which its guardedConn is.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	if c := guarded(conn); c != nil {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}

// guarded returns the guardedConn that a connection is or wraps, or nil.
func guarded(conn net.Conn) *guardedConn {
	for {
		switch c := conn.(type) {
		case *guardedConn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// noteState tells a connection's guard of its state.
func noteState(conn net.Conn, s http.ConnState) {
	if s != http.StateIdle {
		return
	}
	if c := guarded(conn); c != nil {
		c.idle()
	}
}

// connectionOf returns the connection of a request, or nil if it isn't guarded.
func connectionOf(r *http.Request) *guardedConn {
	c, _ := r.Context().Value(connectionKey{}).(*guardedConn)
	return c
}

// hold notes that the caller keeps n bytes of memory for bodies. A negative number gives
// them back.
func (c *guardedConn) hold(n int) {
	if c != nil && n != 0 {
		c.guard.Hold(c.guest, int64(n), int64(n))
	}
}

// passOn notes that the caller's request is passed on.
func (c *guardedConn) passOn() {
	if c != nil {
		c.guard.PassOn(c.guest)
	}
}

// holdStream notes that the caller keeps n bytes from others without taking up memory for
// bodies. A negative number gives them back.
func (c *guardedConn) holdStream(n int) {
	if c != nil {
		c.guard.Hold(c.guest, int64(n), 0)
	}
}

// awaitedBody returns the body of a request. The request keeps its own, by which the server
// recognises one that wasn't read to its end.
func awaitedBody(r *http.Request) io.ReadCloser {
	if c := connectionOf(r); c != nil {
		return awaitedReader{r.Body, c}
	}
	return r.Body
}

// awaitedReader tells the guard of the time for which the entry waits for a body.
type awaitedReader struct {
	io.ReadCloser
	conn *guardedConn
}

// Read implements [io.Reader].
func (r awaitedReader) Read(p []byte) (int, error) {
	r.conn.guard.Await(r.conn.guest, time.Now())
	n, err := r.ReadCloser.Read(p)
	r.conn.guard.Moved(r.conn.guest, n, time.Now())
	return n, err
}
