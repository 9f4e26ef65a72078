package emulator_test

import (
	"testing"
	"time"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
)

const twoServices = `
DataCentres:
  Hobart: {}
  Burnie: {}
Services:
  Balances:
    Routes:
      Read: {PathPrefix: /balances, Class: Lookup}
    Targets:
      b1: {Address: "127.0.0.1:1", DataCentre: Hobart}
      b2: {Address: "127.0.0.1:2", DataCentre: Burnie}
  Consents:
    Routes:
      Put: {PathPrefix: /consents, Class: Upload}
    Targets:
      c1: {Address: "127.0.0.1:3", DataCentre: Hobart}
`

// newFleet starts a fleet that ends with the test.
func newFleet(t *testing.T, entries int, base string) *emulator.Fleet {
	t.Helper()
	f, err := emulator.NewFleet(t.Context(), emulator.FleetOptions{
		Base:      loader.MustParse("base.yaml", base),
		Entries:   entries,
		Retention: time.Hour,
		Seed:      1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func TestCallsAreServedThroughEveryEntry(t *testing.T) {
	f := newFleet(t, 3, twoServices)
	callers := emulator.NewCallers(f.Addresses(), 4)
	defer callers.Close()
	for range 30 {
		callers.Do(t.Context(), emulator.Call{Method: "GET", Path: "/balances/7"})
		callers.Do(t.Context(), emulator.Call{Method: "PUT", Path: "/consents/7", Body: make([]byte, 100_000)})
	}
	tally := callers.Tally()
	if tally.Sent != 60 || tally.Whole != 60 {
		t.Errorf("tally = %+v, want 60 whole answers", tally)
	}
}
