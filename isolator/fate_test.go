package isolator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savoryroad.dev/loader"
)

// blockedAt returns how many entries block a request, and the longest time for which one
// does.
func (f *simulatedFleet) blockedAt(fingerprint Fingerprint) (n int, longest time.Duration) {
	for _, r := range f.entries {
		if left, ok := r.Blocked(fingerprint, f.now); ok {
			n, longest = n+1, max(longest, left)
		}
	}
	return n, longest
}

// target returns the n-th target of a test.
func target(n int) Incarnation { return Incarnation{loader.TargetName(fmt.Sprint("t", n)), 1} }

// Targets that fall silent one after the other under a request block it for short times,
// until they are known to have ended, or to be alive.
func TestSilentTargetsBlockForShortTimes(t *testing.T) {
	const fingerprint = Fingerprint(7)
	newCase := func() *simulatedFleet {
		f := newSimulatedFleet(8, 1, 0)
		for n := range CrashLimit {
			f.entries[n].Unanswered(fingerprint, target(n), Silent, f.now, f.now)
			f.advance(200 * time.Millisecond)
		}
		return f
	}
	f := newCase()
	if n, longest := f.blockedAt(fingerprint); n != len(f.entries) || longest > provisionalBlock {
		t.Fatalf("%d entries block the request, for up to %v", n, longest)
	}
	for _, r := range f.entries {
		for n := range CrashLimit {
			r.Restarted(target(n), 2)
		}
	}
	f.advance(200 * time.Millisecond)
	if n, longest := f.blockedAt(fingerprint); n != len(f.entries) || longest < firstBlock-time.Minute {
		t.Errorf("after the targets have restarted, %d entries block the request, for up to %v", n, longest)
	}
	f = newCase()
	checked := 0
	for e, r := range f.entries {
		for _, due := range r.Due(f.now.Add(time.Second)) {
			checked++
			if e != 0 { // entry 0 is cut off from the targets
				r.Seen(due, f.now, f.now)
			}
		}
	}
	f.advance(300 * time.Millisecond)
	if n, _ := f.blockedAt(fingerprint); n > 0 || checked > CrashLimit*(homes+1) {
		t.Errorf("after the targets were seen, %d entries block the request; %d checks were due", n, checked)
	}
}

// What becomes of a target that has not answered a request decides whether it counts.
func TestFateOfTargetsDecides(t *testing.T) {
	asked := time.UnixMilli(1_000_000)
	for _, c := range []struct {
		name  string
		apply func(r *Registry, target Incarnation)
		want  int
	}{
		{"nothing", func(*Registry, Incarnation) {}, 0},
		{"refuses connections", func(r *Registry, i Incarnation) { r.HasEnded(i) }, 1},
		{"has restarted", func(r *Registry, i Incarnation) { r.Restarted(i, asked.Add(time.Second).UnixMilli()) }, 1},
		{"seen, then ends", func(r *Registry, i Incarnation) {
			r.Seen(i, asked.Add(time.Second), asked.Add(time.Second))
			r.HasEnded(i)
		}, 0},
		{"seen by a check from before, then ends", func(r *Registry, i Incarnation) {
			r.Seen(i, asked.Add(-time.Second), asked.Add(time.Second))
			r.HasEnded(i)
		}, 1},
		{"seen as the next incarnation", func(r *Registry, i Incarnation) {
			r.Seen(i, asked.Add(2*time.Second), asked.Add(2*time.Second))
			r.Restarted(i, asked.Add(time.Second).UnixMilli())
		}, 1},
		{"seen, then silent under a later attempt", func(r *Registry, i Incarnation) {
			r.Seen(i, asked.Add(time.Second), asked.Add(time.Second))
			r.Unanswered(1, i, Silent, asked.Add(2*time.Second), asked.Add(2*time.Second))
			r.HasEnded(i)
		}, 1},
		{"silent, seen by a peer before, then ends", func(r *Registry, i Incarnation) {
			r.Silenced(i, asked.Add(time.Second))
			r.Hear(News{Cases: []Case{{Fingerprint: 1, Open: []OpenFate{
				{Target: i.Target, Born: i.Born, Age: 5 * time.Second, Alive: true, SeenAge: 4 * time.Second},
			}}}}, 2, asked.Add(2*time.Second))
			r.HasEnded(i)
		}, 1},
		{"silent, seen by a peer since, then ends", func(r *Registry, i Incarnation) {
			r.Silenced(i, asked.Add(time.Second))
			r.Hear(News{Cases: []Case{{Fingerprint: 1, Open: []OpenFate{
				{Target: i.Target, Born: i.Born, Age: 2 * time.Second, Alive: true, SeenAge: 500 * time.Millisecond},
			}}}}, 2, asked.Add(2*time.Second))
			r.HasEnded(i)
		}, 0},
		{"silent, then seen, then restarts", func(r *Registry, i Incarnation) {
			r.Silenced(i, asked.Add(time.Second))
			r.Seen(i, asked.Add(2*time.Second), asked.Add(2*time.Second))
			r.Restarted(i, asked.Add(3*time.Second).UnixMilli())
		}, 0},
		{"silent, then seen as the next incarnation", func(r *Registry, i Incarnation) {
			r.Silenced(i, asked.Add(time.Second))
			r.Seen(i, asked.Add(2*time.Second), asked.Add(2*time.Second))
			r.Restarted(i, asked.Add(1500*time.Millisecond).UnixMilli())
		}, 1},
		{"answers the request", func(r *Registry, i Incarnation) {
			r.Answered(1, asked.Add(time.Second))
			r.HasEnded(i)
		}, 0},
		{"is watched no longer", func(r *Registry, i Incarnation) {
			r.News(asked.Add(unknownTTL + time.Second))
			r.HasEnded(i)
		}, 0},
	} {
		f := newSimulatedFleet(1, 1, 0)
		r := f.entries[0]
		r.Unanswered(1, target(0), Unknown, asked, asked)
		c.apply(r, target(0))
		if n := r.Crashed(1, "another", 1, asked.Add(time.Minute)) - 1; n != c.want {
			t.Errorf("%s: %d crashes, want %d", c.name, n, c.want)
		}
	}
}

