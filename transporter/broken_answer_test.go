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
