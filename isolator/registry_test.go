package isolator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savoryroad.dev/loader"
)

// simulatedFleet is a fleet of registries that exchange messages with delays and losses.
type simulatedFleet struct {
	now     time.Time
	rand    *rand.Rand
	entries []*Registry
	// cutUntil is when the link of each entry to all others is back, and blindUntil
	// when it counts as in touch again: its link and its process were sound for 3 s.
	cutUntil, blindUntil []time.Time
	loss                 float64
	inFlight             []sentNews
	// ended counts the targets that have crashed.
	ended int
	// restarts are the restarts of targets that have ended, of which entries hear that
	// aren't cut off, and unreachable the targets that one entry doesn't reach.
	restarts    []restart
	unreachable []unreachable
	// scheduled is what happens later.
	scheduled []scheduled
}

// restart is the restart of a target at a time.
type restart struct {
	target Incarnation
	at     time.Time
}

// unreachable is a link of an entry to a target that is cut until a time.
type unreachable struct {
	target Incarnation
	entry  int
	until  time.Time
}

// scheduled is something that happens at a time.
type scheduled struct {
	at  time.Time
	run func()
}

// after schedules something for a time from now.
func (f *simulatedFleet) after(d time.Duration, run func()) {
	f.scheduled = append(f.scheduled, scheduled{f.now.Add(d), run})
}

// checkTargets lets the entries check the targets that they watch.
func (f *simulatedFleet) checkTargets() {
	for e, r := range f.entries {
		for _, restarted := range f.restarts {
			if !f.now.Before(restarted.at) && !f.isCut(e) {
				r.Restarted(restarted.target, 2)
			}
		}
		due := r.Due(f.now)
		for _, link := range f.unreachable {
			// Targets also respond to checks that are made for other requests.
			checked := slices.Contains(due, link.target) || f.rand.IntN(simulatedChecks) == 0
			if checked && !f.isCut(e) && (link.entry != e || !f.now.Before(link.until)) {
				r.Seen(link.target, f.now, f.now)
			}
		}
	}
}

// sentNews is a message under way.
type sentNews struct {
	from, to  int
	news      News
	arrivesAt time.Time
}

const (
	simulatedContact = 3 * time.Second
	simulatedTick    = 50 * time.Millisecond
	homes            = 3
	// simulatedChecks is the number of ticks between two health checks that an entry
	// sends to a target for other requests, on average.
	simulatedChecks = 40
)

func newSimulatedFleet(n int, seed uint64, loss float64) *simulatedFleet {
	f := &simulatedFleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	f.cutUntil, f.blindUntil = make([]time.Time, n), make([]time.Time, n)
	for range n {
		f.entries = append(f.entries, NewRegistry(f.rand.Float64))
	}
	return f
}

func (f *simulatedFleet) isCut(e int) bool     { return f.now.Before(f.cutUntil[e]) }
func (f *simulatedFleet) isInTouch(e int) bool { return !f.now.Before(f.blindUntil[e]) }

// cut cuts an entry off from the others for a time.
func (f *simulatedFleet) cut(e int, d time.Duration) {
	f.cutUntil[e] = f.now.Add(d)
	f.blindUntil[e] = f.now.Add(d + simulatedContact)
}

// restart replaces an entry by one that knows nothing.
func (f *simulatedFleet) restart(e int) {
	f.entries[e] = NewRegistry(f.rand.Float64)
	f.blindUntil[e] = f.now.Add(simulatedContact)
}

func (f *simulatedFleet) send(from, to int, n News) {
	if from != to && f.rand.Float64() >= f.loss {
		delay := time.Duration(1+f.rand.IntN(10)) * time.Millisecond
		f.inFlight = append(f.inFlight, sentNews{from, to, n, f.now.Add(delay)})
	}
}

// advance lets time pass in ticks, in which the entries exchange messages.
func (f *simulatedFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(simulatedTick)
		due := f.scheduled
		f.scheduled = nil
		for _, s := range due {
			if f.now.Before(s.at) {
				f.scheduled = append(f.scheduled, s)
				continue
			}
			s.run()
		}
		f.checkTargets()
		arrived := f.inFlight
		f.inFlight = nil
		for _, m := range arrived {
			if f.now.Before(m.arrivesAt) {
				f.inFlight = append(f.inFlight, m)
			} else if !f.isCut(m.from) && !f.isCut(m.to) {
				f.entries[m.to].Hear(m.news, len(f.entries), f.now)
			}
		}
		for e, r := range f.entries {
			home, all := r.News(f.now)
			for _, c := range home {
				for i := range min(homes, len(f.entries)) {
					f.send(e, int((uint64(c.Fingerprint)+uint64(i))%uint64(len(f.entries))), News{Cases: []Case{c}, Direct: true})
				}
			}
			if len(all.Cases) > 0 {
				for to := range f.entries {
					f.send(e, to, all)
				}
			}
		}
	}
}

