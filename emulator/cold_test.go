package emulator_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
)

const coldBase = `
DataCentres:
  Hobart: {}
Services:
  Balances:
    Routes:
      Read: {PathPrefix: /balances, Class: Lookup, MaxWait: 5s}
    Defaults: {Slots: 4, ColdLimit: 1, ColdAnswers: 20}
    Targets:
      b1: {Address: "127.0.0.1:1", DataCentre: Hobart}
      b2: {Address: "127.0.0.1:2", DataCentre: Hobart}
      b3: {Address: "127.0.0.1:3", DataCentre: Hobart}
`

// While every backend server is in cold start and bears one call at a time,
// five entries under load never send one of them two, and all become warm.
func TestColdLimitHoldsOverAllEntries(t *testing.T) {
	f, err := emulator.NewFleet(t.Context(), emulator.FleetOptions{
		Base:        loader.MustParse("base.yaml", coldBase),
		Entries:     5,
		Mode:        emulator.BackendMode{Service: 2 * time.Millisecond},
		ColdAnswers: 20,
		Retention:   time.Hour,
		Seed:        1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	callers := emulator.NewCallers(f.Addresses(), 16)
	defer callers.Close()
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 60 {
				callers.Do(t.Context(), emulator.Call{Method: "GET", Path: "/balances/1"})
			}
		})
	}
	wg.Wait()
	for key, b := range f.Backends {
		if b.OverCold() > 0 || b.Cold() {
			t.Errorf("%s: %d calls above the cold limit, still cold: %v", key.Target, b.OverCold(), b.Cold())
		}
	}
	if tally := callers.Tally(); tally.Whole != tally.Sent {
		t.Errorf("tally: sent %d, whole %d, %v", tally.Sent, tally.Whole, tally.Classed)
	}
}

// A call that crashes every server that runs it is stopped after two of them,
// though its caller sends it again through every entry; other calls go on.
func TestCrashingCallIsStopped(t *testing.T) {
	f := newFleet(t, 3, strings.Replace(coldBase, "ColdAnswers: 20", "ColdAnswers: 1", 1))
	callers := emulator.NewCallers(f.Addresses(), 4)
	defer callers.Close()
	for range 12 {
		callers.Do(t.Context(), emulator.Call{Method: "GET", Path: "/balances/crash"})
		time.Sleep(100 * time.Millisecond) // Longer than the word takes.
	}
	crashes := int64(0)
	for _, b := range f.Backends {
		crashes += b.Crashes()
	}
	if crashes > 2 {
		t.Errorf("%d servers crashed, want at most 2", crashes)
	}
	for range 12 {
		if got := callers.Do(t.Context(), emulator.Call{Method: "GET", Path: "/balances/1"}); got != "Answered" {
			t.Errorf("other call: %s", got)
		}
	}
}
