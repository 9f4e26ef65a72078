package transporter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/validator/violator"
)

// A response that violates the protocol leaves open whether the request ran, and its
// connection is closed, whether or not the target closes it. That holds also behind a
// response to an earlier request, with which it may have been received, and while the body
// of the request is on its way.
func TestInvalidResponsesAreAnswers(t *testing.T) {
	type variant struct {
		name     string
		request  Request
		stale    string
		keepOpen bool
	}
	var variants []variant
	for name, request := range map[string]Request{"lookup": newRequest("1"), "upload": upload()} {
		for _, stale := range []string{"", response("7", "stale")} {
			for _, keepOpen := range []bool{false, true} {
				variants = append(variants, variant{fmt.Sprintf("%s, stale %q, open %v", name, stale, keepOpen), request, stale, keepOpen})
			}
		}
	}
	for name, invalid := range violator.Responses(http.StatusOK, "Id: 1\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			for _, v := range variants {
				closed := make(chan struct{})
				p := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					defer close(closed)
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, v.stale+invalid)
					if v.keepOpen {
						_, _ = io.Copy(io.Discard, r) // until the entry closes the connection
					}
				})
				a, err := send(t, p, v.request)
				if !errors.Is(err, ErrNoResponse) || errors.IsAny(err, ErrNotSent, context.DeadlineExceeded, os.ErrDeadlineExceeded) {
					t.Fatalf("%s: got %+v, %v", v.name, a, err)
				}
				if p.OpenConnections() != 0 {
					t.Errorf("%s: %d connections are still open", v.name, p.OpenConnections())
				}
				<-closed
			}
		})
	}
}

// upload returns a request with a body that fills the buffers of a connection.
func upload() Request {
	r := newRequest("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 16<<20)
	r.Length = int64(len(r.Body))
	return r
}

// A target that responds to a long body without a length and resets the connection has
// not responded: what was received may be a part. That holds for bodies that are read
// before they are passed on, and for those that are streamed.
func TestResponseResetDuringUploadIsComplete(t *testing.T) {
	const uploads = 40
	for _, c := range []struct {
		name, framing, part string
		maxBuffered         int
	}{
		{"whole", "", "part", 0},
		{"streamed", "", "part", 2},
		{"whole, of known length", "Content-Length: 9\r\n", "part", 0},
		{"streamed, of known length", "Content-Length: 9\r\n", "part", 2},
		{"whole, in chunks", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", 0},
		{"streamed, in chunks", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+c.framing+"\r\n"+c.part)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			complete := 0
			for range uploads {
				r := upload()
				r.MaxBuffered = c.maxBuffered
				a, err := send(t, p, r)
				if err != nil {
					continue
				}
				if a.Rest != nil {
					_, err = io.ReadAll(a.Rest)
				}
				a.Finish(false)
				if err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d parts of a response are complete", complete, uploads)
			}
			if p.OpenConnections() != 0 {
				t.Errorf("%d connections are still open", p.OpenConnections())
			}
		})
	}
}

// A target that responds to a long body without a length and then ends its side of the
// connection has responded, although it hasn't received the whole body.
func TestResponseEndedDuringUploadIsTruncated(t *testing.T) {
	done := make(chan struct{})
	p := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-done
	})
	defer close(done)
	if a, err := send(t, p, upload()); err != nil || string(a.Body) != "whole" {
		t.Errorf("got %+v, %v", a, err)
	}
}
