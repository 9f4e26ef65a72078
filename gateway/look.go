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
			// A failed check has been reported to the placer.
			conn, _ := g.probe(s, t)
			c := candidate{target: t, conn: conn}
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

// Errors of health checks.
var (
	// errNotHealthCheck means that an answer doesn't answer a health check.
	errNotHealthCheck = errors.New("the answer doesn't answer a health check")
	// errOtherTarget means that the address belongs to another target by now.
	errOtherTarget = errors.New("another target has the address")
	// errSpoiled means that the connection can't carry a request.
	errSpoiled = errors.New("the connection can't carry a request")
)

// probe sends a health check to one target and returns the leased connection
// that carried the answer. If the check fails on a reused connection,
// which the target may have closed in the meantime, it is repeated on a new one.
func (g *Gateway) probe(s *service, t *placer.Target) (*transporter.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	pool := s.pool(t)
	conn, err := pool.Lease(ctx)
	if err == nil && conn.Reused() {
		if err = g.probeConn(ctx, s, t, conn); err == nil {
			return conn, nil
		}
		if ctx.Err() == nil {
			conn, err = pool.LeaseNew(ctx)
		}
	}
	if errors.Is(err, transporter.ErrBusy) {
		return nil, err
	}
	if err == nil {
		if err = g.probeConn(ctx, s, t, conn); err == nil {
			return conn, nil
		}
	}
	s.placer.Miss(t, time.Now())
	return nil, err
}

// answersHealthCheck reports whether an answer is known to be one to a health check. One to
// a request, and a refusal on a reused connection, may be an earlier answer that the target
// has sent again; the answer to the health check would then be taken for that to the next
// request.
func answersHealthCheck(a *transporter.Answer, reused bool) bool {
	id, _ := platform.RequestID(a.Header)
	return a.Rest == nil && id == "" && !platform.Sealed(a.Header) && !(reused && platform.NotRun(a.Status, a.Header))
}

// probeConn sends a health check on a connection and reports the target's state
// and load to the placer. It closes the connection if it returns an error.
func (g *Gateway) probeConn(ctx context.Context, s *service, t *placer.Target, conn *transporter.Conn) error {
	askedAt, reused := time.Now(), conn.Reused()
	a, err := conn.Exchange(ctx, transporter.Request{
		Method: http.MethodGet,
		URI:    s.config.HealthPath,
		Host:   t.Address.String(),

		MaxBuffered: maxHealthBody,
	})
	if err == nil && !answersHealthCheck(a, reused) {
		err = errNotHealthCheck
	}
	if err != nil {
		conn.Close()
		return err
	}
	now := time.Now()
	if id := platform.Instance(a.Header); id != "" && id != string(t.Name) {
		conn.Close()
		s.placer.Miss(t, now)
		return errOtherTarget
	}
	report := placer.Report{Ill: a.Status != http.StatusOK}
	report.Load, report.HasLoad = platform.Load(a.Header)
	report.Warmup, report.HasWarmup = platform.Warmup(a.Header)
	report.Leaving, report.Pause = platform.Leaving(a.Header), platform.Pause(a.Status, a.Header)
	report.Limit = limitReport(a.Header, a.Status == http.StatusOK, askedAt)
	s.placer.Report(t, report, now)
	if s.level != nil && report.HasLoad {
		s.level.Observe(report.Load.Pressure(), now)
	}
	g.isolator.Seen(incarnation(t), askedAt, now)
	if conn.Spoiled() {
		conn.Close()
		return errSpoiled
	}
	return nil
}
