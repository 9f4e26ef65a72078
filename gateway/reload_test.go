package gateway

import (
	"testing"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/router"
)

// Reloaded bounds must take effect at once. The bound on health checks used to
// wait for the next change of targets.
func TestReloadedBoundOnHealthChecks(t *testing.T) {
	g := New(platform.Settings{})
	g.install(router.Config{Version: 1, Services: map[loader.ServiceName]router.Service{"s": {}}})
	s := g.snapshot.Load().services["s"]
	s.placer.SetTargets([]placer.Usable{{Registration: placer.Registration{Name: "t", Slots: 1}}}, time.Now())
	if got := s.probeLimiter.Take(6, time.Now()); got != 6 {
		t.Fatalf("%d of 6 health checks allowed without a bound, want 6", got)
	}
	g.bounds.Store(&platform.Bounds{ProbesPerTarget: 1})
	g.applyBounds()
	if got := s.probeLimiter.Take(6, time.Now()); got != 1 {
		t.Errorf("%d of 6 health checks allowed with the reloaded bound, want 1", got)
	}
}
