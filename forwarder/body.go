package forwarder

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBufferedBytes is the largest body that is buffered before it is sent, so
// that it can be sent again in a retry.
const maxBufferedBytes = 64 << 10

// copyBufferBytes is the size of the buffers with which response bodies are
// copied.
const copyBufferBytes = 64 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// requestBody streams a caller's body and records whether any of it was read. A
// read times out if the caller sends nothing for stallTimeout.
type requestBody struct {
	body         io.ReadCloser
	stallTimeout time.Duration
	// readStarted is set by the first read.
	readStarted atomic.Bool
	// complete is set when the body was read to its end.
	complete atomic.Bool

	// mu guards the read deadline of the caller's connection.
	mu   sync.Mutex
	ctrl *http.ResponseController
	// detached is set when the call ends. After that the connection may already
	// carry the next call while the transport still holds this body.
	detached bool
}

// newRequestBody returns the body of a request, limited to the table's
// maxBodyBytes.
func newRequestBody(w http.ResponseWriter, r *http.Request, t *table, stallTimeout time.Duration) *requestBody {
	b := &requestBody{body: r.Body, stallTimeout: stallTimeout, ctrl: http.NewResponseController(w)}
	if t != nil {
		b.body = http.MaxBytesReader(w, r.Body, t.maxBodyBytes)
	}
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	b.setDeadline(time.Now().Add(b.stallTimeout))
	n, err := b.body.Read(p)
	if err == io.EOF {
		// From here on the server watches the idle connection with a background
		// read, and a deadline left in place would cancel the call.
		b.complete.Store(true)
		b.setDeadline(time.Time{})
	}
	return n, err
}

// Close does nothing, so that a retry can still send the caller's body. The
// server closes the body when the call ends.
func (b *requestBody) Close() error { return nil }

// detach ends the use of the caller's connection. The server then drains the
// rest of the body before the next call; detach limits that as well.
func (b *requestBody) detach() {
	if !b.complete.Load() {
		b.setDeadline(time.Now().Add(b.stallTimeout))
		// The response is written after the drain.
		_ = b.ctrl.SetWriteDeadline(time.Now().Add(2 * b.stallTimeout))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
}

func (b *requestBody) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.detached {
		_ = b.ctrl.SetReadDeadline(t)
	}
}

// readIfSmall reads a body of known length up to maxBufferedBytes. It returns
// nil, and reads nothing, for any other body.
func (b *requestBody) readIfSmall(length int64) ([]byte, error) {
	if length <= 0 || length > maxBufferedBytes {
		return nil, nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(b, data); err != nil {
		return nil, err
	}
	// Another read reaches the end of the body, which clears the deadline.
	_, _ = b.Read(make([]byte, 1))
	return data, nil
}

// copyBody copies the body of a response to the caller and returns the number
// of bytes written. It flushes after each write if the response has no
// Content-Length, since it may be a stream. The claim, unless it is nil,
// records the beginning of the body. An error in writing is a callerWriteError.
func copyBody(w http.ResponseWriter, resp *http.Response, stallTimeout time.Duration, cl *claim) (int64, error) {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	ctrl := http.NewResponseController(w)
	flush := resp.ContentLength < 0
	var total int64
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			if cl != nil {
				cl.recordBody(buf[:n])
			}
			setWriteDeadline(ctrl, stallTimeout)
			written, werr := w.Write(buf[:n])
			total += int64(written)
			if werr != nil {
				return total, callerWriteError{werr}
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

// setWriteDeadline limits the time of the next write to the caller. Each
// response has to set it, because the connection keeps the deadline of the
// previous one.
func setWriteDeadline(ctrl *http.ResponseController, timeout time.Duration) {
	_ = ctrl.SetWriteDeadline(time.Now().Add(timeout))
}

// callerWriteError is an error in writing to the caller.
type callerWriteError struct{ cause error }

// Error implements error.
func (e callerWriteError) Error() string { return "write to caller: " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e callerWriteError) Unwrap() error { return e.cause }
