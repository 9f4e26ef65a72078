package forwarder

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// copyBufferBytes is the size of the pieces in which bodies are passed on.
const copyBufferBytes = 64 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// requestBody passes a caller's body on and remembers whether any of it was
// read. A caller that stops sending is cut off after the stall timeout.
type requestBody struct {
	body  io.ReadCloser
	stall time.Duration
	// touched is set by the first read.
	touched atomic.Bool

	// mu guards the deadline of the caller's connection.
	mu   sync.Mutex
	ctrl *http.ResponseController
	// ended is set when the call ends. The connection may then carry the next
	// call, while the transport still holds this body.
	ended bool
}

// Read reads the next piece of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	b.setDeadline(time.Now().Add(b.stall))
	n, err := b.body.Read(p)
	if err != nil {
		// The server watches the idle connection from here on; a deadline
		// left in place would cancel the call.
		b.setDeadline(time.Time{})
	}
	return n, err
}

// Close leaves the caller's body open, so that a repeat can still send it; the
// server closes it when the call ends.
func (b *requestBody) Close() error { return nil }

// end gives the connection's deadline back.
func (b *requestBody) end() {
	b.setDeadline(time.Time{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *requestBody) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.ctrl.SetReadDeadline(t)
	}
}

// copyBody passes an answer on piece by piece. It flushes every piece of a
// body whose length was not announced, since such bodies may be streams.
func copyBody(w http.ResponseWriter, resp *http.Response, stall time.Duration) (int64, error) {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	ctrl := http.NewResponseController(w)
	flush := resp.ContentLength < 0
	var total int64
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			setWriteDeadline(ctrl, stall)
			written, werr := w.Write(buf[:n])
			total += int64(written)
			if werr != nil {
				return total, errCallerGone{werr}
			}
			if flush {
				_ = ctrl.Flush()
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// setWriteDeadline bounds the next write to the caller. Each answer sets it
// anew, since the connection keeps the deadline of the call before.
func setWriteDeadline(ctrl *http.ResponseController, stall time.Duration) {
	_ = ctrl.SetWriteDeadline(time.Now().Add(stall))
}

// errCallerGone is a failed write to the caller.
type errCallerGone struct{ cause error }

// Error describes the failed write.
func (e errCallerGone) Error() string { return "caller: " + e.cause.Error() }

// Unwrap returns the error of the write.
func (e errCallerGone) Unwrap() error { return e.cause }
