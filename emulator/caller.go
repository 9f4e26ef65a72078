package emulator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/forwarder"
)

// Call is one call of a caller.
type Call struct {
	Method string
	// Path is the path, such as /balances/17.
	Path string
	// Key is the idempotency key, or empty.
	Key string
	// Body is what to upload, or nil.
	Body []byte
}

// Tally counts what callers got. Sent is the sum of all the others, unless a
// call is unaccounted for.
type Tally struct {
	Sent int
	// Whole counts whole answers with a success status.
	Whole int
	// Classed counts the errors that said what became of the call, by the
	// name of the outcome.
	Classed map[string]int
	// Broken counts connections that broke before an answer was whole.
	Broken int
	// Wrong counts answers that were taken for whole but are not, or that
	// belong to another call.
	Wrong int
	// Latencies holds the time of each whole answer.
	Latencies []time.Duration
}

// Unaccounted returns the number of calls that ended in none of the ways that
// a caller is promised.
func (t *Tally) Unaccounted() int {
	n := t.Sent - t.Whole - t.Broken
	for _, c := range t.Classed {
		n -= c
	}
	return n
}

// Quantile returns a quantile, from 0 to 1, of the latencies.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Latencies))
	return sorted[int(q*float64(len(sorted)-1))]
}

// Callers is a crowd of callers that share a client, spread over entries as
// the platform's balancer spreads them.
type Callers struct {
	client  *http.Client
	entries []string
	// direct is a backend server that is called without an entry, or empty.
	direct string

	mu    sync.Mutex
	next  int
	tally Tally
}

// NewCallers returns callers of the entries at those addresses.
func NewCallers(entries []string, conns int) *Callers {
	tr := &http.Transport{
		MaxIdleConnsPerHost: conns,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
	}
	return &Callers{
		client:  &http.Client{Transport: tr},
		entries: slices.Clone(entries),
		tally:   Tally{Classed: map[string]int{}},
	}
}

// NewDirectCallers returns callers of a backend server itself, for comparison.
func NewDirectCallers(address string, conns int) *Callers {
	c := NewCallers([]string{address}, conns)
	c.direct = address
	return c
}

// SetEntries changes the entries that new calls go to.
func (c *Callers) SetEntries(entries []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = slices.Clone(entries)
	c.next = 0
}

// Close drops the idle connections.
func (c *Callers) Close() { c.client.CloseIdleConnections() }

// Tally returns a copy of the counts so far.
func (c *Callers) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	t.Classed = map[string]int{}
	for k, v := range c.tally.Classed {
		t.Classed[k] = v
	}
	t.Latencies = slices.Clone(t.Latencies)
	return t
}

// Do makes one call at the next entry in turn and returns its outcome's name:
// one of the forwarder's, "Broken" or "Wrong".
func (c *Callers) Do(ctx context.Context, call Call) string {
	start := time.Now()
	entry := c.take()
	outcome := c.do(ctx, entry, call)
	c.note(outcome, time.Since(start))
	return outcome
}

func (c *Callers) take() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Sent++
	c.next = (c.next + 1) % len(c.entries)
	return c.entries[c.next]
}

func (c *Callers) note(outcome string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case forwarder.Answered.String():
		c.tally.Whole++
		c.tally.Latencies = append(c.tally.Latencies, d)
	case broken:
		c.tally.Broken++
	case wrong:
		c.tally.Wrong++
	default:
		c.tally.Classed[outcome]++
	}
}

// Outcomes that a caller finds for himself.
const (
	broken = "Broken"
	wrong  = "Wrong"
)

func (c *Callers) do(ctx context.Context, entry string, call Call) string {
	var body io.Reader
	if call.Body != nil {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, body)
	if err != nil {
		return wrong
	}
	id := uuid.NewString()
	req.Header.Set(forwarder.RequestIDHeader, id)
	if call.Key != "" {
		req.Header.Set(forwarder.KeyHeader, call.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return broken
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken
	}
	if resp.Header.Get(forwarder.RepeatHeader) != "" {
		// The answer belongs to the first send, and has its id.
		return resp.Header.Get(forwarder.OutcomeHeader)
	}
	if !belongs(resp, got, id) {
		return wrong
	}
	if entry == c.direct {
		return forwarder.Answered.String()
	}
	return resp.Header.Get(forwarder.OutcomeHeader)
}

// belongs tells whether an answer is whole and to the call with that id.
func belongs(resp *http.Response, body []byte, id string) bool {
	if echo := resp.Header.Get(forwarder.RequestIDHeader); echo != "" && echo != id {
		return false
	}
	hash := resp.Header.Get(BodyHashHeader)
	if hash == "" {
		return resp.StatusCode >= http.StatusBadRequest
	}
	sum := sha256.Sum256(body)
	return hash == hex.EncodeToString(sum[:]) && strings.Contains(string(body), id)
}
