package balancer_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"savoryroad.dev/balancer"
	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// entry is a running entry.
type entry struct {
	*balancer.Balancer
	stop context.CancelFunc
	done chan error
}

// startEntry starts an entry over a log, on free ports.
func startEntry(t *testing.T, log *emulator.Log, change func(*loader.Settings)) entry {
	t.Helper()
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s := loader.Settings{
		Name: "e1", DataCentre: "Hobart", Site: "Hobart", Listen: free, Operator: free,
		DrainTimeout: time.Minute, HeaderTimeout: time.Second, StallTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	if change != nil {
		change(&s)
	}
	b, err := balancer.New(s, balancer.WithLog(log), balancer.WithSeed(1))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := entry{Balancer: b, stop: stop, done: make(chan error, 1)}
	go func() { e.done <- b.Run(ctx) }()
	t.Cleanup(stop)
	return e
}

// publish makes one target the whole configuration.
func publish(t *testing.T, log *emulator.Log, address string) {
	t.Helper()
	base := "DataCentres: {Hobart: {}}\nServices: {S: {Routes: {All: {PathPrefix: /, Class: Upload}}, Targets: {t: {Address: \"" + address + "\", DataCentre: Hobart}}}}"
	data, err := loader.MustParse("base", base).JSON()
	if err != nil {
		t.Fatal(err)
	}
	c, err := publisher.State{}.Diff(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.ID = "first"
	if res, ok := publisher.Publish(t.Context(), log, publisher.Reader{}, c).(publisher.Published); !ok {
		t.Fatalf("publish: %#v", res)
	}
}

// get asks the operator endpoint.
func (e entry) get(t *testing.T, path string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + e.OperatorsAddr().String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for range 2000 {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not in time: " + what)
}

func TestReadyOnceAConfigurationIsInForce(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	log := emulator.NewLog(time.Hour, 1)
	e := startEntry(t, log, nil)
	if status, _ := e.get(t, "/readyz"); status != http.StatusServiceUnavailable {
		t.Errorf("readyz = %d before any configuration", status)
	}
	if status, _ := e.get(t, "/healthz"); status != http.StatusOK {
		t.Errorf("healthz = %d", status)
	}
	publish(t, log, backend.Listener.Addr().String())
	eventually(t, "ready", e.Ready)
	if status, body := e.get(t, "/readyz"); status != http.StatusOK || body != "Serving\n" {
		t.Errorf("readyz = %d %q", status, body)
	}
	resp, err := http.Get("http://" + e.CallersAddr().String() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if _, text := e.get(t, "/metrics"); !strings.Contains(text, `savoryroad_calls_total{service="S",outcome="Answered"} 1`) {
		t.Errorf("metrics lack the call:\n%s", text)
	}
	var d struct {
		Control struct{ InForce, Phase any }
		Traffic struct {
			Services []struct{ Targets []struct{ Name string } }
		}
	}
	_, text := e.get(t, "/dump")
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		t.Fatal(err)
	}
	if d.Control.InForce != 1.0 || d.Control.Phase != "Serving" || d.Traffic.Services[0].Targets[0].Name != "t" {
		t.Errorf("dump = %s", text)
	}
}

// A graceful stop finishes the calls in flight, reports itself unready at
// once, and takes new calls until the platform's balancer has learned of it.
func TestStopCutsOffNoCall(t *testing.T) {
	enter, leave := make(chan struct{}, 4), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			enter <- struct{}{}
			<-leave
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_ = json.NewEncoder(w).Encode(n)
	}))
	defer backend.Close()
	log := emulator.NewLog(time.Hour, 1)
	e := startEntry(t, log, func(s *loader.Settings) { s.UnreadyDelay = 200 * time.Millisecond })
	publish(t, log, backend.Listener.Addr().String())
	eventually(t, "ready", e.Ready)
	url := "http://" + e.CallersAddr().String()
	const size = 1 << 20
	result := make(chan string, 1)
	go func() {
		resp, err := http.Post(url+"/slow", "x/y", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			result <- err.Error()
			return
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		result <- strings.TrimSpace(string(data))
		_ = err
	}()
	<-enter
	e.stop()
	eventually(t, "unready", func() bool { return !e.Ready() })
	resp, err := http.Get(url + "/quick")
	if err != nil {
		t.Fatalf("call in the unready delay: %v", err)
	}
	resp.Body.Close()
	if !resp.Close {
		t.Error("caller's connection was not closed politely")
	}
	eventually(t, "listener closed", func() bool {
		_, err := http.Get(url + "/quick")
		return err != nil
	})
	if status, body := e.get(t, "/readyz"); status != http.StatusServiceUnavailable || body != "Stopping\n" {
		t.Errorf("readyz while draining = %d %q", status, body)
	}
	close(leave)
	if got := <-result; got != "1048576" {
		t.Errorf("call in flight got %q", got)
	}
	if err := <-e.done; err != nil {
		t.Errorf("run: %v", err)
	}
}

func TestDumpShowsNoKeys(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeKeys(t, dir)
	e := startEntry(t, emulator.NewLog(time.Hour, 1), func(s *loader.Settings) {
		s.TLS = loader.TLS{CertFile: cert, KeyFile: key}
	})
	_, text := e.get(t, "/dump")
	secret, err := os.ReadFile(key)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(secret), "\n")
	if strings.Contains(text, filepath.Base(key)) || strings.Contains(text, lines[1]) {
		t.Error("dump leads to the key")
	}
}

// Callers reach an entry with keys over HTTP/2.
func TestHTTP2OverTLS(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	cert, key := writeKeys(t, t.TempDir())
	log := emulator.NewLog(time.Hour, 1)
	e := startEntry(t, log, func(s *loader.Settings) { s.TLS = loader.TLS{CertFile: cert, KeyFile: key} })
	publish(t, log, backend.Listener.Addr().String())
	eventually(t, "ready", e.Ready)
	client := clientTrusting(t, cert)
	resp, err := client.Get("https://" + e.CallersAddr().String() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ProtoMajor != 2 || resp.StatusCode != http.StatusOK {
		t.Errorf("%s %s", resp.Proto, resp.Status)
	}
}
