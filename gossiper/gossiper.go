// Package gossiper exchanges state between entries by gossip, in UDP datagrams
// without answers; package messenger sends requests that have answers.
//
// Delivery is best effort: messages may be lost, duplicated or delayed. An entry
// that has to be certain reads the store. A Gossiper keeps a list of its peers. It
// discovers them by sending a Hello to seed entries, which reply with the peers
// on their own lists.
//
//	g, err := gossiper.Listen(address)
//	g.Greet(seeds)
//	err = g.Run(ctx, func(from netip.Addr, m gossiper.Message) { ... })
//	g.Spread(gossiper.Message{News: &news})
package gossiper

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryroad.dev/admitter"
	"savoryroad.dev/allotter"
	"savoryroad.dev/custodian"
	"savoryroad.dev/isolator"
	"savoryroad.dev/placer"
	"savoryroad.dev/promoter"
	"savoryroad.dev/tracker"
)

const (
	// frameVersion is the version of the frame format. Frames of other versions
	// are ignored.
	frameVersion = 1
	// maxDatagramBytes is the maximum payload of a datagram, in bytes. With its
	// headers it fits into one packet on any network.
	maxDatagramBytes = 1400
	// maxPeers limits the length of the peer list.
	maxPeers = 4096
	// maxPeersPerMessage limits the addresses in a reply to a Hello to about what
	// fits into a datagram. A longer list takes several messages.
	maxPeersPerMessage = 200
	// maxDirectPeers is the number of peers up to which a frame is sent without
	// relays, so that a failed entry doesn't cut off others.
	maxDirectPeers = 32
	// maxRelayPeers is the maximum length of a frame's relay list.
	maxRelayPeers = 60
)

// Message is a message between entries. A message may set several fields, but
// Hello and Peers have no effect beside Bye.
type Message struct {
	// Hello requests the receiver's peer list and adds the sender to it.
	Hello bool `cbor:"1,keyasint,omitempty"`
	// Bye removes the sender from the receiver's peer list.
	Bye bool `cbor:"2,keyasint,omitempty"`
	// Peers are addresses from the sender's peer list.
	Peers []netip.Addr `cbor:"4,keyasint,omitempty"`
	// News is an update of a topic of the store.
	News *tracker.News `cbor:"5,keyasint,omitempty"`
	// Ask requests the receiver's state of a topic of the store.
	Ask *tracker.Ask `cbor:"7,keyasint,omitempty"`
	// Limits are the limits that targets have named or no longer name.
	Limits []placer.LimitNews `cbor:"8,keyasint,omitempty"`
	// Leaving are targets that have said that they are about to leave.
	Leaving []placer.Leaving `cbor:"10,keyasint,omitempty"`
	// Rollouts are what an entry tells of roll-outs.
	Rollouts []promoter.Report `cbor:"11,keyasint,omitempty"`
	// Crashes are cases of requests that crash the targets that run them.
	Crashes *isolator.News `cbor:"9,keyasint,omitempty"`
	// Allotment divides the fleet's limits among the entries.
	Allotment *Allotment `cbor:"12,keyasint,omitempty"`
	// Pressure is the load of services whose targets have too little room.
	Pressure *admitter.PressureNews `cbor:"13,keyasint,omitempty"`
}

// Allotment is a message about the division of the fleet's limits.
type Allotment struct {
	// Claim tells what is assigned to the sender, and Release passes rights on to the
	// receiver.
	Claim   *custodian.Claim   `cbor:"0,keyasint,omitempty"`
	Release *custodian.Release `cbor:"1,keyasint,omitempty"`
	// Who asks which entries the partitions are assigned to, which Claims answers.
	Who    bool              `cbor:"2,keyasint,omitempty"`
	Claims []custodian.Claim `cbor:"3,keyasint,omitempty"`
	// Ask asks the receiver for tokens of a quota, which Loan answers.
	Ask  *allotter.Ask  `cbor:"4,keyasint,omitempty"`
	Loan *allotter.Loan `cbor:"5,keyasint,omitempty"`
	// Disclaimer tells the receiver that the sender holds no right that it asks for.
	Disclaimer *custodian.Disclaimer `cbor:"6,keyasint,omitempty"`
}

// Gossiper sends and receives messages and keeps the peer list. It is safe for
// concurrent use.
type Gossiper struct {
	conn *net.UDPConn
	// self is the address of this entry, port the port of every entry.
	self netip.Addr
	port uint16

	// unsent counts the messages and frames that could not be sent.
	unsent atomic.Int64

	mu sync.Mutex
	// peers is the peer list, a set.
	peers map[netip.Addr]bool
}

// Listen opens the UDP socket of the entry's address. Run receives from it and
// closes it.
func Listen(address netip.AddrPort) (*Gossiper, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peer messages")
	}
	return &Gossiper{conn: conn, self: address.Addr(), port: address.Port(), peers: map[netip.Addr]bool{}}, nil
}

// Run receives messages until the context ends. It forwards frames that have a
// relay list, updates the peer list, and calls handle for each message. The
// address from is the sender of the last frame received, which for a relayed
// message is the relay and not the origin.
func (g *Gossiper) Run(ctx context.Context, handle func(from netip.Addr, m Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes+1)
	assembler := newAssembler()
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "receive peer messages")
			}
			// Some systems report here that the receiver of an earlier datagram
			// was unreachable.
			continue
		}
		var f frame
		if cbor.Unmarshal(buf[:n], &f) != nil || f.Version != frameVersion {
			continue
		}
		if len(f.Relay) > 0 {
			g.relay(f.Relay, f)
		}
		if m, ok := assembler.add(f, time.Now()); ok {
			if m.Hello || m.Bye || len(m.Peers) > 0 {
				g.updatePeers(from.Addr().Unmap(), m)
			}
			handle(from.Addr().Unmap(), m)
		}
	}
}

