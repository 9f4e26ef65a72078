// Package carrier carries requests to targets over kept connections.
//
// A general HTTP client hides on which connection a request went, repeats some
// requests by itself, and can't tell an answer that belongs to an earlier
// request. Here the caller leases a connection, may check it with a health
// request, and sends one request on it:
//
//	conn, err := pool.Lease(ctx)
//	answer, err := conn.Send(ctx, request)
//
// A connection on which anything unexpected was read is closed, never kept.
package carrier

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// connectTimeout bounds the opening of a connection: a few times the way
	// between data centres, and less than the time in which a lost opening
	// packet is sent again.
	connectTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose target doesn't say
	// when it closes idle ones.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than its target a connection is closed.
	idleMargin = 1 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections
	// that have gone silent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
)

// ErrBusy says that a target has as many connections as it may have.
var ErrBusy = errors.New("all connections to the target are in use")

// Pool holds the connections to one target. It is safe for use by several
// goroutines.
type Pool struct {
	address netip.AddrPort
	dialer  net.Dialer

	mu sync.Mutex
	// idle holds the connections that are not leased, the latest used last.
	idle []*Conn
	// open counts all connections, leased ones too.
	open   int
	limit  int
	closed bool
}

// NewPool returns a pool for the target at an address, with at most limit
// connections.
func NewPool(address netip.AddrPort, limit int) *Pool {
	return &Pool{
		address: address,
		limit:   limit,
		dialer: net.Dialer{
			Timeout: connectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// SetLimit sets the number of connections that the pool may have.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Open returns the number of connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Conn is a connection to a target. Whoever leases it is its only user until
// it is given back by Release or Close.
type Conn struct {
	pool *Pool
	conn net.Conn
	r    *bufio.Reader
	// expires is when an idle connection is no longer used.
	expires time.Time
	// idleFor is how long the target keeps an idle connection.
	idleFor time.Duration
	// reused is set once an exchange has been completed on it.
	reused bool
	// spoiled is set when it must not carry another request.
	spoiled bool
}

// Lease returns a kept connection, or opens one.
func (p *Pool) Lease(ctx context.Context) (*Conn, error) {
	if c, err := p.take(time.Now()); c != nil || err != nil {
		return c, err
	}
	return p.connect(ctx)
}

// LeaseNew opens a connection.
func (p *Pool) LeaseNew(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.open++
	p.mu.Unlock()
	return p.connect(ctx)
}

// take returns an idle connection, or nil after it has made room for another.
func (p *Pool) take(now time.Time) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
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

// connect opens a connection for which there is room.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errors.Wrap(err, "connect")
	}
	return &Conn{pool: p, conn: conn, r: bufio.NewReaderSize(conn, readBuffer), idleFor: defaultIdle}, nil
}

// expire closes the connections that were idle for too long; the caller holds
// the lock.
func (p *Pool) expire(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.closed || !now.Before(c.expires) {
			_ = c.conn.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Expire closes the connections that were idle for too long.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
}

// Close closes the idle connections now, and leased ones when they are given
// back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.expire(time.Time{})
}

// Release gives a connection back after a completed exchange.
func (c *Conn) Release() {
	now := time.Now()
	c.expires = now.Add(c.idleFor - idleMargin)
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

// Close closes a connection in place of giving it back.
func (c *Conn) Close() {
	_ = c.conn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.open--
}

// Reused tells whether the connection has carried an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// Spoiled tells whether the connection must not carry another request.
func (c *Conn) Spoiled() bool { return c.spoiled || c.r.Buffered() > 0 }
