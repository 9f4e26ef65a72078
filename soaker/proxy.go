package soaker

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault is the fault that a proxy applies to its connections.
type linkFault int

// The faults of a link. They affect both directions unless stated otherwise.
const (
	// noLinkFault forwards all data.
	noLinkFault linkFault = iota
	// linkDelay delays each chunk by a random time of up to maxLinkDelay.
	linkDelay
	// linkReset closes all connections, and new ones as soon as they are
	// accepted.
	linkReset
	// linkOneWay forwards what clients send and holds back the responses.
	linkOneWay
	// linkBlackhole forwards nothing and leaves the connections open.
	linkBlackhole
)

const (
	// maxLinkDelay exceeds the usual response time of the store and is below
	// the timeouts of entries.
	maxLinkDelay = 300 * time.Millisecond
	// proxyBufferBytes is the maximum size of a forwarded chunk.
	proxyBufferBytes = 16 << 10
	// holdPollInterval is the time between two checks whether a held chunk may
	// be forwarded.
	holdPollInterval = 10 * time.Millisecond
)

// proxy is a TCP proxy on the loopback interface that injects link faults.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault linkFault
	// conns holds the client and the upstream side of each connection.
	conns  map[net.Conn]bool
	closed bool
}

// newProxy starts a proxy that forwards to the address upstream.
func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: listen")
	}
	p := &proxy{listener: l, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address returns the address that clients connect to.
func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// setFault replaces the current fault.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == linkReset {
		p.resetConns()
	}
}

// resetConns closes all connections with a TCP reset. The caller holds p.mu.
func (p *proxy) resetConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // on an error, Close still closes the connection
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetConns()
}

// accept forwards the connections of clients until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil || !p.track(client, server) {
			_ = client.Close()
			if server != nil {
				_ = server.Close()
			}
			continue
		}
		go p.forward(client, server, false)
		go p.forward(server, client, true)
	}
}

// track registers both sides of a connection. It reports false if the
// connection must be closed, because the proxy is closed or injects linkReset.
func (p *proxy) track(client, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == linkReset {
		return false
	}
	p.conns[client], p.conns[server] = true, true
	return true
}

// forward copies one direction of a connection until it is closed, and then
// closes both sides. responses is true for the direction to the client.
func (p *proxy) forward(from, to net.Conn, responses bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
		delete(p.conns, to)
	}()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.applyFault(from, responses) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyFault holds a chunk back for as long as the current fault requires. It
// reports whether the connection is still open.
func (p *proxy) applyFault(from net.Conn, responses bool) bool {
	for first := true; ; first = false {
		p.mu.Lock()
		f, open := p.fault, p.conns[from]
		p.mu.Unlock()
		switch {
		case !open:
			return false
		case f == linkBlackhole, f == linkOneWay && responses:
			time.Sleep(holdPollInterval)
		case f == linkDelay && first:
			time.Sleep(time.Duration(rand.Int64N(int64(maxLinkDelay))))
		default:
			return true
		}
	}
}
