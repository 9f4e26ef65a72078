// Package transporter sends HTTP/1.1 requests to targets over pooled connections.
//
// A general HTTP client hides which connection a request used, retries some
// requests by itself, and can't recognise a response to an earlier request. Here
// the caller leases a connection, may verify it with a health check, and sends
// one request on it:
//
//	conn, err := pool.Lease(ctx)
//	resp, err := conn.Send(ctx, request)
//
// A connection on which anything unexpected was read is closed, never reused.
package transporter

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/validator"
)

const (
	// connectTimeout limits dialing. It is a few times the latency between data
	// centres, and shorter than the time after which TCP resends a lost SYN.
	connectTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is assumed for a target that sends no idle timeout in a
	// Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the target's idle timeout the pool closes an
	// idle connection.
	idleMargin = 1 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP
	// keep-alive probes, which detect dead connections.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// ErrBusy is returned when a pool is at its connection limit or closed.
var ErrBusy = errors.New("all connections to the target are in use")

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	dialer  net.Dialer
	// buffers bounds the memory of response bodies; nil means no bound.
	buffers *Buffers

	mu sync.Mutex
	// idle holds the unleased connections, the most recently used last.
	idle []*Conn
	// open counts all connections: idle, leased and being dialed.
	open   int
	limit  int
	closed bool
}

// NewPool returns a pool of at most limit connections to the target at an
// address. Pools may share their buffers, which bound the memory of response
// bodies; nil means no bound.
func NewPool(address netip.AddrPort, limit int, buffers *Buffers) *Pool {
	return &Pool{
		address: address,
		limit:   limit,
		buffers: buffers,
		dialer: net.Dialer{
			Timeout: connectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// SetLimit sets the maximum number of connections. Connections above a lowered
// limit stay open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// OpenConnections returns the number of connections: idle, leased and being
// dialed.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Conn is a connection to a target. A lease is exclusive and ends with Release
// or Close.
type Conn struct {
	pool *Pool
	conn *validator.Conn
	r    *bufio.Reader
	// source is what r reads from.
	source *headReader
	// expires is when the connection, if idle, must no longer be used.
	expires time.Time
	// idleTimeout is the target's idle timeout.
	idleTimeout time.Duration
	// used is set once an exchange has completed on the connection.
	used bool
	// mustClose is set when the connection must not carry another request.
	mustClose bool
}

// Lease returns an idle connection, or dials one if there is none.
func (p *Pool) Lease(ctx context.Context) (*Conn, error) {
	if c, err := p.takeIdle(time.Now()); c != nil || err != nil {
		return c, err
	}
	return p.dial(ctx)
}

// LeaseNew dials a connection, even if others are idle.
func (p *Pool) LeaseNew(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.open++
	p.mu.Unlock()
	return p.dial(ctx)
}

// takeIdle returns the most recently used idle connection. If there is none, it
// reserves a place in the pool for a new connection and returns nil.
func (p *Pool) takeIdle(now time.Time) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLocked(now)
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.closed || p.open >= p.limit {
		return nil, ErrBusy
	}
	p.open++
	return nil, nil
}

// dial opens the connection for a reserved place in the pool, and gives the
// place up on failure.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(p, conn), nil
}

// newConn returns the connection of a pool over a network connection.
func newConn(p *Pool, conn net.Conn) *Conn {
	checked := validator.NewConn(conn)
	source := &headReader{source: checked}
	return &Conn{pool: p, conn: checked, r: bufio.NewReaderSize(source, readBufferSize), source: source, idleTimeout: defaultIdleTimeout}
}

// expireLocked closes the idle connections that have expired, or all of them if
// the pool is closed; the caller holds p.mu.
func (p *Pool) expireLocked(now time.Time) {
	live := p.idle[:0]
	for _, c := range p.idle {
		if p.closed || !now.Before(c.expires) {
			_ = c.conn.Close()
			p.open--
			continue
		}
		live = append(live, c)
	}
	clear(p.idle[len(live):])
	p.idle = live
}

// Expire closes the idle connections that have expired.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLocked(now)
}

// Close closes idle connections at once and leased ones on release. Further
// leases fail with ErrBusy.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.expireLocked(time.Time{})
}

// Release ends the lease after a completed exchange. The connection becomes
// idle, or is closed if it must not be reused.
func (c *Conn) Release() {
	now := time.Now()
	c.expires = now.Add(c.idleTimeout - idleMargin)
	if c.Spoiled() || !now.Before(c.expires) {
		c.Close()
		return
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.conn.Close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

// Close ends the lease and closes the connection.
func (c *Conn) Close() {
	_ = c.conn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.open--
}

// Reused reports whether the connection has completed an exchange before.
func (c *Conn) Reused() bool { return c.used }

// Spoiled reports whether the connection must not carry another request; bytes
// that were received beyond a response are one of the reasons.
func (c *Conn) Spoiled() bool { return c.mustClose || c.r.Buffered() > 0 }
