package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"savoryroad.dev/isolator"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/tracker"
	"savoryroad.dev/transporter"
)

const (
	// endCheckWait is how long a call waits for the check of a target that broke off its
	// connection: several times as long as a new connection takes between data centres.
	// A target that is silent would hold the call up for probeTimeout.
	endCheckWait = 30 * time.Millisecond
)

// endVerdict is what a check of a target shows after an attempt without an answer.
type endVerdict int

//go:generate go tool stringer -type=endVerdict -linecomment -output=verdict_string.go

const (
	// endNotChecked means that the target was not checked.
	endNotChecked endVerdict = iota // not checked
	// endBusy means that no connection was free for the check.
	endBusy // no free connection
	// endSilent means that the target does not respond: it has ended, or is cut off.
	endSilent // silent
	// endRefuted means that the target responds.
	endRefuted // alive
	// endReset means that the target breaks off new connections: it has ended, or has too
	// many.
	endReset // reset
	// endConfirmed means that the target has ended: it refuses connections, or another
	// target has its address.
	endConfirmed // ended
)

// newEndVerdict returns what the error of a health check shows.
func newEndVerdict(err error) endVerdict {
	var netErr net.Error
	switch {
	case errors.Is(err, unix.ECONNREFUSED), errors.Is(err, errOtherTarget):
		return endConfirmed
	case isBrokenConnection(err):
		return endReset
	case errors.Is(err, transporter.ErrBusy):
		return endBusy
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr):
		return endSilent
	default:
		return endRefuted
	}
}

// incarnation returns the start of a target that an entry sends requests to.
func incarnation(t *placer.Target) isolator.Incarnation {
	return isolator.Incarnation{Target: t.Name, Born: t.Born()}
}

// checkEnd checks whether a target that has not answered a request has ended. The check
// counts towards the limit on health checks, but is made also if that is used up: there is
// at most one for an attempt.
func (g *Gateway) checkEnd(s *service, t *placer.Target) endVerdict {
	s.probeLimiter.Take(1, time.Now())
	conn, err := g.probe(s, t)
	if err == nil {
		conn.Release()
	}
	return newEndVerdict(err)
}

// watchTargets finds out what became of targets that have not answered a request.
func (g *Gateway) watchTargets(ctx context.Context, now time.Time) {
	watched := g.isolator.Watched()
	if len(watched) == 0 {
		return
	}
	latest := g.latestAt()
	for _, w := range watched {
		t, ok := g.model.Targets[w.Target]
		if !ok {
			continue
		}
		born := max(t.Born, latest[t.Address])
		if born <= w.Born {
			continue
		}
		g.noteEnds(w, g.isolator.Restarted(w, born), "restarted")
	}
	for _, due := range g.isolator.Due(now) {
		if t, ok := g.model.Targets[due.Target]; ok && t.Born == due.Born {
			go g.checkWatched(ctx, t, g.model.Config.Services[t.Service].HealthPath)
		}
	}
}

// noteEnds logs and counts the requests under which a target is now known to have ended.
func (g *Gateway) noteEnds(target isolator.Incarnation, ends []isolator.End, shownBy string) {
	mine := false
	for _, e := range ends {
		g.logEnd(target, e, shownBy)
		mine = mine || e.Mine
	}
	if mine {
		g.crashes.Inc(1)
	}
}

// latestAt returns the latest start of a registered target at each address.
func (g *Gateway) latestAt() map[netip.AddrPort]int64 {
	latest := make(map[netip.AddrPort]int64, len(g.model.Targets))
	for _, t := range g.model.Targets {
		if t.LostAt.IsZero() {
			latest[t.Address] = max(latest[t.Address], t.Born)
		}
	}
	return latest
}

// checkWatched checks a target that has not answered a request.
func (g *Gateway) checkWatched(ctx context.Context, t tracker.Target, healthPath string) {
	askedAt := time.Now()
	target := isolator.Incarnation{Target: t.Name, Born: t.Born}
	switch v := g.checkRegistered(ctx, t, healthPath); v {
	case endRefuted:
		g.isolator.Seen(target, askedAt, time.Now())
	case endSilent:
		g.isolator.Silenced(target, askedAt)
	case endConfirmed:
		g.noteEnds(target, g.isolator.HasEnded(target), v.String())
	}
}

// checkRegistered checks a target that is or was registered. One that gets no requests any
// more, or to which no connection is free, gets a connection of its own.
func (g *Gateway) checkRegistered(ctx context.Context, t tracker.Target, healthPath string) endVerdict {
	if s, ok := g.snapshot.Load().services[t.Service]; ok {
		if target := s.placer.Find(t.Name); target != nil && target.Born() == t.Born {
			if v := g.checkEnd(s, target); v != endBusy {
				return v
			}
		}
	}
	return newEndVerdict(g.askHealth(ctx, t.Name, t.Address, healthPath))
}

// askHealth sends a health check to a target at an address, on a new connection.
func (g *Gateway) askHealth(ctx context.Context, name loader.TargetName, address netip.AddrPort, healthPath string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := transporter.NewPool(address, 1, g.buffers)
	defer pool.Close()
	conn, err := pool.LeaseNew(ctx)
	if err != nil {
		return err
	}
	a, err := conn.Exchange(ctx, transporter.Request{
		Method: http.MethodGet, URI: healthPath, Host: address.String(), MaxBuffered: maxHealthBody,
	})
	if err != nil {
		conn.Close()
		return err
	}
	if a.Rest == nil {
		conn.Close()
	}
	a.Finish(false)
	if id := platform.Instance(a.Header); id != "" && id != string(name) {
		return errOtherTarget
	}
	return nil
}
