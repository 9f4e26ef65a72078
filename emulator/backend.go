package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/forwarder"
)

// BodyHashHeader carries the SHA-256 of an answer's body, so that a caller can
// tell a whole answer from a truncated one.
const BodyHashHeader = "Body-Sha256"

// answerBytes is the size of the answer to a lookup.
const answerBytes = 512

// BackendMode is how a backend server behaves; it can be changed at any time.
type BackendMode struct {
	// Service is the mean time that a call holds a slot.
	Service time.Duration
	// Slow multiplies the service time; 0 means 1.
	Slow float64
	// Fail makes every call answer 500 at once.
	Fail bool
	// Shed makes every call answer 503 without running.
	Shed bool
	// Lie makes every answer report no load.
	Lie bool
	// Truncate breaks every answer off in the middle.
	Truncate bool
}

// Backend is a stand-in for one backend server: a number of slots, and a
// queue without end before them. It counts the runs of every idempotency key.
type Backend struct {
	slots chan struct{}
	mode  atomic.Pointer[BackendMode]
	// inFlight counts the calls in the server, queued ones included.
	inFlight atomic.Int64
	// peak is the largest inFlight seen.
	peak atomic.Int64
	// calls counts the calls that began to run.
	calls atomic.Int64

	// cold is the present cold start; nil once the server is warm.
	cold atomic.Pointer[coldStart]
	// crashPath is the path of calls that crash the server; crashes counts
	// them.
	crashPath string
	crashes   atomic.Int64
	// starts counts the starts; it names the run.
	starts atomic.Int64
	// overCold counts the calls that came above the cold limit, ever.
	overCold atomic.Int64

	mu sync.Mutex
	// runs counts the runs of each key.
	runs map[string]int
	rng  *rand.Rand
}

// NewBackend returns a backend server with that many slots.
func NewBackend(slots int, mode BackendMode, seed uint64) *Backend {
	b := &Backend{
		slots:     make(chan struct{}, slots),
		runs:      map[string]int{},
		crashPath: "/balances/crash",
		rng:       rand.New(rand.NewPCG(seed, 2)),
	}
	b.SetMode(mode)
	return b
}

// coldStart is one cold start of a server.
type coldStart struct {
	limit int64
	// left counts the answers until the server is warm.
	left atomic.Int64
	// inFlight counts the calls since the start.
	inFlight atomic.Int64
}

// Restart makes the server start anew, cold: it bears that many calls at once
// until it has answered so many. Calls in flight break off.
func (b *Backend) Restart(limit, answers int) {
	c := &coldStart{limit: int64(limit)}
	c.left.Store(int64(answers))
	b.cold.Store(c)
	b.starts.Add(1)
}

// Crashes returns how often a call to /balances/crash crashed the server.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// Cold tells whether the server is in cold start.
func (b *Backend) Cold() bool { return b.cold.Load() != nil }

// OverCold returns the number of calls that came above the cold limit.
func (b *Backend) OverCold() int64 { return b.overCold.Load() }

// SetMode changes the behaviour from now on.
func (b *Backend) SetMode(m BackendMode) { b.mode.Store(&m) }

// Calls returns the number of calls that began to run.
func (b *Backend) Calls() int64 { return b.calls.Load() }

// Peak returns the largest number of calls that were in the server at once.
func (b *Backend) Peak() int64 { return b.peak.Load() }

// Runs returns how often the call with that key ran.
func (b *Backend) Runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// RunCounts returns the number of keys that ran, and of those that ran more
// than once.
func (b *Backend) RunCounts() (ran, twice int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runs {
		if n > 1 {
			twice++
		}
	}
	return len(b.runs), twice
}

// ServeHTTP runs one call. GET /runs answers the two RunCounts.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		ran, twice := b.RunCounts()
		_, _ = fmt.Fprintln(w, ran, twice)
		return
	}
	load := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.raisePeak(load)
	w.Header().Set(forwarder.LoadHeader, strconv.FormatInt(load, 10))
	start := b.starts.Load()
	w.Header().Set(forwarder.StartHeader, strconv.FormatInt(start, 10))
	if c := b.cold.Load(); c != nil {
		if c.inFlight.Add(1) > c.limit {
			b.overCold.Add(1)
		}
		defer b.leaveCold(c)
	}
	defer func() {
		if b.starts.Load() != start {
			panic(http.ErrAbortHandler)
		}
	}()
	m := *b.mode.Load()
	if m.Lie {
		w.Header().Set(forwarder.LoadHeader, "0")
	}
	switch {
	case m.Shed:
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	case m.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	b.run(w, r, m)
}

// leaveCold counts an answer of a cold start; the last one makes it warm.
func (b *Backend) leaveCold(c *coldStart) {
	c.inFlight.Add(-1)
	if c.left.Add(-1) == 0 {
		b.cold.CompareAndSwap(c, nil)
	}
}

func (b *Backend) raisePeak(load int64) {
	for {
		peak := b.peak.Load()
		if load <= peak || b.peak.CompareAndSwap(peak, load) {
			return
		}
	}
}

// run reads the call whole, holds the slot for the service time and answers.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, m BackendMode) {
	b.calls.Add(1)
	if r.URL.Path == b.crashPath {
		b.crashes.Add(1)
		panic(http.ErrAbortHandler)
	}
	b.noteRun(r.Header.Get(forwarder.KeyHeader))
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	if !hold(r.Context(), b.draw(m)) {
		return
	}
	if size, err := strconv.ParseInt(r.FormValue("bytes"), 10, 64); err == nil {
		writeZeros(w, size)
		return
	}
	body := answer(r, n, sum.Sum(nil))
	hash := sha256.Sum256(body)
	w.Header().Set(BodyHashHeader, hex.EncodeToString(hash[:]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if m.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// writeZeros answers with a body of that size.
func writeZeros(w http.ResponseWriter, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	piece := make([]byte, 64<<10)
	for size > 0 {
		n, err := w.Write(piece[:min(size, int64(len(piece)))])
		if err != nil {
			return
		}
		size -= int64(n)
	}
}

func (b *Backend) noteRun(key string) {
	if key == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[key]++
}

// draw returns a service time, exponentially distributed around the mean.
func (b *Backend) draw(m BackendMode) time.Duration {
	if m.Service == 0 {
		return 0
	}
	b.mu.Lock()
	x := b.rng.ExpFloat64()
	b.mu.Unlock()
	if m.Slow > 0 {
		x *= m.Slow
	}
	return time.Duration(float64(m.Service) * x)
}

// answer is the body of a whole answer; it names the call that it belongs to.
func answer(r *http.Request, n int64, sum []byte) []byte {
	head := fmt.Sprintf("%s %s\n%s\n%d bytes %x\n", r.Method, r.URL.Path, r.Header.Get(forwarder.RequestIDHeader), n, sum)
	body := make([]byte, max(answerBytes, len(head)))
	copy(body, head)
	return body
}

// hold waits, and tells whether the call is still wanted.
func hold(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Server is a stand-in that listens on loopback.
type Server struct {
	// Addr is the address that it listens on.
	Addr net.Addr
	srv  *http.Server
}

// Serve makes a stand-in reachable at an address such as 127.0.0.1:0.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &Server{Addr: l.Addr(), srv: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Close ends every connection at once.
func (s *Server) Close() { _ = s.srv.Close() }
