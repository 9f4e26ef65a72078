package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// heldAnswer is the [http.ResponseWriter] of a request that was started ahead of its turn.
// It holds the head of the answer. The body stays where the call has it, bounded by the
// buffers of the entry: a write waits for the turn.
type heldAnswer struct {
	conn     *pipelinedConn
	request  *http.Request
	received time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	// header and status are the head of the answer. They are complete once ready is
	// closed.
	header    http.Header
	status    int
	ready     chan struct{}
	readyOnce sync.Once
	// writer is where the body goes; set when its turn is closed.
	writer http.ResponseWriter
	turn   chan struct{}
	// ended is closed when the handler has returned. Then broken is set if the answer is
	// not complete, and declined if the handler has not begun: its route has changed.
	ended            chan struct{}
	broken, declined bool
}

// start serves a request ahead of its turn.
func (c *pipelinedConn) start(r *http.Request, readAt time.Time) *heldAnswer {
	a := &heldAnswer{
		conn: c, received: readAt, header: http.Header{},
		ready: make(chan struct{}), turn: make(chan struct{}), ended: make(chan struct{}),
	}
	// Only the caller's leaving ends the request: the contexts of the server end with the
	// requests that are served before.
	a.ctx, a.cancel = context.WithCancel(context.WithValue(withConnection(context.Background(), c), turnKey{}, a))
	r.RemoteAddr = c.RemoteAddr().String()
	a.request = r.WithContext(a.ctx)
	go a.serve()
	return a
}

// serve runs the handler.
func (a *heldAnswer) serve() {
	g := a.conn.p.g
	defer func() {
		if v := recover(); v != nil {
			a.broken = true
			if v != http.ErrAbortHandler {
				g.log.Error().Interface("Panic", v).Msg("request started ahead has failed")
			}
		}
		a.cancel()
		close(a.ended)
		a.readyOnce.Do(func() { close(a.ready) })
		a.conn.p.release()
	}()
	g.ServeHTTP(a, a.request)
	a.WriteHeader(http.StatusOK)
}

// Header implements [http.ResponseWriter].
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements [http.ResponseWriter].
func (a *heldAnswer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements [http.ResponseWriter]. It waits until the answers before this one are
// written.
func (a *heldAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.readyOnce.Do(func() { close(a.ready) })
	select {
	case <-a.turn:
		return a.writer.Write(p)
	case <-a.ctx.Done():
		return 0, errors.Wrap(a.ctx.Err(), "write held answer")
	}
}

// SetWriteDeadline does nothing: deliver sets the deadline when the turn has come.
func (a *heldAnswer) SetWriteDeadline(time.Time) error { return nil }

// deliver writes the answer, now that those before it are written. It returns false if the
// request has not been handled.
func (a *heldAnswer) deliver(w http.ResponseWriter, r *http.Request) bool {
	if r.Method != a.request.Method || r.RequestURI != a.request.RequestURI || r.Host != a.request.Host {
		a.conn.p.g.log.Error().Str("Path", r.URL.Path).Msg("request started ahead is not the one that was read")
		panic(http.ErrAbortHandler)
	}
	defer context.AfterFunc(r.Context(), a.cancel)()
	<-a.ready
	if a.hasEnded() {
		if a.declined {
			return false
		}
		if a.broken {
			panic(http.ErrAbortHandler)
		}
	}
	g := a.conn.p.g
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		g.log.Error().Err(err).Msg("can't set write deadline")
	}
	maps.Copy(w.Header(), a.header)
	if g.stopping.Load() && a.conn.endsConnection() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(a.status)
	a.writer = w
	close(a.turn)
	<-a.ended
	if a.broken {
		panic(http.ErrAbortHandler)
	}
	return true
}

// hasEnded reports whether the handler has returned.
func (a *heldAnswer) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// readAt implements turn.
func (a *heldAnswer) readAt() time.Time { return a.received }

// endsConnection implements turn. That is decided when the answer is written.
func (a *heldAnswer) endsConnection() bool { return false }