// updatePeers updates the peer list from a message. It replies to a Hello with the
// other peers, and sends a Hello to each new peer that the message lists.
func (g *Gossiper) updatePeers(from netip.Addr, m Message) {
	if m.Bye {
		g.mu.Lock()
		delete(g.peers, from)
		g.mu.Unlock()
		return
	}
	list := g.Peers()
	g.addPeers(from)
	if m.Hello {
		for peers := range slices.Chunk(list, maxPeersPerMessage) {
			g.send(from, Message{Peers: peers})
		}
	}
	if added := g.addPeers(m.Peers...); len(added) > 0 {
		g.Greet(added)
	}
}

// addPeers adds peers to the peer list, up to maxPeers, and returns those that are
// new on it.
func (g *Gossiper) addPeers(peers ...netip.Addr) []netip.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var added []netip.Addr
	for _, p := range peers {
		if p.IsValid() && p != g.self && !g.peers[p] && len(g.peers) < maxPeers {
			g.peers[p] = true
			added = append(added, p)
		}
	}
	return added
}

// Greet sends a Hello to entries, which requests their peer lists. It doesn't wait
// for replies: Run processes them.
func (g *Gossiper) Greet(entries []netip.Addr) {
	for _, e := range entries {
		if e != g.self {
			g.send(e, Message{Hello: true})
		}
	}
}

// Peers returns the peer list, in no particular order.
func (g *Gossiper) Peers() []netip.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := make([]netip.Addr, 0, len(g.peers))
	for p := range g.peers {
		peers = append(peers, p)
	}
	return peers
}

// Count returns the length of the peer list.
func (g *Gossiper) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers)
}

// Spread broadcasts a message to all peers. Each frame takes a new random tree, in
// which a receiver forwards the frame to its subtree. This keeps the number of
// copies that an entry sends small, and a failed entry doesn't cut off the same
// peers twice. See "Dynamic Random Broadcast Trees for Improved Load-balancing".
func (g *Gossiper) Spread(m Message) {
	frames, err := split(rand.Uint64(), m)
	if err != nil || len(frames) > maxFrames {
		g.unsent.Add(1)
		return
	}
	peers := g.Peers()
	for _, f := range frames {
		g.relay(peers, f)
	}
}

// relay sends a frame along a random tree of peers. It shuffles the slice peers.
func (g *Gossiper) relay(peers []netip.Addr, f frame) {
	if len(peers) == 0 {
		return
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	branchSize := 1
	if n := len(peers); n > maxDirectPeers {
		// Two levels: direct copies to all peers would overload small links, and
		// each level adds relays that may have failed.
		branchSize = min(maxRelayPeers, int(math.Sqrt(float64(n))))
	}
	for branch := range slices.Chunk(peers, branchSize) {
		f.Relay = branch[1:]
		g.sendFrame(branch[0], f)
	}
}

// Tell sends a message to an entry, which need not be on the peer list.
func (g *Gossiper) Tell(to netip.Addr, m Message) { g.send(to, m) }

// TellAny sends a message to a random peer. Without peers it does nothing.
func (g *Gossiper) TellAny(m Message) {
	if peers := g.Peers(); len(peers) > 0 {
		g.send(peers[rand.IntN(len(peers))], m)
	}
}

// TellHomes sends a message to the n entries that a key determines, without this one if it
// is among them. Entries that know the same peers choose the same ones; a change of the
// peer list changes at most one of them (rendezvous hashing).
func (g *Gossiper) TellHomes(key uint64, n int, m Message) {
	all := append(g.Peers(), g.self)
	slices.SortFunc(all, func(a, b netip.Addr) int { return cmp.Compare(homeRank(key, a), homeRank(key, b)) })
	for _, home := range all[:min(n, len(all))] {
		if home != g.self {
			g.send(home, m)
		}
	}
}

// homeRank returns the rank of an entry among the homes of a key; the lowest come first.
func homeRank(key uint64, entry netip.Addr) uint64 {
	address := entry.As16()
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(address[:], key))
}

// Leave sends a Bye to all peers, so that they remove the entry from their lists.
func (g *Gossiper) Leave() {
	for _, p := range g.Peers() {
		g.send(p, Message{Bye: true})
	}
}

// send splits a message and sends its frames to an entry.
func (g *Gossiper) send(to netip.Addr, m Message) {
	frames, err := split(rand.Uint64(), m)
	if err != nil {
		g.unsent.Add(1)
		return
	}
	for _, f := range frames {
		g.sendFrame(to, f)
	}
}

// sendFrame sends a frame to an entry.
func (g *Gossiper) sendFrame(to netip.Addr, f frame) {
	data, err := cbor.Marshal(f)
	if err != nil || len(data) > maxDatagramBytes {
		g.unsent.Add(1)
		return
	}
	if _, err = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, g.port)); err != nil {
		// Delivery is best effort: a failed send equals a lost datagram.
		g.unsent.Add(1)
	}
}

// Unsent returns the number of messages and frames that could not be sent.
func (g *Gossiper) Unsent() int64 { return g.unsent.Load() }
