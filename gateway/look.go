package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/carrier"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
)

const (
	// nearLooks and farLooks are how many targets are asked for their load
	// before a request is sent.
	nearLooks = 3
	farLooks  = 3
	// lookGrace is how long the others have once one target has answered: a
	// little more than a health check takes between data centres.
	lookGrace = 6 * time.Millisecond
	// lookTimeout is how long a target has to answer a health check. It is
	// longer than the grace, so that a slow one is not taken for a dead one.
	lookTimeout = 250 * time.Millisecond
)

// candidate is a target that has just answered a health check, with the
// connection that it answered on.
type candidate struct {
	target *placer.Target
	conn   *carrier.Conn
}

// look asks targets for their load, all at the same time. It returns those that
// answered soon. The others go on in the background, and are noted.
func (g *Gateway) look(ctx context.Context, s *service, targets []*placer.Target) []candidate {
	if len(targets) == 0 {
		return nil
	}
	targets = targets[:s.probeLimiter.Take(len(targets), time.Now())]
	answers := make(chan candidate)
	quit := make(chan struct{})
	defer close(quit)
	for _, t := range targets {
		go func() {
			c := candidate{target: t, conn: g.check(s, t)}
			select {
			case answers <- c:
			case <-quit:
				if c.conn != nil {
					c.conn.Release()
				}
			}
		}()
	}
	var found []candidate
	var grace <-chan time.Time
	for range targets {
		select {
		case c := <-answers:
			if c.conn == nil {
				continue
			}
			found = append(found, c)
			if grace == nil {
				timer := time.NewTimer(lookGrace)
				defer timer.Stop()
				grace = timer.C
			}
		case <-grace:
			return found
		case <-ctx.Done():
			return found
		}
	}
	return found
}

// check asks one target for its load and returns the connection that it
// answered on, or nil. A kept connection that its target has dropped meanwhile
// is replaced by a new one.
func (g *Gateway) check(s *service, t *placer.Target) *carrier.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	pool := s.pool(t)
	conn, err := pool.Lease(ctx)
	if err == nil && conn.Reused() {
		if g.ask(ctx, s, t, conn) {
			return conn
		}
		if ctx.Err() == nil {
			conn, err = pool.LeaseNew(ctx)
		}
	}
	switch {
	case errors.Is(err, carrier.ErrBusy):
		return nil
	case err == nil && ctx.Err() == nil && g.ask(ctx, s, t, conn):
		return conn
	}
	s.placer.Miss(t, time.Now())
	return nil
}

// ask sends a health check on a connection and reports what the target says.
// It closes the connection unless the answer is good for anything.
func (g *Gateway) ask(ctx context.Context, s *service, t *placer.Target, conn *carrier.Conn) bool {
	a, err := conn.Exchange(ctx, carrier.Request{
		Method: http.MethodGet,
		URI:    s.config.HealthPath,
		Host:   t.Address.String(),
	})
	if err != nil || a.Rest != nil || platform.Sealed(a.Header) {
		conn.Close()
		return false
	}
	now := time.Now()
	if id := platform.Instance(a.Header); id != "" && id != string(t.Name) {
		// Another target has the address now.
		conn.Close()
		s.placer.Miss(t, now)
		return false
	}
	r := placer.Report{Ill: a.Status != http.StatusOK}
	r.Load, r.HasLoad = platform.Load(a.Header)
	r.Warmup, r.HasWarmup = platform.Warmup(a.Header)
	s.placer.Report(t, r, now)
	if conn.Spoiled() {
		conn.Close()
		return false
	}
	return true
}
