package carrier

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// serve starts a server that hands each connection to a function, with the
// number of connections before it.
func serve(t *testing.T, handle func(n int, conn net.Conn, r *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return NewPool(netip.MustParseAddrPort(l.Addr().String()), 4)
}

// next reads a request with its body; it returns nil at the end.
func next(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	return req
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) Request {
	return Request{Method: http.MethodGet, URI: "/x?y=%20z", Host: "h", Header: http.Header{"Id": {id}}, ID: id, IDHeader: "Id"}
}

func send(t *testing.T, p *Pool, r Request) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := p.Lease(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return conn.Send(ctx, r)
}

func TestSendKeepsTheConnection(t *testing.T) {
	connections := 0
	p := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
		connections = n + 1
		for req := next(r); req != nil; req = next(r) {
			io.WriteString(conn, answer(req.Header.Get("Id"), req.Method+" "+req.RequestURI))
		}
	})
	for _, id := range []string{"1", "2", "3"} {
		a, err := send(t, p, request(id))
		if err != nil || string(a.Body) != "GET /x?y=%20z" {
			t.Fatalf("answer %+v, %v", a, err)
		}
	}
	if connections != 1 {
		t.Errorf("%d connections for three requests", connections)
	}
}

// An answer to an earlier request is never taken for that to the latest one,
// and the connection that brought it carries nothing more.
func TestStrayAnswersAreReadOver(t *testing.T) {
	for _, c := range []struct{ name, stray string }{
		{"twice in one piece", answer("1", "again")},
		{"late", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for i := 0; ; i++ {
					req := next(r)
					if req == nil {
						return
					}
					id := req.Header.Get("Id")
					if c.stray == "" && id == "2" {
						io.WriteString(conn, answer("1", "late"))
					}
					out := answer(id, "own "+id)
					if id == "1" {
						out += c.stray
					}
					io.WriteString(conn, out)
				}
			})
			for _, id := range []string{"1", "2", "3"} {
				a, err := send(t, p, request(id))
				if err != nil || string(a.Body) != "own "+id {
					t.Fatalf("request %s got %+v, %v", id, a, err)
				}
			}
		})
	}
}

func TestBrokenAnswersAreNoAnswers(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"cut short", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf"},
		{"no HTTP", "what?\r\n\r\n"},
		{"nothing", ""},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"another request's", answer("7", "x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				next(r)
				io.WriteString(conn, c.answer)
			})
			a, err := send(t, p, request("1"))
			if !errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent) {
				t.Errorf("got %+v, %v", a, err)
			}
			if p.OpenConnections() != 0 {
				t.Errorf("%d connections stay open", p.OpenConnections())
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	p := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		next(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
	})
	if a, err := send(t, p, request("1")); err != nil || string(a.Body) != "whole" {
		t.Errorf("got %+v, %v", a, err)
	}
	p = serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		next(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		conn.(*net.TCPConn).SetLinger(0)
	})
	if a, err := send(t, p, request("1")); err == nil {
		t.Errorf("an answer that ends with a reset is taken for whole: %+v", a)
	}
}

// A target that answers a long body early reads on. It must get no other
// bytes where the rest of the body is due.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	after := make(chan int, 1)
	p := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(conn, answer(req.Header.Get("Id"), "early"))
		if n == 0 {
			time.Sleep(20 * time.Millisecond)
			rest, _ := io.Copy(io.Discard, r)
			after <- int(rest)
		}
	})
	r := request("1")
	r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("b"), 32<<20)
	r.Length = int64(len(r.Body))
	a, err := send(t, p, r)
	if err != nil || string(a.Body) != "early" {
		t.Fatalf("got %+v, %v", a, err)
	}
	if _, err := send(t, p, request("2")); err != nil {
		t.Fatal(err)
	}
	if got := <-after; got > len(r.Body) {
		t.Errorf("%d bytes after the headers of a body of %d", got, len(r.Body))
	}
}

func TestBodies(t *testing.T) {
	p := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for req := next(r); req != nil; req = next(r) {
			body, _ := io.ReadAll(req.Body)
			io.WriteString(conn, answer(req.Header.Get("Id"), fmt.Sprint(len(body), req.ContentLength)))
		}
	})
	for _, c := range []struct {
		body   string
		rest   io.Reader
		length int64
		want   string
	}{
		{"", nil, 0, "0 0"},
		{"abc", nil, 3, "3 3"},
		{strings.Repeat("a", 100_000), nil, 100_000, "100000 100000"},
		{"abc", strings.NewReader("def"), 6, "6 6"},
		{"abc", strings.NewReader("def"), -1, "6 -1"},
	} {
		r := request("1")
		r.Method, r.Body, r.Rest, r.Length = http.MethodPost, []byte(c.body), c.rest, c.length
		if a, err := send(t, p, r); err != nil || string(a.Body) != c.want {
			t.Errorf("length %d: %+v, %v, want %s", c.length, a, err, c.want)
		}
	}
}

func TestLongAnswersAreStreamed(t *testing.T) {
	long := strings.Repeat("a", maxBufferedBody+1000)
	p := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for req := next(r); req != nil; req = next(r) {
			io.WriteString(conn, answer(req.Header.Get("Id"), long))
		}
	})
	for range 2 {
		a, err := send(t, p, request("1"))
		if err != nil || a.Rest == nil || a.Length != int64(len(long)) {
			t.Fatalf("got %v, %v", a, err)
		}
		rest, err := io.ReadAll(a.Rest)
		if err != nil || len(a.Body)+len(rest) != len(long) {
			t.Errorf("%d bytes, %v", len(a.Body)+len(rest), err)
		}
		a.Finish(true)
	}
	if p.OpenConnections() != 1 {
		t.Errorf("%d connections", p.OpenConnections())
	}
}

func TestCancelEndsTheConnection(t *testing.T) {
	gone := make(chan struct{})
	p := serve(t, func(n int, _ net.Conn, r *bufio.Reader) {
		next(r)
		next(r)
		if n == 0 {
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := p.Lease(ctx)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := conn.Send(ctx, request("1")); err == nil {
		t.Error("a cancelled request has an answer")
	}
	<-gone
	if conn, err = p.Lease(t.Context()); err != nil {
		t.Fatal(err)
	}
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	if _, err := conn.Send(cancelled, request("2")); !errors.Is(err, ErrNotSent) {
		t.Errorf("a request of a caller that is gone: %v", err)
	}
}

func TestPoolKeepsItsLimit(t *testing.T) {
	p := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for req := next(r); req != nil; req = next(r) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p.SetLimit(1)
	conn, err := p.Lease(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Lease(t.Context()); !errors.Is(err, ErrBusy) {
		t.Errorf("a second connection: %v", err)
	}
	if _, err := conn.Send(t.Context(), request("1")); err != nil {
		t.Fatal(err)
	}
	p.Expire(time.Now().Add(900 * time.Millisecond))
	if p.OpenConnections() != 1 {
		t.Error("a connection is closed before its time")
	}
	p.Expire(time.Now().Add(1100 * time.Millisecond))
	if p.OpenConnections() != 0 {
		t.Error("a connection is kept though its target closes it soon")
	}
}
