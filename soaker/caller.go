package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"savoryroad.dev/platform/standin"
)

// caller calls entries over connections that it keeps until they end.
type caller struct {
	s      *Soaker
	rand   *rand.Rand
	number uint64
	sent   int
	client *http.Client
}

// newCaller returns a caller whose requests have ids that no other's have.
func newCaller(s *Soaker) *caller {
	number := s.numbered.Add(1)
	return &caller{
		s: s, number: number, rand: rand.New(rand.NewPCG(s.options.Seed, number)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// call calls random entries until the context ends.
func (s *Soaker) call(ctx context.Context) {
	c := newCaller(s)
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		p := s.processes[c.rand.IntN(len(s.processes))]
		switch c.rand.IntN(4) {
		case 0, 1:
			c.safe(ctx, p, "/a/x")
		case 2:
			c.send(ctx, p, http.MethodPost, "/u/x", []byte("pay"))
		default:
			c.send(ctx, p, http.MethodPut, "/l/x", make([]byte, uploadBytes))
		}
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(callPause)))
	}
}

// safe makes a request that may be repeated, and returns its status.
func (c *caller) safe(ctx context.Context, p *process, path string) int {
	return c.send(ctx, p, http.MethodGet, path, nil)
}

// send makes a request, notes what came of it, and returns the status; 0 stands
// for no whole answer.
func (c *caller) send(ctx context.Context, p *process, method, path string, body []byte) int {
	c.sent++
	id := fmt.Sprintf("%d-%d-%d", c.s.options.Seed, c.number, c.sent)
	// Only a call that has ended is noted, so the end of the run cuts none.
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), callDeadline)
	defer cancel()
	r, err := standin.NewRequest(within, method, "http://"+p.address().String()+path, host, id, callDeadline, body)
	if err != nil {
		c.s.checker.addViolation("soak", "request %s: %v", id, err)
		return 0
	}
	// The client must not send a request again by itself.
	r.GetBody = nil
	if body == nil {
		r.Body = nil
	} else {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	sent := time.Now()
	incarnation, _, _ := p.state(sent)
	reply := outcome{id: id, safe: method == http.MethodGet, entry: p.settings.Name, sentAt: sent}
	resp, err := c.client.Do(r)
	if err == nil {
		reply.status = c.take(resp, id, path, len(body))
	}
	now, calm, leaving := p.state(sent)
	reply.duringStop = leaving && calm && now == incarnation && within.Err() == nil
	c.s.checker.record(reply)
	return reply.status
}

// take reads an answer and checks that it is whole and the caller's own.
func (c *caller) take(resp *http.Response, id, path string, length int) int {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if resp.StatusCode < http.StatusMultipleChoices && (standin.Seal(resp.Header) == "" || !matchesRequest(string(body), id, path, length)) {
		c.s.checker.addViolation("whole answers", "request %s got %d with %q", id, resp.StatusCode, body)
	}
	return resp.StatusCode
}