// An incarnation that is watched no longer takes no memory.
func TestWatchedTargetsTakeBoundedMemory(t *testing.T) {
	f := newSimulatedFleet(1, 1, 0)
	r := f.entries[0]
	for n := range 100 {
		for fingerprint := range Fingerprint(200) {
			r.Unanswered(fingerprint, target(n), Fate(n%3), f.now, f.now)
		}
	}
	if n := len(r.records[1].open); n > maxOpen {
		t.Errorf("%d targets of an open fate are kept of a case", n)
	}
	if n := len(r.watched); n > maxOpen {
		t.Errorf("%d targets are watched", n)
	}
	for fingerprint := range Fingerprint(2 * maxCases) {
		r.Unanswered(1000+fingerprint, target(0), Unknown, f.now, f.now)
	}
	if n := len(r.records); n > maxCases/2 {
		t.Errorf("%d cases are kept in which nothing counts", n)
	}
	r.News(f.now.Add(suspectTTL + time.Minute))
	if len(r.watched) > 0 || len(r.records) > 0 || r.watching.Load() != 0 || r.HasSuspects() {
		t.Errorf("%d targets are watched, %d cases are left", len(r.watched), len(r.records))
	}
}

// A request that ends targets in any way reaches them at most three times later than
// contact after the third, and one that is held up by cuts only isn't blocked once they
// are over. Entries are cut off from the others and lose messages.
func TestPropertySilentEndsCountAndCutsDoNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 16, 40}).Draw(t, "entries")
		f := newSimulatedFleet(n, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss"))
		const lethal, harmless = Fingerprint(7), Fingerprint(8)
		var third time.Time
		ended, late, cuts := 0, 0, 0
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			e := rapid.IntRange(0, n-1).Draw(t, "entry")
			if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
				f.cut(e, time.Duration(rapid.IntRange(100, 5000).Draw(t, "cut ms"))*time.Millisecond)
			}
			if _, blocked := f.entries[e].Blocked(lethal, f.now); !blocked {
				ended++
				f.endSilently(e, lethal, target(ended),
					time.Duration(rapid.IntRange(250, 850).Draw(t, "noticed ms"))*time.Millisecond,
					time.Duration(rapid.IntRange(900, 9000).Draw(t, "back ms"))*time.Millisecond)
				switch {
				case ended == CrashLimit:
					third = f.now
				case ended > CrashLimit && f.isInTouch(e) && f.now.Sub(third) > simulatedContact:
					late++
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "link") == 0 {
				cuts++
				f.cutTarget(e, harmless, target(-cuts), time.Duration(rapid.IntRange(300, 4000).Draw(t, "link ms"))*time.Millisecond)
			}
			f.advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * simulatedTick)
		}
		if late > 3 {
			t.Fatalf("%d targets ended, %d of them later than contact after the third by entries in touch", ended, late)
		}
		f.advance(20 * time.Second)
		if blocking, longest := f.blockedAt(harmless); blocking > 0 {
			t.Fatalf("%d entries block a request after %d cuts, for up to %v", blocking, cuts, longest)
		}
	})
}

// endSilently lets a target end under a request of an entry, which notices its silence. All
// entries that aren't cut off learn when the target is back, and later ones too.
func (f *simulatedFleet) endSilently(e int, fingerprint Fingerprint, target Incarnation, noticed, back time.Duration) {
	f.after(noticed, func() { f.entries[e].Unanswered(fingerprint, target, Silent, f.now, f.now) })
	f.restarts = append(f.restarts, restart{target, f.now.Add(back)})
}

// cutTarget cuts a target off from an entry that has sent it a request. The others reach
// it.
func (f *simulatedFleet) cutTarget(e int, fingerprint Fingerprint, target Incarnation, d time.Duration) {
	f.entries[e].Unanswered(fingerprint, target, Silent, f.now, f.now)
	f.unreachable = append(f.unreachable, unreachable{target, e, f.now.Add(d)})
}

// A request that lost an answer of a target that lives on, and is then answered, is no
// matter for other entries.
func TestPeersHearOfHarmlessRequests(t *testing.T) {
	f := newSimulatedFleet(1, 1, 0)
	r := f.entries[0]
	r.Unanswered(1, target(0), Alive, f.now, f.now)
	r.Unanswered(1, target(1), Unknown, f.now, f.now)
	r.Answered(1, f.now.Add(time.Millisecond))
	r.Crashed(2, "t2", 1, f.now)
	r.Answered(2, f.now.Add(time.Millisecond))
	if home, all := r.News(f.now.Add(simulatedTick)); len(home) > 0 || len(all.Cases) > 0 {
		t.Errorf("the peers hear of %v and %v", home, all)
	}
}
