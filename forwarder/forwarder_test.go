package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/deduplicator"
	"savoryroad.dev/forwarder"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
	"savoryroad.dev/recorder"
)

// routes are the routes of the service under test.
const routes = `
    Routes:
      Look: {PathPrefix: /look, Class: Lookup, MaxWait: 50ms}
      Patient: {PathPrefix: /patient, Class: Lookup, MaxWait: 10s}
      Buy: {PathPrefix: /buy, Class: AtMostOnce, MaxWait: 50ms}
      Put: {PathPrefix: /put, Class: Upload, MaxWait: 50ms}
      Short: {PathPrefix: /short, Class: Lookup, Deadline: 50ms, MaxWait: 10ms}
      Posts: {PathPrefix: /posts, Class: Lookup, Methods: [POST, PUT]}
`

// fixture is a Forwarder in front of backend servers.
type fixture struct {
	*forwarder.Forwarder
	url string
}

// newFixture forwards to the addresses with the settings given.
func newFixture(t *testing.T, settings string, addresses ...string) fixture {
	t.Helper()
	f := forwarder.New(recorder.New(), forwarder.WithSeed(1), forwarder.WithStall(200*time.Millisecond))
	f.SetClaimer(grantingClaimer{})
	install(t, f, 1, settings, addresses...)
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return fixture{Forwarder: f, url: s.URL}
}

func install(t *testing.T, f *forwarder.Forwarder, rev publisher.Revision, settings string, addresses ...string) {
	t.Helper()
	var b strings.Builder
	b.WriteString("Entries: 1\nMaxBodyMiB: 1\nDataCentres: {Here: {}, Away: {State: Out}}\nServices:\n  S:" + routes)
	if settings != "" {
		b.WriteString("    " + settings + "\n")
	}
	if len(addresses) == 0 {
		b.WriteString("    Targets: {}\n")
	} else {
		b.WriteString("    Targets:\n")
	}
	for n, a := range addresses {
		where := "Here"
		if strings.HasPrefix(a, "out:") {
			a, where = strings.TrimPrefix(a, "out:"), "Away"
		}
		fmt.Fprintf(&b, "      t%d: {Address: \"%s\", DataCentre: %s}\n", n, a, where)
	}
	cfg, findings := loader.Render(loader.MustParse("base", b.String()), loader.Document{})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	f.Install(rev, cfg)
}

// grantingClaimer grants every claim.
type grantingClaimer struct{}

func (grantingClaimer) Claim(context.Context, deduplicator.Claim) deduplicator.Verdict {
	return deduplicator.Granted{}
}

func (grantingClaimer) Settle(string, deduplicator.Attempt, deduplicator.Result) {}

// serve starts a backend server and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// serveRaw starts a server that treats each connection as the function does.
// It returns its address and counts the connections.
func serveRaw(t *testing.T, handle func(net.Conn)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.Add(1)
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l.Addr().String(), &n
}

