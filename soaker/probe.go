package soaker

import (
	"context"
	"net/http"
	"time"
)

const (
	// probePause is the time between two rounds of probes.
	probePause = 150 * time.Millisecond
	// changeBound is the time within which a change of the configuration or of
	// a target is acted upon, by the platform's bounds, and the time of a probe.
	changeBound = 2*time.Second + 250*time.Millisecond
)

// probe checks what has a time bound: that entries which nothing troubles know
// the configuration and spare targets that leave, and that no process goes back
// to an earlier configuration.
func (s *Soaker) probe(ctx context.Context) {
	c := newCaller(s)
	defer c.client.CloseIdleConnections()
	type known struct {
		incarnation, version int
	}
	seen := make([]known, len(s.processes))
	for ctx.Err() == nil {
		for i, p := range s.processes {
			s.mu.Lock()
			version, changed, troubled := s.configVersion, s.configuredAt, s.storeUnstableUntil
			s.mu.Unlock()
			incarnation, _, leaving := p.state(time.Now())
			asked := time.Now()
			status := c.get(ctx, p, versionPathPrefix(version)+"probe")
			after, calm, _ := p.state(asked)
			s.mu.Lock()
			same := s.configVersion == version
			s.mu.Unlock()
			if after != incarnation || !same {
				continue
			}
			k := &seen[i]
			if status == http.StatusOK {
				*k = known{incarnation, version}
			}
			if status != http.StatusNotFound {
				continue
			}
			if *k == (known{incarnation, version}) {
				s.checker.addViolation("no way back", "%s went back from version %d", p.settings.Name, version)
			}
			if !s.options.Untimed && calm && !leaving && troubled.Before(asked) && asked.Sub(changed) > changeBound {
				s.checker.addViolation("configuration in time", "%s lacks version %d %v after it was written", p.settings.Name, version, asked.Sub(changed))
			}
		}
		if !s.options.Untimed {
			s.checkLeft()
		}
		time.Sleep(probePause)
	}
}

// checkLeft checks that targets which left get nothing from a fleet that
// nothing troubles.
func (s *Soaker) checkLeft() {
	now := time.Now()
	for _, p := range s.processes {
		if _, calm, _ := p.state(now); !calm {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeUnstableUntil.Before(now) {
		return
	}
	for _, t := range s.targets {
		if t.drainingSince.IsZero() || now.Sub(t.drainingSince) < changeBound+probePause {
			continue
		}
		for _, a := range t.Arrivals() {
			if a.At.After(now.Add(-probePause)) {
				s.checker.addViolation("leaving targets", "%s got request %s %v after it said that it leaves", t.ID, a.ID, a.At.Sub(t.drainingSince))
				return
			}
		}
	}
}