// crash lets an entry send a request that ends its target, unless it is blocked.
func (f *simulatedFleet) crash(e int, fingerprint Fingerprint) bool {
	if _, blocked := f.entries[e].Blocked(fingerprint, f.now); blocked {
		return false
	}
	f.ended++
	f.entries[e].Crashed(fingerprint, loader.TargetName(fmt.Sprint("t", f.ended)), 1, f.now)
	return true
}

// A request that crashes targets, and comes again at any entry, is sent by entries in
// touch at most three times later than contact after the third crash, though entries
// are cut off and restart. A request that crashes nothing, but that each crash also
// breaks off with some probability before its caller sends it again, ends unblocked.
func TestPropertyRequestCrashesFewTargetsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 5, 18, 60}).Draw(t, "entries")
		f := newSimulatedFleet(n, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss"))
		const lethal = Fingerprint(7)
		var third time.Time
		late := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			e := rapid.IntRange(0, n-1).Draw(t, "entry")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				f.cut(e, time.Duration(rapid.IntRange(100, 9000).Draw(t, "cut ms"))*time.Millisecond)
			case 1:
				// At least one entry that knows of the crashes stays.
				if e != n-1 {
					f.restart(e)
				}
			}
			inTouch := f.isInTouch(e)
			if f.crash(e, lethal) {
				switch {
				case f.ended == CrashLimit:
					third = f.now
				case f.ended > CrashLimit && inTouch && f.now.Sub(third) > simulatedContact:
					late++
				}
			}
			f.advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * simulatedTick)
		}
		if late > 3 {
			t.Fatalf("%d targets ended, %d of them later than contact after the third by entries in touch", f.ended, late)
		}
	})
}

// Harmless requests that run beside one that crashes targets lose their connections with
// it, and are answered when they come again. None of them is blocked.
func TestHarmlessNeighboursAreNotBlocked(t *testing.T) {
	f := newSimulatedFleet(6, 1, 0.01)
	const neighbours = 40
	blocked := 0
	for i := range 12 {
		target := loader.TargetName(fmt.Sprint("t", i))
		for e := range f.entries {
			for n := range neighbours {
				if f.rand.IntN(8) > 0 {
					continue
				}
				f.entries[e].Crashed(Fingerprint(100+n), target, 1, f.now)
			}
		}
		// Longer than the time between two broadcasts, of which one may be lost.
		f.advance(refreshInterval + takeoverDelay)
		for n := range neighbours {
			f.entries[f.rand.IntN(len(f.entries))].Answered(Fingerprint(100+n), f.now)
		}
		f.advance(200 * time.Millisecond)
		for _, r := range f.entries {
			for n := range neighbours {
				if _, ok := r.Blocked(Fingerprint(100+n), f.now); ok {
					blocked++
				}
			}
		}
	}
	if blocked > 0 {
		t.Errorf("%d requests were blocked", blocked)
	}
}

// An answer unblocks a request at all entries, also at one that hears older crashes of it
// later.
func TestAnswerUnblocksARequest(t *testing.T) {
	f := newSimulatedFleet(5, 3, 0)
	for i := range CrashLimit {
		f.entries[i].Crashed(1, loader.TargetName(fmt.Sprint(i)), 1, f.now)
		f.advance(simulatedTick * 3)
	}
	if _, ok := f.entries[4].Blocked(1, f.now); !ok {
		t.Fatal("the request isn't blocked everywhere")
	}
	old := f.entries[3].Cases(1, f.now)
	f.entries[0].Answered(1, f.now)
	f.advance(time.Second)
	f.entries[2].Hear(News{Cases: []Case{{Fingerprint: 1, Crashes: []Crash{{Target: "0", Born: 1, Age: time.Minute}}}}}, 5, f.now)
	for e, r := range f.entries {
		if _, ok := r.Blocked(1, f.now); ok {
			t.Errorf("entry %d still blocks the request", e)
		}
	}
	if len(old) != 1 || len(old[0].Crashes) != CrashLimit {
		t.Errorf("cases before the answer: %v", old)
	}
}

