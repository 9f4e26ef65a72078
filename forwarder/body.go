package forwarder

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBufferedBytes is the largest body that is read whole before it is sent,
// so that it can be sent again.
const maxBufferedBytes = 64 << 10

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
	// whole is set once the body was read to its end.
	whole atomic.Bool

	// mu guards the deadline of the caller's connection.
	mu   sync.Mutex
	ctrl *http.ResponseController
	// ended is set when the call ends. The connection may then carry the next
	// call, while the transport still holds this body.
	ended bool
}

// newRequestBody returns the body of a request, bounded as the table says.
func newRequestBody(w http.ResponseWriter, r *http.Request, t *table, stall time.Duration) *requestBody {
	b := &requestBody{body: r.Body, stall: stall, ctrl: http.NewResponseController(w)}
	if t != nil {
		b.body = http.MaxBytesReader(w, r.Body, t.maxBody)
	}
	return b
}

// Read reads the next piece of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	b.setDeadline(time.Now().Add(b.stall))
	n, err := b.body.Read(p)
	if err == io.EOF {
		// The server watches the idle connection from here on; a deadline
		// left in place would cancel the call.
		b.whole.Store(true)
		b.setDeadline(time.Time{})
	}
	return n, err
}

// Close leaves the caller's body open, so that a repeat can still send it; the
// server closes it when the call ends.
func (b *requestBody) Close() error { return nil }

// end lets go of the connection. The server reads what is left of the body
// before the next call; that is bounded too.
func (b *requestBody) end() {
	if !b.whole.Load() {
		b.setDeadline(time.Now().Add(b.stall))
		// The answer is written after that.
		_ = b.ctrl.SetWriteDeadline(time.Now().Add(2 * b.stall))
	}
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

// readSmall reads a small body of known length whole. It returns nil for any
// other body.
func (b *requestBody) readSmall(length int64) ([]byte, error) {
	if length <= 0 || length > maxBufferedBytes {
		return nil, nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(b, data); err != nil {
		return nil, err
	}
	// One more read finds the end, and with it lets the deadline go.
	_, _ = b.Read(make([]byte, 1))
	return data, nil
}

// copyBody passes an answer on piece by piece. It flushes every piece of a
// body whose length was not announced, since such bodies may be streams. A
// claim, if there is one, keeps the beginning.
func copyBody(w http.ResponseWriter, resp *http.Response, stall time.Duration, cl *claim) (int64, error) {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	ctrl := http.NewResponseController(w)
	flush := resp.ContentLength < 0
	var total int64
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			if cl != nil {
				cl.keep(buf[:n])
			}
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
