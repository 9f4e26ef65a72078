// Package validator checks the responses that an HTTP/1.1 client receives.
//
// The parser of net/http is lenient: it passes on responses that other clients reject, or
// that they understand in another way. A proxy must not forward those. The check is made
// on the bytes that a connection receives, so it doesn't depend on the parser:
//
//	client := &http.Client{Transport: validator.NewTransport(&http.Transport{})}
//
// A client with a parser of its own uses a [Conn], and tells it when a response is due.
// Clients must not ask for a switch of protocols.
package validator

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of reads from a connection whose peer has sent a response
// that violates the protocol.
var ErrInvalid = errors.New("invalid response")

// Conn is a client's connection to an HTTP/1.1 server. Its reads fail once a response has
// violated the protocol, and they return [io.EOF] only if the server has ended the
// connection properly: a response without a length ends there.
type Conn struct {
	net.Conn

	// mu guards head: a client may announce a response while it waits for bytes.
	mu   sync.Mutex
	head head

	// writeMu is held during writes. It guards writeErr.
	writeMu sync.Mutex
	// writeErr is the first error of a write that the client has not caused itself.
	writeErr error
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
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// Write implements [io.Writer].
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.IsAny(err, os.ErrDeadlineExceeded, net.ErrClosed) {
		c.writeErr = err
	}
	return n, err
}

// endOfStream returns the error of a read that has found no more bytes. The system reports
// a reset only once: if a write gets the error, a read finds the end of the stream, as if
// the server had closed the connection.
func (c *Conn) endOfStream() error {
	// A write that is under way may have got the error. It must not wait for a server
	// that doesn't read; no further response can follow.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "connection ended after a failed write")
	}
	return io.EOF
}
