package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"savoryroad.dev/platform/standin"
)

// caller sends requests to entries over persistent connections.
type caller struct {
	s    *Soaker
	rand *rand.Rand
	// number and requests, the count of requests so far, make up the request IDs.
	number   uint64
	requests int
	client   *http.Client
}

// newCaller returns a caller whose request IDs are unique within the run.
func newCaller(s *Soaker) *caller {
	number := s.callerCount.Add(1)
	return &caller{
		s: s, number: number, rand: rand.New(rand.NewPCG(s.options.Seed, number)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// bind makes the caller use an address as its source.
func (c *caller) bind(address netip.Addr) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: address.AsSlice()}}
	c.client.Transport = &http.Transport{DisableCompression: true, DialContext: dialer.DialContext}
}

// runCaller sends random requests to random entries, one at a time, until the
// context ends.
func (s *Soaker) runCaller(ctx context.Context) {
	c := newCaller(s)
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		p := s.processes[c.rand.IntN(len(s.processes))]
		switch c.rand.IntN(5) {
		case 0, 1:
			c.get(ctx, p, "/a/x")
		case 4:
			c.get(ctx, p, downloadPath)
		case 2:
			c.send(ctx, p, http.MethodPost, "/u/x", []byte("pay"))
		default:
			c.send(ctx, p, http.MethodPut, "/l/x", make([]byte, uploadBytes))
		}
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(meanCallInterval)))
	}
}

// get sends a request that may run more than once, and returns what send returns.
func (c *caller) get(ctx context.Context, p *process, path string) int {
	return c.send(ctx, p, http.MethodGet, path, nil)
}

// send sends a request, records its outcome and returns the status, or 0 without a
// complete response.
func (c *caller) send(ctx context.Context, p *process, method, path string, body []byte) int {
	c.requests++
	id := fmt.Sprintf("%d-%d-%d", c.s.options.Seed, c.number, c.requests)
	// The end of the run does not cancel the request, so that every recorded
	// outcome is that of a finished call.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	req, err := standin.NewRequest(callCtx, method, "http://"+p.address().String()+path, host, id, callTimeout, body)
	if err != nil {
		c.s.checker.addViolation("soak", "request %s: %v", id, err)
		return 0
	}
	// Without GetBody, the HTTP client can't resend a request body by itself. The
	// checks would take that for a retry by an entry.
	req.GetBody = nil
	if body == nil {
		req.Body = nil
	} else {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	return c.observe(callCtx, p, id, path, method == http.MethodGet, func() int {
		resp, err := c.client.Do(req)
		if err != nil {
			return 0
		}
		return c.readResponse(resp, id, path, len(body))
	})
}

// observe calls exchange, which sends a request to an entry and returns the status of the
// response, records the outcome and returns the status.
func (c *caller) observe(ctx context.Context, p *process, id, path string, safe bool, exchange func() int) int {
	sentAt := time.Now()
	incarnation, _, _ := p.state(sentAt)
	result := outcome{id: id, safe: safe, entry: p.settings.Name, sentAt: sentAt}
	result.status = exchange()
	incarnationAfter, stable, terminating := p.state(sentAt)
	result.streamed, result.endedAt = path == downloadPath, time.Now()
	result.stable = stable && incarnationAfter == incarnation
	result.duringStop = terminating && result.stable && ctx.Err() == nil
	c.s.checker.record(result)
	return result.status
}

// readResponse reads a response and returns its status, or 0 if it breaks off. It
// checks that a response with a status below 300 is complete, has a seal and
// belongs to the request.
func (c *caller) readResponse(resp *http.Response, id, path string, requestBytes int) int {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	whole := standin.Seal(resp.Header) != "" && matchesRequest(string(body), id, path, requestBytes) &&
		(path != downloadPath || len(body) == downloadBytes)
	if resp.StatusCode < http.StatusMultipleChoices && !whole {
		c.s.checker.addViolation("whole answers", "request %s got status %d with a body of %d bytes: %.200q", id, resp.StatusCode, len(body), body)
	}
	return resp.StatusCode
}
