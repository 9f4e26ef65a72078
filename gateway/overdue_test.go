package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"savoryroad.dev/gossiper"
	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
	"savoryroad.dev/router"
	"savoryroad.dev/runner"
)

// slowLink connects clients and servers in memory. Servers send at bytesPerSecond, all
// connections together.
type slowLink struct {
	bytesPerSecond int
	conns          chan net.Conn
	closed         chan struct{}
	// busy holds a value while a connection sends.
	busy chan struct{}
}

// slowConn is the server's side of a connection over a slowLink.
type slowConn struct {
	net.Conn
	link *slowLink
}

// Write implements [net.Conn].
func (c slowConn) Write(p []byte) (int, error) {
	const segment = 16 << 10
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+segment)]
		c.link.busy <- struct{}{}
		time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(c.link.bytesPerSecond))
		<-c.link.busy
		n, err := c.Conn.Write(part)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

// dial opens a connection to the listener.
func (l *slowLink) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- slowConn{server, l}:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements [net.Listener].
func (l *slowLink) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *slowLink) Close() error { close(l.closed); return nil }

// Addr implements [net.Listener].
func (l *slowLink) Addr() net.Addr { return &net.TCPAddr{} }

// An entry that was cut off while operators made changes must have those in force that
// were acknowledged before the last 2 s, from 3 s after the end of the cut, also with
// long configurations and a slow link.
func TestConfigurationIsOverdueAfterACut(t *testing.T) {
	const (
		linkBytesPerSecond = 10_000_000 / 8
		configBytes        = 240 << 10
		contact            = 3 * time.Second
		configApply        = 2 * time.Second
	)
	for _, c := range []struct{ interval, cut time.Duration }{
		{time.Second, 9 * time.Second}, {400 * time.Millisecond, 5 * time.Second}, {time.Second, 60 * time.Second}, {100 * time.Millisecond, 20 * time.Second},
	} {
		t.Run(fmt.Sprint("every ", c.interval, " for ", c.cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var tasks sync.WaitGroup
				// The handlers of the store end once the connections are closed.
				defer time.Sleep(time.Minute)
				defer tasks.Wait()
				defer cancel()
				var cut atomic.Bool
				store := standin.NewStore()
				store.SetFault(func(standin.Call) standin.Fault {
					if cut.Load() {
						return standin.Silent
					}
					return standin.NoFault
				})
				link := &slowLink{bytesPerSecond: linkBytesPerSecond, conns: make(chan net.Conn), closed: make(chan struct{}), busy: make(chan struct{}, 1)}
				srv := &http.Server{Handler: store, ErrorLog: runner.DiscardLogger()}
				tasks.Go(func() { _ = srv.Serve(link) })
				defer srv.Close()
				client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"), platform.WithDial(link.dial))
				defer client.CloseIdle()

				g := New(platform.Settings{}, WithStore(client))
				var err error
				if g.gossiper, err = gossiper.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
					t.Fatal(err)
				}
				tasks.Go(func() { g.controlLoop(ctx) })

				version, padding := 0, strings.Repeat("x", configBytes)
				put := func() {
					version++
					store.PutJSON(platform.OperatorTopic, "config", map[string]any{"version": version, "padding": padding})
				}
				put()
				time.Sleep(5 * time.Second)
				cut.Store(true)
				for range int(c.cut / c.interval) {
					put()
					time.Sleep(c.interval)
				}
				cut.Store(false)
				// due[i] is the version that was acknowledged i intervals after the cut.
				var due []int
				for range int((contact + 4*time.Second) / c.interval) {
					put()
					due = append(due, version)
					time.Sleep(c.interval)
					age := time.Duration(len(due)) * c.interval
					if age < contact {
						continue
					}
					if want := due[int((age-configApply)/c.interval)]; int(g.snapshot.Load().version()) < want {
						t.Fatalf("%v after the cut: version %d is in force, want %d or later; the newest is %d", age, g.snapshot.Load().version(), want, version)
					}
				}
			})
		})
	}
}

// A configuration that is written after the store has come back from an older copy must
// be in force in time, at whichever offset it stands.
func TestConfigurationIsOverdueAfterARestore(t *testing.T) {
	const configApply = 2 * time.Second
	for lost := range 4 {
		for rewritten := range lost + 2 {
			t.Run(fmt.Sprintf("%d lost, %d written again", lost, rewritten), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var tasks sync.WaitGroup
					// The handlers of the store end once the connections are closed.
					defer time.Sleep(time.Minute)
					defer tasks.Wait()
					defer cancel()
					store := standin.NewStore()
					link := &slowLink{bytesPerSecond: 1 << 30, conns: make(chan net.Conn), closed: make(chan struct{}), busy: make(chan struct{}, 1)}
					srv := &http.Server{Handler: store, ErrorLog: runner.DiscardLogger()}
					tasks.Go(func() { _ = srv.Serve(link) })
					defer srv.Close()
					client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"), platform.WithDial(link.dial))
					defer client.CloseIdle()

					g := New(platform.Settings{}, WithStore(client))
					var err error
					if g.gossiper, err = gossiper.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
						t.Fatal(err)
					}
					tasks.Go(func() { g.controlLoop(ctx) })

					version := 0
					put := func() {
						store.PutJSON(platform.OperatorTopic, "config", map[string]any{"version": version})
					}
					next := func() {
						version++
						put()
					}
					next()
					copied := store.Copy()
					for range lost {
						next()
					}
					time.Sleep(5 * time.Second)
					for range 2 {
						store.Restore(copied)
						for range rewritten {
							put()
						}
						next()
						time.Sleep(configApply)
						if got := int(g.snapshot.Load().version()); got != version {
							t.Fatalf("version %d is in force, want %d", got, version)
						}
					}
				})
			})
		}
	}
}

// version returns the version of the snapshot's configuration, or 0.
func (s *snapshot) version() router.Version {
	if s.router == nil {
		return 0
	}
	return s.router.Config().Version
}
