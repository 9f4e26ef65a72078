package isolator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; the command line may set another,
// and 0 means a new one for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A call that crashes every server that runs it, sent again and again to any
// entry, crashes no more of them than the limit and the sends that were made
// while word of the last strikes was on its way. Other calls go on.
func TestPropertyCrashingCallIsStopped(t *testing.T) {
	const crashing, innocent = Fingerprint(1), Fingerprint(2)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		entries := make([]*Isolator, 4)
		for n := range entries {
			entries[n] = New()
		}
		type word struct {
			to     int
			strike Strike
		}
		var underway []word
		crashes, uninformed := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			if len(underway) > 0 && rapid.Bool().Draw(t, "deliver") {
				w := underway[0]
				underway = underway[1:]
				entries[w.to].Strike(w.strike, now)
				continue
			}
			if entries[n].Blocked(innocent, now) {
				t.Fatal("innocent call was blocked")
			}
			if entries[n].Blocked(crashing, now) {
				continue
			}
			s := Strike{Fingerprint: crashing, Target: fmt.Sprint(crashes)}
			crashes++
			if len(underway) > 0 {
				uninformed++
			}
			entries[n].Strike(s, now)
			for to := range entries {
				if to != n {
					underway = append(underway, word{to, s})
				}
			}
		}
		if crashes > Limit+uninformed {
			t.Fatalf("%d servers crashed, %d of them by sends that could not know", crashes, uninformed)
		}
	})
}

func TestOneStrikeBlocksNothing(t *testing.T) {
	now := time.Unix(0, 0)
	i := New()
	i.Strike(Strike{1, "a"}, now)
	i.Strike(Strike{1, "a"}, now)
	if i.Blocked(1, now) {
		t.Error("blocked by one target's strikes")
	}
	i.Clear(1)
	i.Strike(Strike{1, "b"}, now)
	if i.Blocked(1, now) {
		t.Error("an answer did not take the strike away")
	}
	i.Strike(Strike{1, "c"}, now)
	if i.Struck(1, now.Add(retrial)) != nil || len(i.Struck(1, now)) != 2 {
		t.Error("targets are avoided for the time of the retrial, and no longer")
	}
	if !i.Blocked(1, now) || i.Blocked(1, now.Add(window)) {
		t.Error("two targets' strikes block for the window, and no longer")
	}
}
