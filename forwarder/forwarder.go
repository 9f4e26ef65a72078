// Package forwarder forwards callers' calls to backend servers.
//
// A Forwarder is an http.Handler. It matches a call against an immutable
// routing table, selects a target, streams the call there and the response
// back, and classifies failures:
//
//	f := forwarder.New(recorder.New())
//	f.Install(revision, cfg)
//	http.Handle("/", f)
//
// Every response has a Savoryroad-Outcome header: Answered, Failed, NotRun or
// Unknown. A truncated response aborts the caller's connection, so that the
// caller doesn't take it for a complete one.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"savoryroad.dev/isolator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
	"savoryroad.dev/recorder"
	"savoryroad.dev/warmer"
)

// defaultStallTimeout is how long a transfer may make no progress by default.
const defaultStallTimeout = time.Minute

// maxRequestIDBytes is the maximum length of a request id that is accepted from
// a caller.
const maxRequestIDBytes = 128

// Forwarder forwards the calls of one entry. It is safe for concurrent use.
type Forwarder struct {
	rec          *recorder.Recorder
	stallTimeout time.Duration
	seed         uint64
	stats        stats
	// table is the routing table in force, or nil before the first Install.
	table atomic.Pointer[table]
	// levelAnnouncer sends warm-up levels to other entries; it may be nil.
	levelAnnouncer func(warmer.News)
	// isolator blocks calls that crash backend servers.
	isolator *isolator.Isolator
	// strikeAnnouncer sends strikes to other entries; it may be nil.
	strikeAnnouncer func(isolator.Strike)
	// loanSender sends loan requests and returns to other entries; it may be
	// nil.
	loanSender func(warmer.Loan)
	// installMu guards ownership and services. Calls don't take it.
	installMu sync.Mutex
	// ownership is the entry's view of the owners of shares, or nil before
	// SetFleet.
	ownership *ownership
	// services holds the state of services that is kept across configurations.
	services map[loader.ServiceName]*service
	// draining makes the entry close callers' connections after their current
	// call.
	draining atomic.Bool
	// claimer grants calls of AtMostOnce routes; it may be nil.
	claimer Claimer
	// attemptPrefix is the random prefix that makes attempt names unique in the
	// fleet.
	attemptPrefix string
	// lastAttempt is the number of the latest attempt.
	lastAttempt atomic.Uint64
	// inFlight counts the calls in progress.
	inFlight atomic.Int64
}

// stats are the metrics of the entry that belong to no service.
type stats struct {
	refused   metrics.Counter
	truncated metrics.Counter
	isolated  metrics.Counter
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithStall sets how long a transfer may make no progress, in either direction.
func WithStall(d time.Duration) Option { return func(f *Forwarder) { f.stallTimeout = d } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option { return func(f *Forwarder) { f.seed = seed } }

// New returns a Forwarder that refuses all calls until the first Install.
func New(rec *recorder.Recorder, opts ...Option) *Forwarder {
	f := &Forwarder{
		rec:           rec,
		stallTimeout:  defaultStallTimeout,
		seed:          rand.Uint64(),
		attemptPrefix: uuid.NewString(),
		isolator:      isolator.New(),
		services:      map[loader.ServiceName]*service{},
		stats: stats{
			refused:   rec.Counter("calls_unrouted_total"),
			truncated: rec.Counter("answers_truncated_total"),
			isolated:  rec.Counter("calls_isolated_total"),
		},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Install applies a configuration to all calls that arrive afterwards. It
// returns false, and has no effect, if a newer revision is in force.
func (f *Forwarder) Install(rev publisher.Revision, cfg loader.Config) bool {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if rev < f.Revision() {
		return false
	}
	for name, settings := range cfg.Services {
		s, ok := f.services[name]
		if !ok {
			s = newService(name, f)
			f.services[name] = s
		}
		s.configure(cfg, settings)
	}
	f.table.Store(newTable(rev, cfg, f.services))
	for name, s := range f.services {
		if _, ok := cfg.Services[name]; !ok {
			s.shutdown()
			delete(f.services, name)
		}
	}
	return true
}

// Revision returns the revision in force, or 0 before the first Install.
func (f *Forwarder) Revision() publisher.Revision {
	if t := f.table.Load(); t != nil {
		return t.revision
	}
	return 0
}

// Drain closes each caller's HTTP/1 connection after its next response.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// InFlight returns the number of calls in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c := &call{forwarder: f, request: r, requestID: requestID(r), started: time.Now()}
	w.Header()[RequestIDHeader] = []string{c.requestID}
	if f.draining.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	t := f.table.Load()
	if r.ContentLength != 0 {
		c.body = newRequestBody(w, r, t, f.stallTimeout)
		defer c.body.detach()
	}
	if rejection, ok := f.admit(c, t, w); !ok {
		f.stats.refused.Inc(1)
		setWriteDeadline(http.NewResponseController(w), f.stallTimeout)
		rejection.write(w, c.requestID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	defer cancel()
	c.recordOutcome(c.run(ctx, w))
}

// admit matches the call against the routes and checks its size. It returns
// false, and the response to send, for a call that must not be forwarded.
func (f *Forwarder) admit(c *call, t *table, w http.ResponseWriter) (refusal, bool) {
	r := c.request
	if t == nil {
		return refusal{status: http.StatusServiceUnavailable, outcome: NotRun, title: "no configuration is in force yet", retryAfter: 1}, false
	}
	if hasDotSegment(r.URL.Path) {
		return refusal{status: http.StatusBadRequest, outcome: NotRun, title: "path contains . or .. segments"}, false
	}
	rt, allow := t.match(r)
	if rt == nil && len(allow) > 0 {
		w.Header().Set("Allow", strings.Join(slices.Compact(slices.Sorted(slices.Values(allow))), ", "))
		return refusal{status: http.StatusMethodNotAllowed, outcome: NotRun, title: "method is not allowed here"}, false
	}
	if rt == nil {
		return refusal{status: http.StatusNotFound, outcome: NotRun, title: "no route matches"}, false
	}
	c.route = rt
	if headerBytes(r.Header) > t.maxHeaderBytes {
		return refusal{status: http.StatusRequestHeaderFieldsTooLarge, outcome: NotRun, title: "headers are too large"}, false
	}
	if r.ContentLength > t.maxBodyBytes {
		return refusal{status: http.StatusRequestEntityTooLarge, outcome: NotRun, title: "body is too large"}, false
	}
	return refusal{}, true
}

// nextAttempt returns an attempt name that is unique in the fleet.
func (f *Forwarder) nextAttempt() string {
	return f.attemptPrefix + "/" + strconv.FormatUint(f.lastAttempt.Add(1), 36)
}

// timeout returns the route's deadline, or the caller's timeout if it is
// shorter.
func (c *call) timeout() time.Duration {
	d := c.route.Deadline
	if callers := callerTimeout(c.request); callers > 0 {
		d = min(d, callers)
	}
	return d
}

// requestID returns the caller's request id, or a new one if the caller sent
// none or one that is too long.
func requestID(r *http.Request) string {
	if id := r.Header.Get(RequestIDHeader); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return uuid.NewString()
}

// hasDotSegment reports whether a server that resolves "." and ".." would take
// the path for another one.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// headerBytes returns the size of the header in HTTP/1.1 encoding.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
