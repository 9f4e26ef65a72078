package courier

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/tracker"
)

// port returns a port that is free on the loopback addresses used here.
func port(t *testing.T) uint16 {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String()).Port()
}

// TestNewsReachesEntriesThatKnowOneSeed starts entries that know only the
// first of them.
func TestNewsReachesEntriesThatKnowOneSeed(t *testing.T) {
	const n = 12
	p := port(t)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	heard := make(chan int, 10*n)
	var all []*Courier
	for i := range n {
		c, err := Listen(netip.AddrPortFrom(netip.MustParseAddr("127.0.1."+strconv.Itoa(i+1)), p))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		running.Go(func() {
			if err := c.Run(ctx, func(m Message) {
				if m.News != nil {
					heard <- i
				}
			}); err != nil {
				t.Error(err)
			}
		})
	}
	defer running.Wait()
	defer cancel()
	for _, c := range all[1:] {
		waitFor(t, func() bool {
			c.Greet([]netip.Addr{all[0].self})
			return len(c.Peers()) > 0
		})
	}
	for _, c := range all {
		waitFor(t, func() bool { return len(c.Peers()) == n-1 })
	}
	all[n-1].Spread(Message{News: &tracker.News{Topic: tracker.Targets, From: 1, Next: 2}})
	got := map[int]bool{}
	for len(got) < n-1 {
		got[<-heard] = true
	}
	all[0].Leave()
	waitFor(t, func() bool { return len(all[1].Peers()) == n-2 })
}

// waitFor waits until a condition holds; the test's own time limit ends it.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// The largest news fits into a datagram, with the addresses that it is passed
// on to.
func TestLargestNewsFits(t *testing.T) {
	news := tracker.News{Topic: tracker.Targets, From: 1 << 40, Next: 1 << 40, Age: time.Second}
	for range 10 {
		news.Changes = append(news.Changes, tracker.Change{Offset: 1 << 40, Registration: placer.Registration{
			Name: "i-68952ab81d", Service: "vohu5dxx", Address: netip.MustParseAddrPort("10.128.200.100:18080"),
			DataCentre: "launceston", Slots: 6, State: loader.Draining, WarmupLeft: time.Minute, Sequence: 1 << 30, Born: 1 << 41,
		}})
	}
	m := Message{Version: version, News: &news}
	for range maxRelayed - 1 {
		m.Relay = append(m.Relay, netip.MustParseAddr("10.128.200.100"))
	}
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
