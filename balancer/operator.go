package balancer

import (
	"encoding/json"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"savoryroad.dev/controller"
	"savoryroad.dev/forwarder"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
	"savoryroad.dev/runner"
)

// Status is the short report at /status.
type Status struct {
	Entry      loader.EntryName
	DataCentre loader.DataCentreName
	Site       loader.SiteName
	Phase      controller.Phase
	// Revision is the one in force, and Newest the newest that was read.
	Revision, Newest publisher.Revision
	InForceSince     time.Time
	LogUp            bool
	InFlight         int64
	// Findings says why Newest is not in force, if it is not.
	Findings loader.Findings `json:",omitempty"`
}

// Dump is the whole state at /dump. It contains no keys.
type Dump struct {
	Status   Status
	Started  time.Time
	Settings loader.Settings
	Control  controller.Model
	Traffic  forwarder.Dump
	Peers    PeersDump
}

// PeersDump is the state of the link to the other entries.
type PeersDump struct {
	// Keys is the number of idempotency keys remembered.
	Keys int
	// Requests counts the requests sent to peers.
	Requests int64
	// Bytes counts the bytes of those requests and their answers.
	Bytes int64
}

// operatorServer returns the server for operators and the platform's balancer.
func (b *Balancer) operatorServer() *khttp.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", b.serveReady)
	mux.HandleFunc("GET /metrics", b.serveMetrics)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, b.Status())
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, b.Dump())
	})
	srv := khttp.NewServer(
		khttp.Listener(b.operators),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return mux }),
	)
	srv.ReadHeaderTimeout = b.settings.HeaderTimeout
	srv.ErrorLog = runner.DiscardLogger()
	return srv
}

// Status returns the short report.
func (b *Balancer) Status() Status {
	m := b.loop.Model()
	return Status{
		Entry:        m.Name,
		DataCentre:   m.DataCentre,
		Site:         m.Site,
		Phase:        m.Phase,
		Revision:     b.forwarder.Revision(),
		Newest:       m.Reader.State.Revision,
		InForceSince: m.InForceSince,
		LogUp:        m.Log.Up,
		InFlight:     b.forwarder.InFlight(),
		Findings:     m.Findings,
	}
}

// Dump returns the whole state. Keys stay out of it.
func (b *Balancer) Dump() Dump {
	return Dump{
		Status:   b.Status(),
		Started:  b.started,
		Settings: b.settings.Redacted(),
		Control:  b.loop.Model(),
		Traffic:  b.forwarder.Dump(),
		Peers:    PeersDump{Keys: b.peers.memory.Len(), Requests: b.peers.asked.Count(), Bytes: b.peers.bytes()},
	}
}

// serveReady answers 200 while the entry wants calls, else 503.
func (b *Balancer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !b.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(b.loop.Model().Phase.String() + "\n"))
}

func (b *Balancer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = b.rec.Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
