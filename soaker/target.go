package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryroad.dev/platform/standin"
)

const (
	// serviceName is the only service, and host the host name in requests.
	serviceName = "a"
	host        = "soak.example"
	// dataCentreCount is the number of data centres, to which targets and
	// entries are assigned in turn.
	dataCentreCount = 2
)

// dataCentreName returns the data centre of the entry or target with index i.
func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i%dataCentreCount) }

// target is a backend server behind a proxy that injects link faults.
type target struct {
	*standin.Target
	link       *proxy
	dataCentre string
	// sequence counts the writes of the target's record.
	sequence int
	// coldUntil is the end of the warm-up after the start, or zero for a target
	// that starts warm.
	coldUntil time.Time
	// drainingSince is when the target was registered as draining, or zero.
	drainingSince time.Time

	disturbedMu sync.Mutex
	// disturbed holds the periods of faults in which the target or its link may have
	// broken off responses. The end of a period is zero while it lasts.
	disturbed []period

	limitMu sync.Mutex
	// limits holds the periods in which the target named a limit, oldest first. The
	// end of the last one is zero while it does.
	limits []limitPeriod
}

// period is a span of time.
type period struct{ from, until time.Time }

// disturb records the beginning of a fault of the target or its link. The function that
// it returns records the end.
func (t *target) disturb() func() {
	t.disturbedMu.Lock()
	defer t.disturbedMu.Unlock()
	i := len(t.disturbed)
	t.disturbed = append(t.disturbed, period{from: time.Now()})
	return func() {
		t.disturbedMu.Lock()
		defer t.disturbedMu.Unlock()
		t.disturbed[i].until = time.Now()
	}
}

// mayHaveBrokenOff reports whether there was a fault of the target or its link between
// two times.
func (t *target) mayHaveBrokenOff(from, until time.Time) bool {
	t.disturbedMu.Lock()
	defer t.disturbedMu.Unlock()
	return slices.ContainsFunc(t.disturbed, func(d period) bool {
		return d.from.Before(until) && (d.until.IsZero() || d.until.After(from))
	})
}

// limitPeriod is a time in which a target named a limit.
type limitPeriod struct {
	perSecond   float64
	from, until time.Time
}

// nameLimit makes the target name a limit, in requests per second, also in its answers to
// health checks if inHealth is set.
func (t *target) nameLimit(perSecond float64, inHealth bool) {
	t.limitMu.Lock()
	defer t.limitMu.Unlock()
	t.SetLimit(perSecond, inHealth)
	t.limits = append(t.limits, limitPeriod{perSecond: perSecond, from: time.Now()})
}

// endLimit makes the target name no limit any more.
func (t *target) endLimit() {
	t.limitMu.Lock()
	defer t.limitMu.Unlock()
	if n := len(t.limits); n > 0 && t.limits[n-1].until.IsZero() {
		t.limits[n-1].until = time.Now()
	}
	t.SetLimit(0, false)
}

// limitPeriods returns the periods in which the target named a limit, after the last one
// has ended.
func (t *target) limitPeriods() []limitPeriod {
	t.limitMu.Lock()
	defer t.limitMu.Unlock()
	return slices.Clone(t.limits)
}

// clearFaults removes all faults of the target and its link.
func (t *target) clearFaults() {
	t.SetBehaviour(nil)
	t.SetPace(standin.UsualPace)
	t.link.setFault(noLinkFault)
}

// injectBehaviour makes the target handle every oneIn-th request as b.
func (t *target) injectBehaviour(b standin.Behaviour, oneIn int64) {
	var n atomic.Int64
	t.SetBehaviour(func(*http.Request) standin.Behaviour {
		if n.Add(1)%oneIn == 0 {
			return b
		}
		return standin.Serve
	})
}

// addTarget starts a target and registers it as ready. It is cold for the given
// time, or warm from the start if that is 0.
func (s *Soaker) addTarget(cold time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.targets)
	t := &target{Target: standin.NewTarget(fmt.Sprintf("t%d", n), targetSlots, targetServiceTime), dataCentre: dataCentreName(n)}
	var err error
	if t.link, err = newProxy(t.Address()); err != nil {
		t.Close()
		return err
	}
	if cold > 0 {
		t.coldUntil = time.Now().Add(cold)
		t.SetCold(t.coldUntil)
	}
	t.SetLethal(lethalPath, func(id string) (standin.End, time.Duration) { return s.crash(t, id) })
	s.targets, s.activeTargets = append(s.targets, t), append(s.activeTargets, t)
	s.register(t, "ready", cold)
	return nil
}

// register writes the record of a target to the store. The caller holds s.mu.
func (s *Soaker) register(t *target, state string, cold time.Duration) {
	t.sequence++
	s.store.Register(t.Target, serviceName, t.dataCentre, t.link.address().String(), state, t.sequence, int(cold.Milliseconds()))
}

// replaceTarget adds a cold target and drains the oldest active one.
func (s *Soaker) replaceTarget() error {
	const cold = 3 * time.Second
	if err := s.addTarget(cold); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	draining := s.activeTargets[0]
	s.activeTargets = s.activeTargets[1:]
	draining.clearFaults()
	s.register(draining, "draining", 0)
	draining.SetDraining(true)
	draining.drainingSince = time.Now()
	return nil
}

// publishConfig publishes the next version of the configuration. Each version has
// a route of its own, which shows callers whether an entry serves that version.
func (s *Soaker) publishConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	s.putConfig()
	s.configuredAt = time.Now()
}

// putConfig writes the current version of the configuration. The caller holds s.mu.
func (s *Soaker) putConfig() {
	routes := map[string]standin.Route{}
	for kind, prefix := range map[string]string{"safe": "/a/", "unsafe": "/u/", "upload": "/l/", "download": "/d/"} {
		routes[kind] = standin.Route{Host: host, PathPrefix: prefix, Service: serviceName, Kind: kind, Timeout: 1500, Objective: 300}
	}
	routes["version"] = standin.Route{Host: host, PathPrefix: versionPathPrefix(s.configVersion), Service: serviceName, Kind: "safe", Timeout: 1500, Objective: 300}
	s.store.PutConfig(s.configVersion, []string{serviceName}, routes)
}

// versionPathPrefix returns the path prefix of the route that only the given
// version of the configuration has.
func versionPathPrefix(version int) string { return fmt.Sprintf("/v/%d/", version) }
