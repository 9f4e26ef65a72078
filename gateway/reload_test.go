package gateway

import (
	"testing"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/router"
)

// Bounds of reloaded settings are in force at once, also that on health checks.
func TestReloadedBoundOnHealthChecks(t *testing.T) {
	g := New(platform.Settings{})
	g.install(router.Config{Version: 1, Services: map[loader.ServiceName]router.Service{"s": {}}})
	s := g.snapshot.Load().services["s"]
	s.placer.SetTargets([]placer.Usable{{Registration: placer.Registration{Name: "t", Slots: 1}}})
	if got := s.probeLimiter.Take(6, time.Now()); got != 6 {
		t.Fatalf("%d checks of 6 without a bound", got)
	}
	g.bounds.Store(&platform.Bounds{ProbesPerTarget: 1})
	g.applyBounds()
	if got := s.probeLimiter.Take(6, time.Now()); got != 1 {
		t.Errorf("%d checks of 6 with the reloaded bound", got)
	}
}
