package gateway

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/placer"
)

// silenceInterval is the time between two looks whether the target of a request under way
// has responded to health checks meanwhile.
const silenceInterval = 600 * time.Millisecond

// errSilent means that the target of a request under way doesn't respond.
var errSilent = errors.New("the target of a request under way doesn't respond")

// silenceWatch looks now and then whether the target of an attempt still responds to
// health checks. One that has ended without closing its connections says nothing until
// the request's deadline.
type silenceWatch struct {
	call   *call
	target *placer.Target

	mu sync.Mutex
	// timer starts the next look. It is not reset once stopped is set.
	timer   *time.Timer
	stopped bool
	// lookedAt is the time of the latest look, or of the start.
	lookedAt time.Time
}

// watchSilence starts a watch of the target of an attempt.
func (c *call) watchSilence(t *placer.Target) *silenceWatch {
	w := &silenceWatch{call: c, target: t, lookedAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceInterval, w.look)
	return w
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// look checks the target unless it has responded to another health check since the look
// before.
func (w *silenceWatch) look() {
	at, c := time.Now(), w.call
	if c.service.placer.HeardAt(w.target).Before(w.lookedAt) {
		if v := c.g.checkEnd(c.service, w.target); (v == endSilent || v == endConfirmed) && !w.isStopped() {
			c.note(w.target, at, errSilent, v)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lookedAt = at
	if !w.stopped {
		w.timer.Reset(silenceInterval)
	}
}

// isStopped reports whether the attempt has ended.
func (w *silenceWatch) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}
