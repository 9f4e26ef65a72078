package transporter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/validator/violator"
)

// A response that violates the protocol leaves open whether the request ran, and its
// connection is closed. That holds also behind a response to an earlier request, with
// which it may have been received.
func TestInvalidResponsesAreAnswers(t *testing.T) {
	for name, invalid := range violator.Responses(http.StatusOK, "Id: 1\r\n", "body") {
		for _, stale := range []string{"", response("7", "stale")} {
			t.Run(name, func(t *testing.T) {
				p := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					readRequest(r)
					_, _ = io.WriteString(conn, stale+invalid)
				})
				a, err := send(t, p, newRequest("1"))
				if !errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent) {
					t.Errorf("stale %q: got %+v, %v", stale, a, err)
				}
				if p.OpenConnections() != 0 {
					t.Errorf("stale %q: %d connections are still open", stale, p.OpenConnections())
				}
			})
		}
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
	for name, maxBuffered := range map[string]int{"whole": 0, "streamed": 2} {
		t.Run(name, func(t *testing.T) {
			p := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			complete := 0
			for range uploads {
				r := upload()
				r.MaxBuffered = maxBuffered
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
