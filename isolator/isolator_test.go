package isolator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed of the property tests. The flag -rapid.seed sets another
// one; 0 selects a random seed for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A call that crashes every server that runs it, and that is retried at any
// entry, must crash no more servers than Limit plus the sends made while
// strikes were still in transit to other entries. Other calls must not be
// blocked.
func TestPropertyCrashingCallIsStopped(t *testing.T) {
	const crashing, harmless = Fingerprint(1), Fingerprint(2)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		entries := make([]*Isolator, 4)
		for n := range entries {
			entries[n] = New()
		}
		type message struct {
			to     int
			strike Strike
		}
		var inFlight []message
		crashes, unaware := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "deliver") {
				m := inFlight[0]
				inFlight = inFlight[1:]
				entries[m.to].Add(m.strike, now)
				continue
			}
			if entries[n].Blocked(harmless, now) {
				t.Fatal("harmless call was blocked")
			}
			if entries[n].Blocked(crashing, now) {
				continue
			}
			s := Strike{Fingerprint: crashing, Target: fmt.Sprint(crashes)}
			crashes++
			if len(inFlight) > 0 {
				unaware++
			}
			entries[n].Add(s, now)
			for to := range entries {
				if to != n {
					inFlight = append(inFlight, message{to, s})
				}
			}
		}
		if crashes > Limit+unaware {
			t.Fatalf("%d servers crashed, %d of them by sends during the propagation of strikes", crashes, unaware)
		}
	})
}

func TestStrikesOfOneTargetDoNotBlock(t *testing.T) {
	now := time.Unix(0, 0)
	i := New()
	i.Add(Strike{1, "a"}, now)
	i.Add(Strike{1, "a"}, now)
	if i.Blocked(1, now) {
		t.Error("strikes from one target blocked the call")
	}
	i.Clear(1)
	i.Add(Strike{1, "b"}, now)
	if i.Blocked(1, now) {
		t.Error("Clear did not remove the strike")
	}
	i.Add(Strike{1, "c"}, now)
	if i.StruckTargets(1, now.Add(avoidDuration)) != nil || len(i.StruckTargets(1, now)) != 2 {
		t.Error("want the targets avoided for avoidDuration and not longer")
	}
	if !i.Blocked(1, now) || i.Blocked(1, now.Add(strikeTTL)) {
		t.Error("want strikes from two targets to block for strikeTTL and not longer")
	}
}