// unusedAddress returns an address at which nobody listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// readRequest reads one whole request and closes nothing.
func readRequest(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// do makes a call and returns the answer with its body read.
func do(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, r)
	if err != nil {
		t.Fatal(err)
	}
	if strings.HasSuffix(url, "/buy") {
		req.Header.Set(forwarder.KeyHeader, uuid.Must(uuid.NewV7()).String())
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// Each way in which a call can end must produce the right status and outcome.
func TestOutcomes(t *testing.T) {
	good := serve(t, ok)
	dead := unusedAddress(t)
	shed := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	failing := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	closing, _ := serveRaw(t, readRequest)
	silent := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	garbage, _ := serveRaw(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "what?\r\n\r\n")
	})
	const shedding = "NotRunStatuses: [503]"
	tests := []struct {
		name, settings, method, path string
		addresses                    []string
		status                       int
		outcome                      forwarder.Outcome
	}{
		{"answer", "", "GET", "/look", []string{good}, 200, forwarder.Answered},
		{"connection refused", "", "GET", "/look", []string{dead}, 502, forwarder.NotRun},
		{"connection refused, at most once", "", "POST", "/buy", []string{dead}, 502, forwarder.NotRun},
		{"shed", shedding, "POST", "/buy", []string{shed}, 503, forwarder.NotRun},
		{"503 that says nothing of the run", "", "POST", "/buy", []string{shed}, 503, forwarder.Failed},
		{"server error", "", "GET", "/look", []string{failing}, 500, forwarder.Failed},
		{"closed after the request", "", "POST", "/buy", []string{closing}, 502, forwarder.OutcomeUnknown},
		{"garbage for an answer", "", "POST", "/buy", []string{garbage}, 502, forwarder.OutcomeUnknown},
		{"deadline", "", "GET", "/short", []string{silent}, 504, forwarder.OutcomeUnknown},
		{"nothing in service", "", "GET", "/look", []string{"out:" + good}, 503, forwarder.NotRun},
		{"no target at all", "", "GET", "/look", nil, 503, forwarder.NotRun},
		{"no route", "", "GET", "/lookout", []string{good}, 404, forwarder.NotRun},
		{"wrong method", "", "GET", "/posts", []string{good}, 405, forwarder.NotRun},
		{"dot segments", "", "GET", "/look/%2e%2e/buy", []string{good}, 400, forwarder.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.settings, test.addresses...)
			resp, body, err := do(t, test.method, f.url+test.path, "")
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.Header.Get(forwarder.OutcomeHeader); resp.StatusCode != test.status || got != test.outcome.String() {
				t.Errorf("got %d %s, want %d %s: %s", resp.StatusCode, got, test.status, test.outcome, body)
			}
			if resp.Header.Get(forwarder.RequestIDHeader) == "" {
				t.Error("no request id")
			}
		})
	}
}

// A call that did not run must be retried at another target; a call that may
// have run must be retried only if its class allows it.
func TestRetries(t *testing.T) {
	good := serve(t, ok)
	dead := unusedAddress(t)
	closing, _ := serveRaw(t, readRequest)
	shed := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	tests := []struct {
		name, method, path, body, bad string
		outcomes                      string
	}{
		{"lookup, refused connection", "GET", "/look", "", dead, "Answered"},
		{"lookup, closed connection", "GET", "/look", "", closing, "Answered"},
		{"lookup, shed", "GET", "/look", "", shed, "Answered"},
		{"purchase, refused connection", "POST", "/buy", "{}", dead, "Answered"},
		{"purchase, shed", "POST", "/buy", "{}", shed, "Answered"},
		{"purchase, closed connection", "POST", "/buy", "{}", closing, "Answered Unknown"},
		{"upload, refused connection", "PUT", "/put", strings.Repeat("x", 100_000), dead, "Answered"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "NotRunStatuses: [503]", test.bad, good)
			for range 10 {
				resp, _, err := do(t, test.method, f.url+test.path, test.body)
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.Header.Get(forwarder.OutcomeHeader); !strings.Contains(test.outcomes, got) {
					t.Errorf("outcome %s, want one of %s", got, test.outcomes)
				}
			}
		})
	}
}

// A purchase without a body must be sent only once. By default http.Transport
// would retry it because it has an Idempotency-Key.
func TestTransportDoesNotRetryIdempotencyKey(t *testing.T) {
	address, sends := serveRaw(t, readRequest)
	f := newFixture(t, "Retry: {Attempts: 5, BudgetPercent: 100}", address)
	for _, method := range []string{"POST", "GET"} {
		before := sends.Load()
		resp, _, err := do(t, method, f.url+"/buy", "")
		if err != nil {
			t.Fatal(err)
		}
		if n := sends.Load() - before; n != 1 || resp.Header.Get(forwarder.OutcomeHeader) != "Unknown" {
			t.Errorf("%s: sent %d times, outcome %s; want once and Unknown", method, n, resp.Header.Get(forwarder.OutcomeHeader))
		}
	}
}

// A truncated response must abort the caller's connection with either framing.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		address, _ := serveRaw(t, func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing)
		})
		f := newFixture(t, "", address)
		_, body, err := do(t, "GET", f.url+"/look", "")
		if err == nil {
			t.Errorf("framing %q: caller took %q for whole", framing, body)
		}
	}
}

