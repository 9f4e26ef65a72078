package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/transporter"
)

const (
	// nearProbes and farProbes are the numbers of targets in the entry's data
	// centre and in others that are probed before a request is sent.
	nearProbes = 3
	farProbes  = 3
	// probeGrace is how long the remaining targets have once the first one has
	// answered: a little more than a health check takes between data centres.
	probeGrace = 6 * time.Millisecond
	// probeTimeout is how long a target has to answer a health check. It is
	// longer than probeGrace, so that a slow target is not taken for a dead one.
	probeTimeout = 250 * time.Millisecond
	// maxHealthBody is the size, in bytes, from which the body of an answer to a
	// health check makes it invalid.
	maxHealthBody = 4 << 10
)

// candidate is a target that has just answered a health check, with the leased
// connection that carried the answer.
type candidate struct {
	target *placer.Target
	conn   *transporter.Conn
}

// probeTargets sends health checks to targets in parallel, to as many as the
// service's probe limit allows. It returns the targets that answered within
// probeGrace of the first answer. The remaining checks finish in the background,
// and their results are still reported to the placer.
func (g *Gateway) probeTargets(ctx context.Context, s *service, targets []*placer.Target) []candidate {
	if len(targets) == 0 {
		return nil
	}
	targets = targets[:s.probeLimiter.Take(len(targets), time.Now())]
	answers := make(chan candidate)
	done := make(chan struct{})
	defer close(done)
	for _, t := range targets {
		go func() {
			c := candidate{target: t, conn: g.probe(s, t)}
			select {
			case answers <- c:
			case <-done:
				if c.conn != nil {
					c.conn.Release()
				}
			}
		}()
	}
	var candidates []candidate
	var grace <-chan time.Time
	for range targets {
		select {
		case c := <-answers:
			if c.conn == nil {
				continue
			}
			candidates = append(candidates, c)
			if grace == nil {
				timer := time.NewTimer(probeGrace)
				defer timer.Stop()
				grace = timer.C
			}
		case <-grace:
			return candidates
		case <-ctx.Done():
			return candidates
		}
	}
	return candidates
}

// probe sends a health check to one target and returns the leased connection
// that carried the answer, or nil. If the check fails on a reused connection,
// which the target may have closed in the meantime, it is repeated on a new one.
func (g *Gateway) probe(s *service, t *placer.Target) *transporter.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	pool := s.pool(t)
	conn, err := pool.Lease(ctx)
	if err == nil && conn.Reused() {
		if g.probeConn(ctx, s, t, conn) {
			return conn
		}
		if ctx.Err() == nil {
			conn, err = pool.LeaseNew(ctx)
		}
	}
	switch {
	case errors.Is(err, transporter.ErrBusy):
		return nil
	case err == nil && ctx.Err() == nil && g.probeConn(ctx, s, t, conn):
		return conn
	}
	s.placer.Miss(t, time.Now())
	return nil
}

// probeConn sends a health check on a connection and reports the target's state
// and load to the placer. It returns false, and closes the connection, if the
// answer is invalid or the connection can't carry a request.
func (g *Gateway) probeConn(ctx context.Context, s *service, t *placer.Target, conn *transporter.Conn) bool {
	askedAt := time.Now()
	a, err := conn.Exchange(ctx, transporter.Request{
		Method: http.MethodGet,
		URI:    s.config.HealthPath,
		Host:   t.Address.String(),

		MaxBuffered: maxHealthBody,
	})
	if err != nil || a.Rest != nil || platform.Sealed(a.Header) {
		conn.Close()
		return false
	}
	now := time.Now()
	if id := platform.Instance(a.Header); id != "" && id != string(t.Name) {
		// The address now belongs to another target.
		conn.Close()
		s.placer.Miss(t, now)
		return false
	}
	report := placer.Report{Ill: a.Status != http.StatusOK}
	report.Load, report.HasLoad = platform.Load(a.Header)
	report.Warmup, report.HasWarmup = platform.Warmup(a.Header)
	report.Limit = limitReport(a.Header, a.Status == http.StatusOK, askedAt)
	s.placer.Report(t, report, now)
	if conn.Spoiled() {
		conn.Close()
		return false
	}
	return true
}
