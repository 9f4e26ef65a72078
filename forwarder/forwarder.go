// Package forwarder carries callers' calls to backend servers.
//
// A Forwarder is an http.Handler. It reads an immutable table of the
// configuration in force, chooses a target, streams the call there and the
// answer back, and classes whatever goes wrong:
//
//	f := forwarder.New(recorder.New())
//	f.Install(revision, cfg)
//	http.Handle("/", f)
//
// Every answer carries the Savoryroad-Outcome header: Answered, Failed, NotRun
// or Unknown. An answer that breaks off is never passed on as whole.
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

// defaultStall is how long a transfer may stand still.
const defaultStall = time.Minute

// maxRequestIDBytes is the longest request id taken over from a caller.
const maxRequestIDBytes = 128

// Forwarder is the traffic path of one entry. It is safe for use by several
// goroutines.
type Forwarder struct {
	rec   *recorder.Recorder
	stall time.Duration
	seed  uint64
	stats stats
	// table is the configuration in force; nil before the first.
	table atomic.Pointer[table]
	// tell passes news of warmth on; nil means to nobody.
	tell func(warmer.News)
	// isolator stops calls that crash the servers that run them.
	isolator *isolator.Isolator
	// strike tells the other entries of a strike; nil means nobody.
	strike func(isolator.Strike)
	// borrow asks other entries for permits; nil means nobody.
	borrow func(warmer.Loan)
	// installing guards the two below. Traffic does not take it.
	installing sync.Mutex
	// fleet is the entry's part in the fleet; nil until SetFleet.
	fleet *fleetView
	// services holds what outlives configurations.
	services map[loader.ServiceName]*service
	// draining makes callers' connections end after their current call.
	draining atomic.Bool
	// claimer grants calls of AtMostOnce routes; it may be nil.
	claimer Claimer
	// name starts the attempts' names, which are unique in the fleet.
	name string
	// attempts counts the attempts.
	attempts atomic.Uint64
	// inFlight counts the calls now in the entry.
	inFlight atomic.Int64
}

// stats are the metrics of the entry as a whole.
type stats struct {
	refused   metrics.Counter
	truncated metrics.Counter
	isolated  metrics.Counter
}

// Option changes a Forwarder under construction.
type Option func(*Forwarder)

// WithStall bounds how long a transfer may stand still in either direction.
func WithStall(d time.Duration) Option { return func(f *Forwarder) { f.stall = d } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(f *Forwarder) { f.seed = seed } }

// New returns a Forwarder that refuses every call until a configuration is
// installed.
func New(rec *recorder.Recorder, opts ...Option) *Forwarder {
	f := &Forwarder{
		rec:      rec,
		stall:    defaultStall,
		seed:     rand.Uint64(),
		name:     uuid.NewString(),
		isolator: isolator.New(),
		services: map[loader.ServiceName]*service{},
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

// Install puts a configuration in force for every call that begins from now
// on. It reports false, and changes nothing, when a newer one is in force.
func (f *Forwarder) Install(rev publisher.Revision, cfg loader.Config) bool {
	f.installing.Lock()
	defer f.installing.Unlock()
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
			s.drop()
			delete(f.services, name)
		}
	}
	return true
}

// Revision returns the revision in force, or 0.
func (f *Forwarder) Revision() publisher.Revision {
	if t := f.table.Load(); t != nil {
		return t.revision
	}
	return 0
}

// Drain makes every answer from now on end its caller's connection.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// InFlight returns the number of calls now in the entry.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP carries one call.
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
		c.body = newRequestBody(w, r, t, f.stall)
		defer c.body.end()
	}
	if refused, ok := f.admit(c, t, w); !ok {
		f.stats.refused.Inc(1)
		setWriteDeadline(http.NewResponseController(w), f.stall)
		refused.write(w, c.requestID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline())
	defer cancel()
	c.count(c.run(ctx, w))
}

// admit routes the call and checks its sizes. A call that is not admitted
// has reached no backend server.
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
	if headerBytes(r.Header) > t.maxHeader {
		return refusal{status: http.StatusRequestHeaderFieldsTooLarge, outcome: NotRun, title: "headers are too large"}, false
	}
	if r.ContentLength > t.maxBody {
		return refusal{status: http.StatusRequestEntityTooLarge, outcome: NotRun, title: "body is too large"}, false
	}
	return refusal{}, true
}

// nextAttempt returns a name that no other call in the fleet has.
func (f *Forwarder) nextAttempt() string {
	return f.name + "/" + strconv.FormatUint(f.attempts.Add(1), 36)
}

// deadline is the route's, or the caller's own if that is shorter.
func (c *call) deadline() time.Duration {
	d := c.route.Deadline
	if own := callerTimeout(c.request); own > 0 {
		d = min(d, own)
	}
	return d
}

// requestID is the caller's own id of the call, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(RequestIDHeader); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return uuid.NewString()
}

// hasDotSegment tells whether a path would mean another one to a server that
// resolves "." and "..".
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

// headerBytes is the size of the headers as HTTP/1.1 writes them.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