// Each further crash lengthens the block, so that a request that comes again for a day
// ends at most three targets more.
func TestBlocksGrowLonger(t *testing.T) {
	r := NewRegistry(rand.New(rand.NewPCG(1, 1)).Float64)
	start := time.Unix(0, 0)
	crashes, later := 0, 0
	for now := start; now.Sub(start) < 24*time.Hour; now = now.Add(10 * time.Second) {
		r.News(now)
		if _, ok := r.Blocked(1, now); ok {
			continue
		}
		crashes++
		if crashes > CrashLimit {
			later++
		}
		r.Crashed(1, "t", int64(crashes), now)
	}
	if later > 3 {
		t.Errorf("%d crashes within a day after the third", later)
	}
}

// The memory of a registry is bounded. Blocked requests stay when others take the room.
func TestManySuspectsTakeBoundedMemory(t *testing.T) {
	r := NewRegistry(rand.New(rand.NewPCG(1, 1)).Float64)
	now := time.Unix(0, 0)
	for i := range CrashLimit + 2*maxCrashes {
		r.Crashed(1, loader.TargetName(fmt.Sprint(i)), 1, now)
	}
	for f := range Fingerprint(maxCases + 100) {
		r.Crashed(1000+f, "t", 1, now.Add(time.Duration(f)))
	}
	if n := len(r.records); n != maxCases {
		t.Errorf("%d cases are kept, want %d", n, maxCases)
	}
	if _, ok := r.Blocked(1, now); !ok {
		t.Error("the blocked request was forgotten")
	}
	if n := len(r.records[1].crashes); n != maxCrashes {
		t.Errorf("%d crashes are kept of a case, want %d", n, maxCrashes)
	}
	home, all := r.News(now)
	if len(home) > maxCases || len(all.Cases) > MaxCasesPerMessage {
		t.Errorf("%d messages to homes, %d cases in a broadcast", len(home), len(all.Cases))
	}
	r.News(now.Add(suspectTTL + time.Minute))
	if n := len(r.records); n != 1 {
		t.Errorf("%d cases are left, want the blocked one", n)
	}
}

// One entry repeats a case for all; another one takes over when it falls silent.
func TestFewEntriesRepeatACase(t *testing.T) {
	f := newSimulatedFleet(60, 5, 0)
	for i := range CrashLimit {
		f.entries[i].Crashed(1, loader.TargetName(fmt.Sprint(i)), 1, f.now)
	}
	f.advance(2 * time.Second)
	broadcasts, last := 0, -1
	for range 200 {
		f.advance(simulatedTick)
		var senders []int
		for _, m := range f.inFlight {
			if !m.news.Direct && !slices.Contains(senders, m.from) {
				senders = append(senders, m.from)
			}
		}
		broadcasts += len(senders)
		if len(senders) > 0 {
			last = senders[0]
		}
	}
	if most := 2 * 10; broadcasts > most {
		t.Errorf("%d broadcasts in 10 s, want at most %d", broadcasts, most)
	}
	if last < 0 {
		t.Fatal("no entry repeats the case")
	}
	f.cut(last, time.Minute)
	f.restart((last + 1) % 60)
	f.advance(simulatedContact)
	if _, ok := f.entries[(last+1)%60].Blocked(1, f.now); !ok {
		t.Error("an entry that has restarted doesn't hear of the case")
	}
}

// When many targets end at once, a request that is sent often loses its connection to
// several of them. It has been answered before, be it at another entry, and isn't blocked.
// A request that crashes targets though it was answered longer ago is.
func TestRequestIsBlockedWhenManyTargetsEnd(t *testing.T) {
	for _, c := range []struct {
		after   time.Duration
		blocked bool
	}{{time.Second, false}, {vouchTime - time.Second, false}, {vouchTime + time.Second, true}} {
		f := newSimulatedFleet(6, 2, 0)
		f.entries[5].Answered(1, f.now)
		f.advance(c.after)
		for i := range 5 {
			f.entries[i].Crashed(1, loader.TargetName(fmt.Sprint(i)), 1, f.now)
		}
		f.advance(time.Second)
		for e, r := range f.entries {
			if _, ok := r.Blocked(1, f.now); ok != c.blocked {
				t.Errorf("%v after an answer, entry %d: blocked %v, want %v", c.after, e, ok, c.blocked)
			}
		}
	}
}

