package soaker

import (
	"context"
	"net/http"
	"time"
)

const (
	// probeInterval is the time between two rounds of probes.
	probeInterval = 150 * time.Millisecond
	// propagationBound is the time after which every stable entry must apply a
	// change of the configuration or of a target: the platform's bound of 2 s,
	// and 250 ms for a probe.
	propagationBound = 2*time.Second + 250*time.Millisecond
)

// runProbes probes all entries in rounds until the context ends. It checks that
// stable entries apply configurations and stop using draining targets within
// propagationBound, and that no process rolls back to an earlier configuration.
func (s *Soaker) runProbes(ctx context.Context) {
	c := newCaller(s)
	defer c.client.CloseIdleConnections()
	type observation struct {
		incarnation, version int
	}
	// lastServed holds the last successful probe of each entry.
	lastServed := make([]observation, len(s.processes))
	for ctx.Err() == nil {
		for i, p := range s.processes {
			s.mu.Lock()
			version, configuredAt, storeUnstableUntil := s.configVersion, s.configuredAt, s.storeUnstableUntil
			s.mu.Unlock()
			incarnation, _, terminating := p.state(time.Now())
			probedAt := time.Now()
			status := c.get(ctx, p, versionPathPrefix(version)+"probe")
			incarnationAfter, stable, _ := p.state(probedAt)
			s.mu.Lock()
			unchanged := s.configVersion == version
			s.mu.Unlock()
			if incarnationAfter != incarnation || !unchanged {
				continue
			}
			last := &lastServed[i]
			if status == http.StatusOK {
				*last = observation{incarnation, version}
			}
			if status != http.StatusNotFound {
				continue
			}
			if *last == (observation{incarnation, version}) {
				s.checker.addViolation("no configuration rollback", "%s no longer serves version %d, which it has served before", p.settings.Name, version)
			}
			if !s.options.Untimed && stable && !terminating && storeUnstableUntil.Before(probedAt) && probedAt.Sub(configuredAt) > propagationBound {
				s.checker.addViolation("configuration propagation", "%s does not serve version %d %v after it was published", p.settings.Name, version, probedAt.Sub(configuredAt))
			}
		}
		if !s.options.Untimed {
			s.checkDraining()
		}
		time.Sleep(probeInterval)
	}
}

// checkDraining checks that targets that have been draining for longer than
// propagationBound received no requests within the last probeInterval. It checks
// nothing while an entry or the store is unstable.
func (s *Soaker) checkDraining() {
	now := time.Now()
	for _, p := range s.processes {
		if _, stable, _ := p.state(now); !stable {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeUnstableUntil.Before(now) {
		return
	}
	for _, t := range s.targets {
		if t.drainingSince.IsZero() || now.Sub(t.drainingSince) < propagationBound+probeInterval {
			continue
		}
		for _, a := range t.Arrivals() {
			if a.At.After(now.Add(-probeInterval)) {
				s.checker.addViolation("no requests to draining targets", "%s received request %s %v after it was registered as draining", t.ID, a.ID, a.At.Sub(t.drainingSince))
				return
			}
		}
	}
}
