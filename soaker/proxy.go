package soaker

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault is what a proxy does to its connections.
type linkFault int

// The faults of links.
const (
	// NoLinkFault passes everything on.
	NoLinkFault linkFault = iota
	// Delay holds each piece up for up to maxDelay.
	Delay
	// Reset ends all connections, and new ones as soon as they are opened.
	Reset
	// OneWay passes on what clients send and holds the answers back.
	OneWay
	// Silence passes nothing on, and doesn't close anything.
	Silence
)

const (
	// maxDelay is above the usual time of an answer of the store and below
	// the time-outs of entries.
	maxDelay = 300 * time.Millisecond
	// proxyBuffer is the size of the pieces that are passed on, in bytes.
	proxyBuffer = 16 << 10
	// heldPoll is how often a piece that is held back is looked at.
	heldPoll = 10 * time.Millisecond
)

// proxy passes connections on over loopback, and harms them on demand.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault linkFault
	// conns holds both ends of each connection.
	conns  map[net.Conn]bool
	closed bool
}

// newProxy starts a proxy to an address.
func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listener: l, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address is where clients connect.
func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set replaces the fault in force.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Reset {
		p.reset()
	}
}

// reset ends all connections; the caller holds the lock.
func (p *proxy) reset() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed anyway
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// close ends the proxy.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.reset()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil || !p.add(client, server) {
			_ = client.Close()
			if server != nil {
				_ = server.Close()
			}
			continue
		}
		go p.pass(client, server, false)
		go p.pass(server, client, true)
	}
}

// add remembers a connection; it refuses one while connections are reset.
func (p *proxy) add(client, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		return false
	}
	p.conns[client], p.conns[server] = true, true
	return true
}

// pass copies one direction of a connection.
func (p *proxy) pass(from, to net.Conn, answers bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
		delete(p.conns, to)
	}()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.hold(from, answers) {
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

// hold waits as the fault in force says. It tells whether the connection is
// still there.
func (p *proxy) hold(from net.Conn, answers bool) bool {
	for first := true; ; first = false {
		p.mu.Lock()
		f, there := p.fault, p.conns[from]
		p.mu.Unlock()
		switch {
		case !there:
			return false
		case f == Silence, f == OneWay && answers:
			time.Sleep(heldPoll)
		case f == Delay && first:
			time.Sleep(time.Duration(rand.Int64N(int64(maxDelay))))
		default:
			return true
		}
	}
}
