package tracker

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savoryroad.dev/loader"
)

// Entries that freeze keep the gossip that they should relay and pass it on when they
// run again. Every entry that didn't freeze must still learn of a change within 2 s.
func TestPropertyChangesAreKnownDespiteHeldGossip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(12, 60).Draw(t, "entries")
		frozen := rapid.IntRange(1, n/3).Draw(t, "frozen")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9))
		f := newSimFleet(t, n)
		f.targetRecords = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		f.dropsDatagram = func() bool { return random.Float64() < loss }
		slowest := rapid.SampledFrom([]time.Duration{5, 240}).Draw(t, "slowest answer of the store in ms") * time.Millisecond
		f.storeLatency = func() time.Duration {
			return 4*time.Millisecond + time.Duration(random.Int64N(int64(slowest-4*time.Millisecond)))
		}
		f.run(2 * time.Second)
		f.freeze(random.Perm(n)[:frozen], time.Duration(rapid.IntRange(500, 5000).Draw(t, "freeze"))*time.Millisecond, random)
		f.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "time before the change")) * time.Millisecond)
		f.targetRecords = append(f.targetRecords, RegisterMsg{registration("a", 1, 2, loader.Draining)})
		f.run(2 * time.Second)
		for i, m := range f.models {
			if _, froze := f.frozenUntil[i]; !froze && eligible(m)["a"] {
				t.Fatalf("entry %d of %d has not received a change after 2 s: %+v", i, n, m.Views[Targets])
			}
		}
	})
}
