package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
)

// fleet is a system in one process: a store, targets and entries.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	targets []*standin.Target
	entries []*entry
	version int
	address netip.AddrPort
}

type entry struct {
	*Gateway
	stop  context.CancelFunc
	ended chan struct{}
}

// Ports of the entries. Each fleet has addresses of its own for them.
const (
	callerPort    = 7601
	readinessPort = 7602
	peerPort      = 7603
)

// fleets numbers the fleets of a test run, so that each has addresses of its
// own on the loopback interface.
var fleets atomic.Int64

// newFleet starts entries and targets. Every kind of route leads to all
// targets.
func newFleet(t *testing.T, entries, targets int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore()}
	srv := httptest.NewServer(f.store)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	f.address = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	for i := range targets {
		target := standin.NewTarget(fmt.Sprintf("t%d", i), 6, 2*time.Millisecond)
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target)
		f.store.Register(target, "s", "home", target.Address(), "ready", 1, 0)
	}
	f.configure(nil)
	subnet := fleets.Add(1)
	for i := range entries {
		f.start(netip.MustParseAddr(fmt.Sprintf("127.1.%d.%d", subnet, i+1)))
	}
	for _, e := range f.entries {
		f.await(e.ready.Load)
	}
	return f
}

// start starts an entry at an address.
func (f *fleet) start(ip netip.Addr) *entry {
	f.t.Helper()
	e := &entry{ended: make(chan struct{})}
	e.Gateway = New(platform.Settings{
		Name: "entry", DataCentre: "home",
		Listen:    netip.AddrPortFrom(ip, callerPort),
		Readiness: netip.AddrPortFrom(ip, readinessPort),
		PeerPorts: [2]uint16{peerPort, peerPort},
		Seeds:     []netip.Addr{ip.Prev(), ip.Next()},
		Store:     platform.StoreSettings{Address: f.address, Partitions: 24},
		Bounds: platform.Bounds{
			Grace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
			WarmupExcess: 1.5, WarmupSlack: 5,
		},
	}, WithDrainDelay(0), WithStore(f.clientOf(ip)))
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	go func() {
		defer close(e.ended)
		if err := e.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() {
		e.stop()
		<-e.ended
	})
	f.entries = append(f.entries, e)
	return e
}

// clientOf returns a client whose calls come from an entry's own address.
func (f *fleet) clientOf(ip netip.Addr) *platform.Store {
	return platform.NewStore(f.address, platform.WithSource(ip))
}

// configure puts a new version of the configuration into the store.
func (f *fleet) configure(extra map[string]standin.Route) {
	f.version++
	routes := map[string]standin.Route{}
	for kind, prefix := range map[string]string{"safe": "/safe/", "unsafe": "/unsafe/", "upload": "/upload/"} {
		routes[kind] = standin.Route{Host: "a.example", PathPrefix: prefix, Kind: kind, Timeout: 1000, Objective: 300, Service: "s"}
	}
	maps.Copy(routes, extra)
	f.store.PutConfig(f.version, []string{"s"}, routes)
}

