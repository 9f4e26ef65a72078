package transporter

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Whatever bytes a target answers with, an exchange ends with a response to its own
// request or an error, holds no more than its buffers allow, and leaves no memory
// reserved.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		response("1", "body"),
		response("1", "body") + response("1", "again"),
		response("7", "other") + response("1", "own"),
		"HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", ""),
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\nabc",
		"HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\nabc",
		"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.0 200\r\nKeep-Alive: timeout=-1, max=x\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 000 \r\nId: 1\r\n\r\n" + response("1", "body"),
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 3\r\n\r\nabc",
		"\x00\xff",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		const size = 64 << 10
		entry, target := net.Pipe()
		go func() {
			defer target.Close()
			req := readRequest(bufio.NewReader(target))
			if req == nil {
				return
			}
			_, _ = target.Write(data) // the entry may have closed the connection
		}()
		p := &Pool{limit: 1, open: 1, buffers: NewBuffers(size)}
		c := newConn(p, entry)
		r := newRequest("1")
		if head {
			r.Method = "HEAD"
		}
		a, err := c.Send(t.Context(), r)
		if (a == nil) == (err == nil) {
			t.Fatalf("%+v, %v", a, err)
		}
		if a != nil {
			if a.Status < http.StatusOK || a.Status >= 600 {
				t.Errorf("status %d", a.Status)
			}
			for name := range a.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Errorf("field %q", name)
				}
			}
			if id := a.Header.Get("Id"); id != "" && id != "1" {
				t.Errorf("the response of request %q", id)
			}
			if len(a.Body) > size+freeBufferedBody {
				t.Errorf("%d bytes are buffered", len(a.Body))
			}
			a.Finish(false)
		}
		if p.buffers.Free() != size {
			t.Errorf("%d of %d bytes are free", p.buffers.Free(), size)
		}
		p.Expire(time.Now().Add(time.Hour))
		if p.open != 0 {
			t.Errorf("%d connections are open", p.open)
		}
	})
}