// A request that is answered again and again isn't blocked by crashes now and then, also if
// an earlier one was voided longer ago than an answer counts.
func TestRequestIsBlockedThoughItIsAnswered(t *testing.T) {
	f := newSimulatedFleet(6, 4, 0)
	ended := 0
	f.entries[4].Answered(1, f.now)
	for range 4 {
		for e := range 4 {
			f.entries[e].Crashed(1, loader.TargetName(fmt.Sprint(ended)), 1, f.now)
			ended++
		}
		f.advance(time.Second)
		for e, r := range f.entries {
			if _, ok := r.Blocked(1, f.now); ok {
				t.Fatalf("entry %d blocks the request after %d crashes", e, ended)
			}
		}
		for range 30 {
			for _, r := range f.entries {
				r.Answered(1, f.now)
			}
			f.advance(time.Second)
		}
	}
}

// A request that is blocked whoever sends it is sent again by one entry after the other. If
// it is answered, all entries send it; if it ends its target again, they don't.
func TestRequestOfAnyCallerIsTriedAgain(t *testing.T) {
	const fingerprint = Fingerprint(3) | anyCaller
	for _, harmful := range []bool{false, true} {
		f := newSimulatedFleet(16, 6, 0)
		for n := range CrashLimit {
			f.entries[n].Crashed(fingerprint, target(n).Target, 1, f.now)
		}
		f.advance(time.Second)
		if n, _ := f.blockedAt(fingerprint); n != len(f.entries) {
			t.Fatalf("%d entries block the request", n)
		}
		tries := 0
		for range int(2 * firstBlockAnyCaller / (10 * simulatedTick)) {
			f.advance(10 * simulatedTick)
			e := f.rand.IntN(len(f.entries))
			if _, blocked := f.entries[e].Blocked(fingerprint, f.now); blocked {
				continue
			}
			tries++
			if harmful {
				f.entries[e].Crashed(fingerprint, target(100+tries).Target, 1, f.now)
			} else {
				f.entries[e].Answered(fingerprint, f.now)
			}
		}
		n, _ := f.blockedAt(fingerprint)
		if harmful && (tries != 1 || n != len(f.entries)) {
			t.Errorf("a harmful request was sent %d times more, %d entries block it", tries, n)
		}
		if !harmful && n > 0 {
			t.Errorf("%d entries block a harmless request", n)
		}
	}
}

// The answers to one caller don't show that the copies of another are harmless.
func TestAnswersOfAnotherCallerDoNotCount(t *testing.T) {
	f := newSimulatedFleet(3, 6, 0)
	const ofCaller, ofAny = Fingerprint(3), Fingerprint(3) | anyCaller
	for n := range CrashLimit {
		f.entries[n].Crashed(ofCaller, target(n).Target, 1, f.now)
		f.entries[n].Crashed(ofAny, target(n).Target, 1, f.now)
		f.entries[1].Answered(ofAny, f.now)
		f.advance(simulatedTick)
	}
	f.advance(time.Second)
	if n, _ := f.blockedAt(ofAny); n > 0 {
		t.Errorf("%d entries block all callers", n)
	}
	if n, _ := f.blockedAt(ofCaller); n != len(f.entries) {
		t.Errorf("%d entries block the caller", n)
	}
}

// A request that was answered before a new version of its targets ends under it is blocked
// before the time is over for which the answer counts.
func TestAnswerExcusesAnyNumberOfCrashes(t *testing.T) {
	for _, silently := range []bool{false, true} {
		f := newSimulatedFleet(6, 2, 0)
		f.entries[5].Answered(1, f.now)
		f.advance(time.Second)
		ended, blocked := 0, false
		for began := f.now; f.now.Sub(began) < simulatedContact && !blocked; f.advance(2 * simulatedTick) {
			e := ended % len(f.entries)
			if _, blocked = f.entries[e].Blocked(1, f.now); blocked {
				break
			}
			ended++
			if silently {
				f.endSilently(e, 1, target(ended), 250*time.Millisecond, 2*time.Second)
			} else {
				f.crash(e, 1)
			}
		}
		if !blocked {
			t.Errorf("silently %v: %d targets ended, and the request is not blocked", silently, ended)
		}
	}
}
