package courier

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
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
			if err := c.Run(ctx, func(_ netip.Addr, m Message) {
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

// A frame fits into a datagram with as many addresses as it ever carries.
func TestFramesFit(t *testing.T) {
	f := frame{Version: frameVersion, ID: 1 << 63, Index: maxFrames - 1, Count: maxFrames, Data: make([]byte, maxFrameData), Compressed: true}
	for range maxRelayPeers {
		f.Relay = append(f.Relay, netip.MustParseAddr("10.128.200.100"))
	}
	data, err := cbor.Marshal(f)
	if err != nil || len(data) > maxDatagramBytes {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}

// A configuration of the size that operators write in one go fits into few
// datagrams, and so does the patch that brings it.
func TestLongConfigurationTakesFewFrames(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	cfg := router.Config{Version: 3, Routes: map[loader.RouteName]router.Route{}}
	for range 460 {
		name := loader.RouteName(fmt.Sprintf("r-%07x", random.IntN(1<<28)))
		cfg.Routes[name] = router.Route{
			Name: name, Host: fmt.Sprintf("host%d.example", random.IntN(10)), PathPrefix: fmt.Sprintf("/%05x/%04x/", random.IntN(1<<20), random.IntN(1<<16)),
			Class: loader.AtMostOnce, Parts: []router.Part{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2,
		}
	}
	patch := cfg.Patch(router.Config{Version: 1})
	for name, change := range map[string]tracker.Change{"whole": {Config: &cfg}, "patch": {Patch: &patch}} {
		all, err := split(1, Message{News: &tracker.News{Changes: []tracker.Change{change}}})
		if err != nil {
			t.Fatal(err)
		}
		if most := 40; len(all) > most {
			t.Errorf("%s: %d frames, want %d at most", name, len(all), most)
		}
		t.Logf("%s: %d frames", name, len(all))
	}
}

// A message is whole when all its frames have arrived, in any order and some
// of them twice, and only once.
func TestPropertyAssembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{News: &tracker.News{From: 1}}
		for i := range rapid.IntRange(0, 200).Draw(t, "changes") {
			m.News.Changes = append(m.News.Changes, tracker.Change{Offset: tracker.Offset(i), Register: &placer.Registration{Name: "target", Service: "service"}})
		}
		all, err := split(7, m)
		if err != nil {
			t.Fatal(err)
		}
		arriving := append(append([]frame(nil), all...), all[0])
		arriving = rapid.Permutation(arriving).Draw(t, "order")
		a, whole := newAssembler(), 0
		for _, f := range arriving {
			got, ok := a.add(f, time.Unix(1, 0))
			if !ok {
				continue
			}
			whole++
			want, err1 := cbor.Marshal(m)
			have, err2 := cbor.Marshal(got)
			if err1 != nil || err2 != nil || !bytes.Equal(want, have) {
				t.Fatalf("got %+v", got)
			}
		}
		if want := 1; whole != want && len(all) > 1 {
			t.Fatalf("%d messages of %d frames", whole, len(all))
		}
	})
}

func FuzzFrame(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var one frame
		if cbor.Unmarshal(data, &one) == nil {
			// Must not panic, whatever arrives.
			newAssembler().add(one, time.Unix(1, 0))
		}
	})
}
