// Package validator checks the responses that an HTTP/1.1 client receives.
//
// The parser of net/http is lenient: it passes on responses that other clients reject, or
// that they understand in another way. A proxy must not forward those. The check is made
// on the bytes that a connection receives, so it doesn't depend on the parser:
//
//	client := &http.Client{Transport: validator.NewTransport(&http.Transport{})}
//
// A client with a parser of its own uses a [Conn], and tells it when a response is due.
package validator

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of reads from a connection whose peer has sent a response
// that violates the protocol.
var ErrInvalid = errors.New("invalid response")

// Conn is a client's connection to an HTTP/1.1 server. Its reads fail once a response has
// violated the protocol.
type Conn struct {
	net.Conn

	// mu guards head: a client may announce a response while it waits for bytes.
	mu   sync.Mutex
	head head
}

// NewConn returns a connection that checks the responses received over another one. The
// first bytes must be those of a response.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, head: head{state: inVersion}} }

// ExpectResponse announces that the next bytes are those of a response, with the
// informational ones before it. Received holds those that were read from the connection
// before; it returns an error if they violate the protocol.
func (c *Conn) ExpectResponse(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{state: inVersion}
	return c.head.check(received)
}

// Read implements [io.Reader].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	invalid := c.head.check(p[:n])
	c.mu.Unlock()
	if invalid != nil {
		return 0, invalid
	}
	return n, err
}
