package validator

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endedConn is a connection that has been reset or closed. Reads find the end of the
// stream at once. A write waits until its deadline is set, and then returns an error.
type endedConn struct {
	net.Conn
	writeErr error
	writing  chan struct{}
	deadline chan struct{}
}

// Read implements [net.Conn].
func (*endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements [net.Conn].
func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.deadline
	return 0, c.writeErr
}

// SetWriteDeadline implements [net.Conn].
func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// Where a write has got the error of a reset, or is about to return it, the end of the
// stream isn't that of a response. A write that is given up changes nothing.
func TestFailedWriteEndsStream(t *testing.T) {
	for _, writeErr := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, os.ErrDeadlineExceeded, net.ErrClosed} {
		t.Run(writeErr.Error(), func(t *testing.T) {
			c := NewConn(&endedConn{writeErr: &net.OpError{Op: "write", Err: writeErr}, writing: make(chan struct{}), deadline: make(chan struct{})})
			written := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("x"))
				written <- err
			}()
			<-c.Conn.(*endedConn).writing
			_, err := c.Read(make([]byte, 1))
			if werr := <-written; !errors.Is(werr, writeErr) {
				t.Errorf("write: %v", werr)
			}
			want := writeErr
			if writeErr == os.ErrDeadlineExceeded || writeErr == net.ErrClosed {
				want = io.EOF
			}
			if !errors.Is(err, want) || (want != io.EOF && errors.Is(err, io.EOF)) {
				t.Errorf("read: %v, want %v", err, want)
			}
		})
	}
}
