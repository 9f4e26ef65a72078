// Package courier carries news between entries, in datagrams.
//
// News may be lost, repeated or late; whoever needs to be sure reads the store.
// A Courier knows the addresses of its peers: it greets some, and whoever is
// greeted answers with the peers that it knows.
//
//	c, err := courier.Listen(address)
//	c.Greet(seeds)
//	err = c.Run(ctx, func(from netip.Addr, m courier.Message) { ... })
//	c.Spread(courier.Message{News: &news})
package courier

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryroad.dev/tracker"
)

const (
	// version is that of the frames. Frames of another version are passed
	// over.
	version = 1
	// maxDatagram is the largest message, in bytes: what fits into a packet
	// of any network, less the headers.
	maxDatagram = 1400
	// maxPeers bounds the peers that are remembered and told of.
	maxPeers = 4096
	// peersPerDatagram is how many addresses fit into one message.
	peersPerDatagram = 200
	// direct is up to how many peers are told without a tree, so that no
	// dead entry on the way cuts others off.
	direct = 32
	// maxRelayed is how many addresses a message carries beside its contents.
	maxRelayed = 60
)

// Message is what entries tell each other.
type Message struct {
	// Hello asks for the peers that the receiver knows, and makes the sender
	// one of them.
	Hello bool `cbor:"1,keyasint,omitempty"`
	// Bye says that the sender is leaving.
	Bye bool `cbor:"2,keyasint,omitempty"`
	// Peers are addresses of entries.
	Peers []netip.Addr `cbor:"4,keyasint,omitempty"`
	// News is what was read from the store.
	News *tracker.News `cbor:"5,keyasint,omitempty"`
	// Ask asks the receiver for what it knows.
	Ask *tracker.Ask `cbor:"7,keyasint,omitempty"`
}

// Courier sends and receives messages. It is safe for use by several
// goroutines.
type Courier struct {
	conn *net.UDPConn
	// self is the entry's own address, and port that of all entries.
	self netip.Addr
	port uint16

	unsent atomic.Int64

	mu    sync.Mutex
	peers map[netip.Addr]bool
}

// Listen opens the entry's address for news.
func Listen(address netip.AddrPort) (*Courier, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for news")
	}
	return &Courier{conn: conn, self: address.Addr(), port: address.Port(), peers: map[netip.Addr]bool{}}, nil
}

// Run hands every message to a function, until the context ends. From is who
// sent it last; of news that was passed on, that is not the entry it is from. Greetings and
// peers are dealt with before.
func (c *Courier) Run(ctx context.Context, handle func(from netip.Addr, m Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram+1)
	assembler := newAssembler()
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "news")
			}
			// Some systems report here that an earlier datagram found nobody.
			continue
		}
		var f frame
		if cbor.Unmarshal(buf[:n], &f) != nil || f.Version != version {
			continue
		}
		if len(f.Relay) > 0 {
			c.relay(f.Relay, f)
		}
		if m, ok := assembler.add(f, time.Now()); ok {
			if m.Hello || m.Bye || len(m.Peers) > 0 {
				c.meet(from.Addr().Unmap(), m)
			}
			handle(from.Addr().Unmap(), m)
		}
	}
}

// meet learns who is there from a message, and answers a greeting.
func (c *Courier) meet(from netip.Addr, m Message) {
	if m.Bye {
		c.mu.Lock()
		delete(c.peers, from)
		c.mu.Unlock()
		return
	}
	known := c.Peers()
	c.add(from)
	if m.Hello {
		for peers := range slices.Chunk(known, peersPerDatagram) {
			c.send(from, Message{Peers: peers})
		}
	}
	if fresh := c.add(m.Peers...); len(fresh) > 0 {
		c.Greet(fresh)
	}
}

// add remembers peers and returns those that are new.
func (c *Courier) add(peers ...netip.Addr) []netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []netip.Addr
	for _, p := range peers {
		if p.IsValid() && p != c.self && !c.peers[p] && len(c.peers) < maxPeers {
			c.peers[p] = true
			fresh = append(fresh, p)
		}
	}
	return fresh
}

// Greet asks entries who else is there. It does nothing for those that don't
// answer.
func (c *Courier) Greet(entries []netip.Addr) {
	for _, e := range entries {
		if e != c.self {
			c.send(e, Message{Hello: true})
		}
	}
}

// Peers returns the peers that are known, in no order.
func (c *Courier) Peers() []netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := make([]netip.Addr, 0, len(c.peers))
	for p := range c.peers {
		peers = append(peers, p)
	}
	return peers
}

// Count returns how many peers are known.
func (c *Courier) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// Spread sends a message to all peers, along a tree that is drawn anew for
// each frame: every receiver passes it on to its part of the others. So no
// entry sends more than a few copies, and the loss of an entry does not cut
// the same ones off twice. (Dynamic Random Broadcast Trees for Improved
// Load-balancing.)
func (c *Courier) Spread(m Message) {
	all, err := split(rand.Uint64(), m)
	if err != nil || len(all) > maxFrames {
		c.unsent.Add(1)
		return
	}
	peers := c.Peers()
	for _, f := range all {
		c.relay(peers, f)
	}
}

// relay sends a frame along a random tree of peers, whose order it changes.
func (c *Courier) relay(peers []netip.Addr, f frame) {
	if len(peers) == 0 {
		return
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	size := 1
	if n := len(peers); n > direct {
		// Two levels: links are small, and each level may hold a dead entry.
		size = min(maxRelayed, int(math.Sqrt(float64(n))))
	}
	for branch := range slices.Chunk(peers, size) {
		f.Relay = branch[1:]
		c.sendFrame(branch[0], f)
	}
}

// Tell sends a message to one entry.
func (c *Courier) Tell(to netip.Addr, m Message) { c.send(to, m) }

// TellAny sends a message to some peer, if there is one.
func (c *Courier) TellAny(m Message) {
	if peers := c.Peers(); len(peers) > 0 {
		c.send(peers[rand.IntN(len(peers))], m)
	}
}

// Leave tells all peers that the entry is leaving.
func (c *Courier) Leave() {
	for _, p := range c.Peers() {
		c.send(p, Message{Bye: true})
	}
}

// send sends a message to one entry.
func (c *Courier) send(to netip.Addr, m Message) {
	all, err := split(rand.Uint64(), m)
	if err != nil {
		c.unsent.Add(1)
		return
	}
	for _, f := range all {
		c.sendFrame(to, f)
	}
}

// sendFrame sends a frame as far as the network takes it.
func (c *Courier) sendFrame(to netip.Addr, f frame) {
	data, err := cbor.Marshal(f)
	if err != nil || len(data) > maxDatagram {
		c.unsent.Add(1)
		return
	}
	if _, err = c.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, c.port)); err != nil {
		// A datagram that can't be sent is as good as one that is lost.
		c.unsent.Add(1)
	}
}

// Unsent returns how many messages could not be sent.
func (c *Courier) Unsent() int64 { return c.unsent.Load() }