// An upload that the caller breaks off must end in a read error at the backend
// server.
func TestTruncatedUploadIsIncompleteAtBackend(t *testing.T) {
	got := make(chan error, 1)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		got <- err
	})
	f := newFixture(t, "", address)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "PUT /put HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
	c.Close()
	if err := <-got; err == nil {
		t.Error("backend server took the upload for whole")
	}
}

// A stalled upload must time out, and its read deadline must not outlast the
// call on the connection.
func TestStalledUploadTimesOut(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ok(w, r)
	})
	f := newFixture(t, "", address)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	_, _ = io.WriteString(c, "PUT /put HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	time.Sleep(300 * time.Millisecond) // Longer than the stall timeout.
	_, _ = io.WriteString(c, "PUT /put HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
	resp, err = http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("idle connection was cut off: %v", err)
	}
	if got := resp.Header.Get(forwarder.OutcomeHeader); got != "NotRun" {
		t.Errorf("outcome of a stalled upload is %s, want NotRun", got)
	}
}

func TestDeadlineAndCancellationReachTheBackend(t *testing.T) {
	ended := make(chan struct{}, 2)
	var timeout atomic.Value
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		timeout.Store(r.Header.Get(forwarder.TimeoutHeader))
		<-r.Context().Done()
		ended <- struct{}{}
	})
	f := newFixture(t, "Retry: {Attempts: 1}", address)
	if _, _, err := do(t, "GET", f.url+"/look", "", forwarder.TimeoutHeader, "30"); err != nil {
		t.Fatal(err)
	}
	<-ended
	if ms := timeout.Load().(string); len(ms) > 2 || ms == "" {
		t.Errorf("backend server was told %q ms, want at most 30", ms)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/look", nil)
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Error("call outlived its caller")
	}
	<-ended
}

func TestHeaders(t *testing.T) {
	var seen http.Header
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Connection", "X-Own")
		w.Header().Set("X-Own", "hop")
		w.Header().Set("X-End", "kept")
		w.Header().Set("Trailer", "X-Sum")
		ok(w, r)
		w.Header().Set("X-Sum", "9")
	})
	f := newFixture(t, "", address)
	resp, body, err := do(t, "GET", f.url+"/look?a=%2F&b", "",
		"Connection", "X-Hop, close", "X-Hop", "1", "Keep-Alive", "3", "Te", "trailers, deflate", "Proxy-Authorization", "secret",
		"X-Forwarded-For", "9.9.9.9", "Traceparent", "00-abc-def-01", forwarder.RequestIDHeader, "id-7", "Accept-Encoding", "identity")
	if err != nil || body != "whole" {
		t.Fatal(body, err)
	}
	for name, want := range map[string]string{
		"X-Hop": "", "Keep-Alive": "", "Proxy-Authorization": "", "Te": "trailers", "User-Agent": "Go-http-client/1.1",
		"X-Forwarded-For": "9.9.9.9, 127.0.0.1", "Forwarded": "for=127.0.0.1;proto=http", "Via": "1.1 savoryroad",
		"Traceparent": "00-abc-def-01", forwarder.RequestIDHeader: "id-7", "Accept-Encoding": "identity",
	} {
		if got := seen.Get(name); got != want {
			t.Errorf("backend server saw %s: %q, want %q", name, got, want)
		}
	}
	for name, want := range map[string]string{"X-Own": "", "X-End": "kept", forwarder.RequestIDHeader: "id-7"} {
		if got := resp.Header.Get(name); got != want {
			t.Errorf("caller saw %s: %q, want %q", name, got, want)
		}
	}
	if got := resp.Trailer.Get("X-Sum"); got != "9" {
		t.Errorf("trailer = %q, want 9", got)
	}
	if got := resp.Header.Get(forwarder.TimingHeader); !strings.HasPrefix(got, "wait;dur=") {
		t.Errorf("%s: %q", forwarder.TimingHeader, got)
	}
}

