package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"savoryroad.dev/forwarder"
	"savoryroad.dev/loader"
	"savoryroad.dev/recorder"
)

// benchForwarder returns a forwarder in front of one backend server.
func benchForwarder(b *testing.B) *forwarder.Forwarder {
	b.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	b.Cleanup(backend.Close)
	base := fmt.Sprintf(`
DataCentres: {Here: {}}
Services:
  S:
    Routes: {All: {PathPrefix: /, Class: Lookup}}
    Defaults: {Slots: 256, Connections: 20000}
    Targets: {t: {Address: "%s", DataCentre: Here}}
`, backend.Listener.Addr())
	cfg, findings := loader.Render(loader.MustParse("base", base), loader.Document{})
	if len(findings) > 0 {
		b.Fatal(findings)
	}
	f := forwarder.New(recorder.New(), forwarder.WithSeed(1))
	f.Install(1, cfg)
	return f
}

// BenchmarkForward is one call through the traffic path, without the server
// towards callers; the backend server's own work is included.
func BenchmarkForward(b *testing.B) {
	f := benchForwarder(b)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
		if w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}

// BenchmarkDirect is the same call without the traffic path.
func BenchmarkDirect(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	b.Cleanup(backend.Close)
	tr := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, backend.URL+"/x", nil)
		resp, err := tr.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(w, resp.Body)
		resp.Body.Close()
	}
}