// await waits until a condition holds; the test's own time limit ends it.
func (f *fleet) await(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to an entry.
func (f *fleet) call(e *entry, method, path, id string, body []byte) reply {
	return f.callWith(context.Background(), e, method, path, id, body)
}

func (f *fleet) callWith(ctx context.Context, e *entry, method, path, id string, body []byte) reply {
	r, err := standin.NewRequest(ctx, method, "http://"+e.platform.Listen.String()+path, "a.example", id, 2500*time.Millisecond, body)
	if err != nil {
		f.t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		f.t.Logf("%s: %v", path, err)
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// behave sets the behaviour of all targets.
func (f *fleet) behave(b standin.Behaviour) {
	for _, t := range f.targets {
		t.SetBehaviour(func(*http.Request) standin.Behaviour { return b })
	}
}

// runs is how often a request ran, at all targets together.
func (f *fleet) runs(id string) int {
	n := 0
	for _, t := range f.targets {
		n += t.Runs()[id]
	}
	return n
}

// The framework must know a server's address from its settings: a machine may
// refuse to list its network interfaces.
func TestServerKnowsItsAddress(t *testing.T) {
	g := New(platform.Settings{})
	srv, err := g.newServer(netip.MustParseAddrPort("127.1.250.1:0"), http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	at, err := srv.Endpoint()
	if err != nil || at.Hostname() != "127.1.250.1" {
		t.Errorf("endpoint %v, %v", at, err)
	}
	if err := srv.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestAnswersArePassedOnUnchanged(t *testing.T) {
	f := newFleet(t, 1, 2)
	for _, c := range []struct {
		method, path string
		body         []byte
	}{
		{http.MethodGet, "/safe/a%20b/?x=1&y=%2F", nil},
		{http.MethodPost, "/unsafe/", []byte("body")},
		{http.MethodDelete, "/unsafe/1", nil},
		{http.MethodPost, "/upload/", bytes.Repeat([]byte("b"), 300_000)},
		{http.MethodPost, "/upload/long", bytes.Repeat([]byte("b"), 3<<20)},
	} {
		id := "id" + c.path
		got := f.call(f.entries[0], c.method, c.path, id, c.body)
		if got.err != nil || got.status != http.StatusOK {
			t.Errorf("%s: %+v", c.path, got)
			continue
		}
		seal := standin.Seal(got.header)
		target, _, _ := strings.Cut(seal, ".")
		if want := fmt.Sprintf("%s %s %s %d", target, id, c.path, len(c.body)); got.body != want || !strings.HasSuffix(seal, "."+id) {
			t.Errorf("%s: got %q sealed %q, want %q", c.path, got.body, seal, want)
		}
		if f.runs(id) != 1 {
			t.Errorf("%s ran %d times", c.path, f.runs(id))
		}
	}
}

func TestWhatIsRefusedSaysSo(t *testing.T) {
	f := newFleet(t, 1, 2)
	if got := f.call(f.entries[0], http.MethodGet, "/nowhere/", "1", nil); got.status != http.StatusNotFound {
		t.Errorf("no route: %+v", got)
	}
	if got := f.call(f.entries[0], http.MethodPost, "/upload/", "2", make([]byte, 9<<20)); got.status != http.StatusRequestEntityTooLarge && got.err == nil {
		t.Errorf("a body beyond the limit: %+v", got)
	}
	f.behave(standin.Shed)
	for _, path := range []string{"/safe/", "/unsafe/", "/upload/"} {
		got := f.call(f.entries[0], http.MethodPost, path, path, []byte("b"))
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v", path, got)
		}
		if f.runs(path) != 0 {
			t.Errorf("%s was refused and has run", path)
		}
	}
}

// Whatever becomes of it, a request that isn't idempotent runs once at most,
// and one that may have run is never answered with a promise that it hasn't.
func TestNothingRunsTwice(t *testing.T) {
	f := newFleet(t, 1, 3)
	for name, b := range map[string]standin.Behaviour{
		"drop": standin.Drop, "truncate": standin.Truncate, "fail": standin.Fail, "unsealed": standin.Unsealed, "hang": standin.Hang,
	} {
		f.behave(b)
		for _, path := range []string{"/unsafe/", "/upload/"} {
			id := name + path
			got := f.call(f.entries[0], http.MethodPost, path, id, []byte("b"))
			if f.runs(id) != 1 {
				t.Errorf("%s ran %d times", id, f.runs(id))
			}
			if got.status < 500 || platform.PromisesNotRun(got.status) {
				t.Errorf("%s: %+v", id, got)
			}
			if sealed := standin.Seal(got.header) != ""; sealed != (b == standin.Fail) {
				t.Errorf("%s: sealed is %v: %+v", id, sealed, got)
			}
		}
	}
}

func TestLookupsAreRepeated(t *testing.T) {
	f := newFleet(t, 1, 3)
	for name, b := range map[string]standin.Behaviour{
		"drop": standin.Drop, "truncate": standin.Truncate, "fail": standin.Fail, "unsealed": standin.Unsealed, "hang": standin.Hang,
	} {
		var mu sync.Mutex
		seen := map[string]bool{}
		for _, target := range f.targets {
			target.SetBehaviour(func(r *http.Request) standin.Behaviour {
				mu.Lock()
				defer mu.Unlock()
				id := standin.ID(r)
				if !seen[id] {
					seen[id] = true
					return b
				}
				return standin.Serve
			})
		}
		if got := f.call(f.entries[0], http.MethodGet, "/safe/", name, nil); got.status != http.StatusOK {
			t.Errorf("%s: %+v", name, got)
		}
		if n := f.runs(name); n > 2 {
			t.Errorf("%s ran %d times, beyond its route's attempts", name, n)
		}
	}
}

// A lookup whose first target breaks off and whose second one is full may have
// run, so it is not refused.
func TestLookupThatMayHaveRunIsNotRefused(t *testing.T) {
	f := newFleet(t, 1, 3)
	var sends atomic.Int64
	for _, target := range f.targets {
		target.SetBehaviour(func(*http.Request) standin.Behaviour {
			if sends.Add(1) == 1 {
				return standin.Drop
			}
			return standin.Shed
		})
	}
	if got := f.call(f.entries[0], http.MethodGet, "/safe/", "1", nil); got.status != http.StatusBadGateway {
		t.Errorf("%+v", got)
	}
}

func TestTimeoutEndsARequest(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.behave(standin.Hang)
	if got := f.call(f.entries[0], http.MethodPost, "/unsafe/", "1", nil); got.status != http.StatusGatewayTimeout {
		t.Errorf("%+v", got)
	}
	for _, target := range f.targets {
		if d := target.Deadline("1"); len(d) > 3 {
			t.Errorf("the target was given %s ms of a route with 1000 ms", d)
		}
	}
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	f := newFleet(t, 1, 1)
	gone := make(chan struct{})
	f.targets[0].SetBehaviour(func(r *http.Request) standin.Behaviour {
		context.AfterFunc(r.Context(), func() { close(gone) })
		return standin.Hang
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.callWith(ctx, f.entries[0], http.MethodGet, "/safe/", "1", nil)
	}()
	f.await(func() bool { return f.runs("1") == 1 })
	cancel()
	<-gone
	<-done
}

func TestPromiseOfATargetIsNotPassedOn(t *testing.T) {
	f := newFleet(t, 1, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		standin.SealAnswer(w.Header(), r, "s")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	f.store.Put(platform.TargetTopic, "t0", nil)
	other := f.targets[0].Entry("s", "home", "ready", 1)
	other["address"] = strings.TrimPrefix(srv.URL, "http://")
	f.store.PutJSON(platform.TargetTopic, "x", other)
	f.await(func() bool {
		got := f.call(f.entries[0], http.MethodPost, "/unsafe/", "1", nil)
		return got.status == http.StatusBadGateway && standin.Seal(got.header) == ""
	})
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.store.Register(f.targets[0], "s", "home", f.targets[0].Address(), "draining", 2, 0)
	for _, e := range f.entries {
		f.await(func() bool { return e.snapshot.Load().services["s"].placer.Targets() == 1 })
	}
	for i := range 20 {
		id := fmt.Sprint("after", i)
		if got := f.call(f.entries[i%2], http.MethodGet, "/safe/", id, nil); got.status != http.StatusOK || f.targets[0].Runs()[id] != 0 {
			t.Errorf("%+v, %d runs at the leaving target", got, f.targets[0].Runs()[id])
		}
	}
}

// An entry that the store turns away learns of changes from the others.
func TestPeersStandInForTheStore(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.await(func() bool {
		for _, e := range f.entries {
			if len(e.courier.Peers()) != len(f.entries)-1 {
				return false
			}
		}
		return true
	})
	f.store.SetFault(func(c standin.Call) standin.Fault {
		if c.Caller != f.entries[0].platform.Listen.Addr().String() {
			return standin.Busy
		}
		return standin.NoFault
	})
	f.configure(map[string]standin.Route{"new": {
		Host: "a.example", PathPrefix: "/new/", Kind: "safe", Timeout: 1000, Objective: 300, Service: "s",
	}})
	for _, e := range f.entries {
		f.await(func() bool { return f.call(e, http.MethodGet, "/new/", "n", nil).status == http.StatusOK })
	}
}

// A stopping entry finishes what it has taken and tells callers to go.
func TestStopCutsNothingOff(t *testing.T) {
	f := newFleet(t, 1, 1)
	begun, release := make(chan struct{}), make(chan struct{})
	f.targets[0].SetBehaviour(func(*http.Request) standin.Behaviour {
		close(begun)
		<-release
		return standin.Serve
	})
	got := make(chan reply)
	go func() { got <- f.call(f.entries[0], http.MethodPost, "/unsafe/", "1", nil) }()
	<-begun
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	f.entries[0].stop()
	if r := <-got; r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
	<-f.entries[0].ended
}

// An entry that starts while the store turns it away serves what its peers
// tell it.
func TestEntryStartsWithoutTheStore(t *testing.T) {
	f := newFleet(t, 2, 1)
	next := f.entries[1].platform.Listen.Addr().Next()
	f.store.SetFault(func(c standin.Call) standin.Fault {
		if c.Caller == next.String() {
			return standin.Busy
		}
		return standin.NoFault
	})
	late := f.start(next)
	f.await(late.ready.Load)
	if got := f.call(late, http.MethodGet, "/safe/", "1", nil); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
}
