package soaker

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"savoryroad.dev/platform/standin"
)

// clinger sends requests on one connection to an entry, and on the next one only when that
// is closed. It doesn't heed answers that ask for the connection to be closed.
type clinger struct {
	*caller
	process *process
	conn    net.Conn
	r       *bufio.Reader
}

// runClinger sends requests that may run once until the context ends.
func (s *Soaker) runClinger(ctx context.Context) {
	c := &clinger{caller: newCaller(s)}
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			time.Sleep(meanCallInterval)
			continue
		}
		c.post(ctx)
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(meanCallInterval)))
	}
}

// dial connects to a random entry. It reports whether it could.
func (c *clinger) dial(ctx context.Context) bool {
	c.process = c.s.processes[c.rand.IntN(len(c.s.processes))]
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.process.address().String())
	if err != nil {
		return false // the process is not running
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return true
}

// close closes the connection.
func (c *clinger) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// post sends a request and records its outcome. It closes the connection if there is no
// complete response.
func (c *clinger) post(ctx context.Context) {
	const path, body = "/u/cling", "pay"
	c.requests++
	id := fmt.Sprintf("%d-%d-%d", c.s.options.Seed, c.number, c.requests)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	c.observe(callCtx, c.process, id, path, false, func() int {
		status := c.exchange(id, path, body)
		if status == 0 {
			c.close()
		}
		return status
	})
}

// exchange sends a request and returns the status of its response, or 0 without a complete
// one.
func (c *clinger) exchange(id, path, body string) int {
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return 0
	}
	req, err := standin.NewRequest(context.Background(), http.MethodPost, "http://"+c.process.address().String()+path, host, id, callTimeout, []byte(body))
	if err != nil {
		c.s.checker.addViolation("soak", "request %s: %v", id, err)
		return 0
	}
	if err := req.Write(c.conn); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return 0
	}
	return c.readResponse(resp, id, path, len(body))
}