func TestSizeLimits(t *testing.T) {
	f := newFixture(t, "", serve(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			ok(w, r)
		}
	}))
	resp, _, err := do(t, "PUT", f.url+"/put", strings.Repeat("x", 1<<20+1))
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: %v %v", resp, err)
	}
	resp, _, err = do(t, "GET", f.url+"/look", "", "X-Big", strings.Repeat("x", 70_000))
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large headers: %v %v", resp, err)
	}
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, f.url+"/put", io.MultiReader(bytes.NewReader(make([]byte, 1<<20)), strings.NewReader("x")))
	got, err := http.DefaultClient.Do(req)
	if err == nil {
		defer got.Body.Close()
		if got.Header.Get(forwarder.OutcomeHeader) == "Answered" {
			t.Error("body of unknown length above the limit was answered")
		}
	}
}

// Calls must be queued in order, and refused as not run when the queue is full
// or MaxWait has passed.
func TestQueueLimits(t *testing.T) {
	started := make(chan struct{}, 8)
	leave := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-leave
		ok(w, r)
	})
	f := newFixture(t, "Queue: 1\n    Defaults: {Slots: 1}", address)
	var wg sync.WaitGroup
	outcomes := make([]string, 3)
	call := func(n int) {
		resp, _, err := do(t, "GET", f.url+"/look", "")
		if err == nil {
			outcomes[n] = resp.Status[:4] + resp.Header.Get(forwarder.OutcomeHeader)
		}
	}
	wg.Go(func() { call(0) })
	<-started
	wg.Go(func() { call(1) })
	for f.Dump().Services[0].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	wg.Go(func() { call(2) })
	for outcomes := f.Dump(); outcomes.InFlight > 2; outcomes = f.Dump() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(60 * time.Millisecond) // Longer than the longest wait.
	close(leave)
	wg.Wait()
	if outcomes[0] != "200 Answered" || outcomes[1] != "503 NotRun" || outcomes[2] != "503 NotRun" {
		t.Errorf("outcomes = %q", outcomes)
	}
}

// A new configuration must apply to new and queued calls, and not to calls in
// flight.
func TestInstallReassignsQueuedCalls(t *testing.T) {
	started := make(chan struct{}, 2)
	leave := make(chan struct{})
	slow := serve(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-leave
		ok(w, r)
	})
	f := newFixture(t, "Defaults: {Slots: 1}", slow)
	done := make(chan string, 2)
	call := func() {
		resp, body, err := do(t, "GET", f.url+"/patient", "")
		if err != nil {
			body = err.Error()
		} else if resp.StatusCode != http.StatusOK {
			body = resp.Status
		}
		done <- body
	}
	go call()
	<-started
	go call()
	for f.Dump().Services[0].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	install(t, f.Forwarder, 2, "Defaults: {Slots: 1}", "out:"+slow, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "other")
	}))
	if got := <-done; got != "other" {
		t.Errorf("waiting call got %q, want the new target", got)
	}
	close(leave)
	if got := <-done; got != "whole" {
		t.Errorf("call in flight got %q", got)
	}
}

// All sends together must not exceed the calls, their retry budget, and the
// maximum that a service can save up, however backend servers fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	var sends atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		sends.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f := newFixture(t, "Retry: {Attempts: 10, BudgetPercent: 10}", address)
	const calls = 200
	for range calls {
		if _, _, err := do(t, "GET", f.url+"/short", ""); err != nil {
			t.Fatal(err)
		}
	}
	if most := int64(calls + calls/10 + 20); sends.Load() > most {
		t.Errorf("%d sends for %d calls, want at most %d", sends.Load(), calls, most)
	}
}

func TestUnconfiguredForwarderRefusesCalls(t *testing.T) {
	s := httptest.NewServer(forwarder.New(recorder.New()))
	defer s.Close()
	resp, _, err := do(t, "GET", s.URL+"/look", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(forwarder.OutcomeHeader) != "NotRun" {
		t.Errorf("%v %v", resp, err)
	}
}
