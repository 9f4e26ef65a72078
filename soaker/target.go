package soaker

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"savoryroad.dev/platform/standin"
)

const (
	// serviceA is the one service, and host what callers name.
	serviceA = "a"
	host     = "soak.example"
	// centres is the number of data centres, over which targets and entries are
	// spread.
	centres = 2
)

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%centres) }

// target is a backend server with a link to it that can be harmed.
type target struct {
	*standin.Target
	link       *proxy
	dataCentre string
	sequence   int
	// coldUntil is until when the target is cold from its start.
	coldUntil time.Time
	// left is when the store was told that the target is leaving.
	left time.Time
}

// heal ends the faults of a target.
func (t *target) heal() {
	t.SetBehaviour(nil)
	t.SetPace(standin.UsualPace)
	t.link.setFault(noLinkFault)
}

// misbehave makes a part of the requests go wrong.
func (t *target) misbehave(b standin.Behaviour, oneIn int64) {
	var n atomic.Int64
	t.SetBehaviour(func(*http.Request) standin.Behaviour {
		if n.Add(1)%oneIn == 0 {
			return b
		}
		return standin.Serve
	})
}

// addTarget starts a target that is cold for some time, and registers it.
func (s *Soaker) addTarget(cold time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.targets)
	t := &target{Target: standin.NewTarget(fmt.Sprintf("t%d", n), targetSlots, targetWork), dataCentre: dataCentre(n)}
	var err error
	if t.link, err = newProxy(t.Address()); err != nil {
		t.Close()
		return err
	}
	if cold > 0 {
		t.coldUntil = time.Now().Add(cold)
		t.SetCold(t.coldUntil)
	}
	s.targets, s.current = append(s.targets, t), append(s.current, t)
	s.register(t, "ready", cold)
	return nil
}

// register writes the record of a target; the caller holds the lock.
func (s *Soaker) register(t *target, state string, cold time.Duration) {
	t.sequence++
	s.store.Register(t.Target, serviceA, t.dataCentre, t.link.address().String(), state, t.sequence, int(cold.Milliseconds()))
}

// replaceTarget adds a cold target and lets another one leave.
func (s *Soaker) replaceTarget() error {
	const cold = 3 * time.Second
	if err := s.addTarget(cold); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := s.current[0]
	s.current = s.current[1:]
	leaving.heal()
	s.register(leaving, "draining", 0)
	leaving.SetDraining(true)
	leaving.left = time.Now()
	return nil
}

// configure puts a new version into force. Each version has a route that no
// other has, by which callers can tell it.
func (s *Soaker) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	routes := map[string]standin.Route{}
	for kind, prefix := range map[string]string{"safe": "/a/", "unsafe": "/u/", "upload": "/l/"} {
		routes[kind] = standin.Route{Host: host, PathPrefix: prefix, Service: serviceA, Kind: kind, Timeout: 1500, Objective: 300}
	}
	routes["version"] = standin.Route{Host: host, PathPrefix: versionPath(s.version), Service: serviceA, Kind: "safe", Timeout: 1500, Objective: 300}
	s.store.PutConfig(s.version, []string{serviceA}, routes)
	s.changed = time.Now()
}

func versionPath(version int) string { return fmt.Sprintf("/v/%d/", version) }
