package emulator_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/emulator"
	"savoryroad.dev/publisher"
)

const salesBase = `
DataCentres:
  Hobart: {}
  Burnie: {}
Services:
  Sales:
    Routes:
      Buy: {PathPrefix: /buy, Class: AtMostOnce, MaxWait: 5s}
    Targets:
      s1: {Address: "127.0.0.1:1", DataCentre: Hobart}
      s2: {Address: "127.0.0.1:2", DataCentre: Burnie}
`

// runsOf counts the runs of a key over all backend servers.
func runsOf(f *emulator.Fleet, key string) int {
	n := 0
	for _, b := range f.Backends {
		n += b.Runs(key)
	}
	return n
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// A call that its caller sends many times at once, to every entry, runs once.
func TestDuplicateSendsRunOnce(t *testing.T) {
	f := newFleet(t, 3, salesBase)
	callers := emulator.NewCallers(f.Addresses(), 16)
	defer callers.Close()
	var wg sync.WaitGroup
	keys := make([]string, 40)
	for n := range keys {
		keys[n] = newKey()
		for range 6 {
			wg.Go(func() {
				callers.Do(t.Context(), emulator.Call{Method: "POST", Path: "/buy", Key: keys[n], Body: []byte("{}")})
			})
		}
	}
	wg.Wait()
	for _, key := range keys {
		if n := runsOf(f, key); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	tally := callers.Tally()
	if tally.Whole < len(keys) || tally.Classed["NotRun"] > 0 || tally.Unaccounted() != 0 {
		t.Errorf("tally = %+v", tally)
	}
}

// While purchases go on, entries are replaced one by one; none is cut off, and
// a key that ran through an entry which has left is still known.
func TestReplacedEntriesHandTheirKeysOver(t *testing.T) {
	f := newFleet(t, 3, salesBase)
	callers := emulator.NewCallers(f.Addresses(), 4)
	defer callers.Close()
	var keys []string
	for range 60 {
		key := newKey()
		keys = append(keys, key)
		callers.Do(t.Context(), emulator.Call{Method: "POST", Path: "/buy", Key: key, Body: []byte("{}")})
	}
	for _, old := range f.Entries {
		if _, err := f.AddEntry(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := f.StopEntry(old); err != nil {
			t.Fatal(err)
		}
	}
	again := emulator.NewCallers(f.Addresses(), 4)
	defer again.Close()
	for _, key := range keys {
		if got := again.Do(t.Context(), emulator.Call{Method: "POST", Path: "/buy", Key: key, Body: []byte("{}")}); got != "Answered" && got != "Wrong" {
			t.Errorf("second send of %s: %s", key, got)
		}
		if n := runsOf(f, key); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// When an entry is killed, the others take its keys over once the platform's
// list lacks its VM. Keys from before are refused as unknown or repeated, and
// none runs twice.
func TestKilledEntryLosesNoGuarantee(t *testing.T) {
	f := newFleet(t, 3, salesBase)
	callers := emulator.NewCallers(f.Addresses(), 4)
	defer callers.Close()
	var keys []string
	for range 30 {
		key := newKey()
		keys = append(keys, key)
		callers.Do(t.Context(), emulator.Call{Method: "POST", Path: "/buy", Key: key, Body: []byte("{}")})
	}
	f.KillEntry(f.Entries[0])
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	rest := emulator.NewCallers(f.Addresses(), 4)
	defer rest.Close()
	// The next owners refuse fresh keys too, until the time of the loss and
	// the skew are past.
	for ctx.Err() == nil && !allAnswered(ctx, rest) {
		time.Sleep(100 * time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Fatal("purchases did not come back")
	}
	for _, key := range keys {
		rest.Do(t.Context(), emulator.Call{Method: "POST", Path: "/buy", Key: key, Body: []byte("{}")})
		if n := runsOf(f, key); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	if n := rest.Tally().Classed["NotRun"]; n > 0 {
		t.Errorf("%d calls were called not run", n)
	}
}

// allAnswered tells whether every one of many fresh purchases is answered.
func allAnswered(ctx context.Context, callers *emulator.Callers) bool {
	for range 100 {
		if callers.Do(ctx, emulator.Call{Method: "POST", Path: "/buy", Key: newKey(), Body: []byte("{}")}) != "Answered" {
			return false
		}
	}
	return true
}

// With the log down, purchases go on, an entry that starts gets the
// configuration from its peers, and a change that one entry has read reaches
// the others.
func TestLogOutage(t *testing.T) {
	f := newFleet(t, 3, salesBase)
	f.Log.SetFaults(emulator.Faults{Down: true})
	callers := emulator.NewCallers(f.Addresses(), 4)
	defer callers.Close()
	if !allAnswered(t.Context(), callers) {
		t.Errorf("purchases stopped with the log: %+v", callers.Tally().Classed)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	late, err := f.AddEntry(ctx)
	if err != nil {
		t.Fatal(err)
	}
	s := late.Status()
	if s.Revision != 1 || s.LogUp {
		t.Errorf("late entry: revision %d, log up %v", s.Revision, s.LogUp)
	}
	through := emulator.NewCallers([]string{late.CallersAddr().String()}, 4)
	defer through.Close()
	if !allAnswered(t.Context(), through) {
		t.Errorf("purchases through the late entry: %+v", through.Tally().Classed)
	}
}

// A data centre that is taken out is left by every entry, and comes back.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	f := newFleet(t, 3, salesBase)
	setState := func(state string) {
		t.Helper()
		patch, _ := json.Marshal(map[string]any{"DataCentres": map[string]any{"Burnie": map[string]string{"State": state}}})
		if err := f.Publish(t.Context(), publisher.Change{ID: publisher.ChangeID(state), Base: patch}); err != nil {
			t.Fatal(err)
		}
		want := f.Published.Revision
		for _, e := range f.Entries {
			for e.Status().Revision < want {
				time.Sleep(time.Millisecond)
			}
		}
	}
	callers := emulator.NewCallers(f.Addresses(), 4)
	defer callers.Close()
	burnie := f.Backends[emulator.TargetKey{Service: "Sales", Target: "s2"}]
	setState("Out")
	before := burnie.Calls()
	if !allAnswered(t.Context(), callers) || burnie.Calls() != before {
		t.Errorf("%d calls reached a data centre that is out", burnie.Calls()-before)
	}
	setState("In")
	if !allAnswered(t.Context(), callers) || burnie.Calls() == before {
		t.Error("no call reached the data centre that came back")
	}
}
