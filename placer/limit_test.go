package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
)

// limitedFleet simulates entries that send to one target as often as they may, and the
// group that divides the partitions among them.
type limitedFleet struct {
	now        time.Time
	partitions int
	limit      limiter.NamedLimit
	entries    []*limitedEntry
	random     *rand.Rand
	// inHealth is set if answers to health checks name the limit.
	inHealth bool
	// work is how long the target takes for a request.
	work time.Duration
}

type limitedEntry struct {
	service *Service
	// owned holds the partitions that the group has assigned to the entry, and known
	// those that the entry knows of.
	owned map[int]bool
	known map[int]time.Time
	// renewAt is when the entry renews its share, until when its share ends then.
	renewAt, until time.Time
	// frozenUntil, cutUntil and refusedUntil are the ends of faults, and excusedUntil
	// when the entry counts again. toldAt is when an answer first named the limit.
	frozenUntil, cutUntil, refusedUntil, excusedUntil, toldAt time.Time
	// sent holds the times at which the requests were sent that are not answered yet.
	sent []time.Time
}

const (
	limitedTarget  = loader.TargetName("limited")
	renewInterval  = 4 * time.Second
	membershipTime = 12 * time.Second
	contact        = 3 * time.Second
	// longestTrialDelay is the time after which every entry has asked again.
	longestTrialDelay = (1 + trialSpread) * maxTrialDelay
)

// start replaces an entry by a new process that knows nothing.
func (f *limitedFleet) start(e *limitedEntry) {
	e.service = New("s", "here", f.random.Uint64())
	e.service.SetTargets([]Usable{{Registration: Registration{Name: limitedTarget, DataCentre: "here", Slots: 1000}}}, f.now)
	e.known, e.renewAt, e.toldAt, e.sent = map[int]time.Time{}, f.now, time.Time{}, nil
}

// deal divides the partitions anew.
func (f *limitedFleet) deal() {
	for _, e := range f.entries {
		e.owned = map[int]bool{}
	}
	for i, p := range f.random.Perm(f.partitions) {
		f.entries[i%len(f.entries)].owned[p] = true
	}
}

// renew renews the share of an entry.
func (f *limitedFleet) renew(e *limitedEntry) {
	known := map[int]time.Time{}
	for p := range e.owned {
		since, ok := e.known[p]
		if !ok {
			since = f.now
		}
		known[p] = since
	}
	e.known, e.until = known, f.now.Add(membershipTime)
	e.renewAt = f.now.Add(time.Duration((0.8 + 0.2*f.random.Float64()) * float64(renewInterval)))
	e.service.SetShare(limiter.Share{Total: f.partitions, Owned: known, Until: e.until})
}

// step lets 10 ms pass. It returns how many requests counted entries sent.
func (f *limitedFleet) step() (counted, all int) {
	f.now = f.now.Add(10 * time.Millisecond)
	var news []LimitNews
	for _, e := range f.entries {
		if f.now.Before(e.frozenUntil) {
			continue
		}
		if !f.now.Before(e.renewAt) && !f.now.Before(e.cutUntil) && !f.now.Before(e.refusedUntil) {
			f.renew(e)
		}
		if !f.now.Before(e.cutUntil) {
			news = append(news, e.service.LimitNews(f.now)...)
		}
		t := e.service.targets[limitedTarget]
		if f.random.IntN(20) == 0 {
			e.service.Report(t, Report{Limit: f.report(f.inHealth, f.now)}, f.now)
		}
		for len(e.sent) > 0 && !f.now.Before(e.sent[0].Add(f.work)) {
			e.service.Finish(t, Result{Answered: true, Limit: f.report(true, e.sent[0])}, f.now)
			e.sent = e.sent[1:]
			if f.limit > 0 && e.toldAt.IsZero() {
				e.toldAt = f.now
			}
		}
		for range 2 {
			if f.random.IntN(4) != 0 || !e.service.Start(t, f.now) {
				continue
			}
			all++
			if !e.toldAt.IsZero() && f.now.Sub(e.toldAt) >= 500*time.Millisecond && !f.now.Before(e.excusedUntil) {
				counted++
			}
			e.sent = append(e.sent, f.now)
		}
	}
	for _, e := range f.entries {
		for _, n := range news {
			if !f.now.Before(e.frozenUntil) && !f.now.Before(e.cutUntil) && f.random.IntN(20) > 0 {
				e.service.HearLimit(n, f.now)
			}
		}
	}
	return counted, all
}

// report is what the answer to a request that was sent at a time says.
func (f *limitedFleet) report(named bool, askedAt time.Time) LimitReport {
	if f.limit > 0 && named {
		return LimitReport{Named: true, PerSecond: f.limit}
	}
	return LimitReport{Conclusive: true, AskedAt: askedAt}
}

// harm lets a fault begin at an entry, or changes the group.
func (f *limitedFleet) harm(t *rapid.T) {
	e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
	d := time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		f.start(e)
		e.excusedUntil = f.now.Add(contact)
	case 1:
		e.frozenUntil = f.now.Add(d)
		e.excusedUntil = e.frozenUntil.Add(contact)
	case 2:
		e.cutUntil = f.now.Add(d)
		e.excusedUntil = e.cutUntil.Add(contact)
	case 3:
		f.deal()
	case 4:
		// All processes end at once.
		for _, e := range f.entries {
			f.start(e)
			e.excusedUntil = f.now.Add(contact)
		}
	case 5:
		// The store refuses a third of the entries and divides the partitions anew.
		for range (len(f.entries) + 2) / 3 {
			f.entries[f.random.IntN(len(f.entries))].refusedUntil = f.now.Add(d)
		}
		f.deal()
	}
}

// Entries that were told of a target's limit must send no more than it allows in any
// 4 s, all together, through restarts, freezes, cuts and changes of the group, in small
// and large fleets. Without such faults the target gets at least half of what it takes.
func TestPropertyLimitHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &limitedFleet{
			now: now, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			inHealth: rapid.Bool().Draw(t, "in health checks"),
			work:     rapid.SampledFrom([]time.Duration{0, 200, 900}).Draw(t, "work in ms") * time.Millisecond,
		}
		f.partitions = rapid.SampledFrom([]int{240, 480}).Draw(t, "partitions")
		f.entries = make([]*limitedEntry, rapid.SampledFrom([]int{1, 2, 3, 4, 8, 16, 16, 30, 119, 312}).Draw(t, "entries"))
		for i := range f.entries {
			f.entries[i] = &limitedEntry{}
			f.start(f.entries[i])
		}
		f.deal()
		for range 600 {
			f.step()
		}
		f.limit = limiter.NamedLimit(rapid.Float64Range(0.3, 12).Draw(t, "limit"))
		faults := rapid.Bool().Draw(t, "faults")
		const steps = 2000
		counts := make([]int, steps)
		settled := 0
		for i := range steps {
			if faults && i%150 == 0 {
				f.harm(t)
			}
			counted, all := f.step()
			counts[i] = counted
			if i >= steps/2 {
				settled += all
			}
		}
		const from, window = 300, 400
		most := int(1.5*float64(f.limit)*4 + 5)
		for i := from; i+window <= steps; i++ {
			n := 0
			for _, c := range counts[i : i+window] {
				n += c
			}
			if n > most {
				t.Fatalf("%d requests in 4 s at a limit of %.1f by %d entries, allowed %d", n, f.limit, len(f.entries), most)
			}
		}
		if least := int(0.5 * float64(f.limit) * steps / 2 / 100); !faults && settled < least {
			t.Fatalf("%d requests in %d s at a limit of %.1f by %d entries, want %d", settled, steps/200, f.limit, len(f.entries), least)
		}
		rate := f.limit
		f.limit = 0
		for range 500 {
			f.step()
		}
		keeping := 0
		for _, e := range f.entries {
			if e.service.targets[limitedTarget].limit.named {
				keeping++
			}
		}
		if !faults && rate >= 2 && keeping > len(f.entries)/5 {
			t.Fatalf("%d of %d entries keep to a limit 5 s after its end", keeping, len(f.entries))
		}
		f.now = f.now.Add(longestTrialDelay)
		for range 100 {
			f.step()
		}
		for i, e := range f.entries {
			if e.service.targets[limitedTarget].limit.named {
				t.Fatalf("entry %d keeps to a limit %v after its end", i, longestTrialDelay)
			}
		}
	})
}

func TestLimitDelayIsKnownAtOnce(t *testing.T) {
	share := limiter.Share{Total: 24, Owned: map[int]time.Time{}}
	for p := range share.Total {
		share.Owned[p] = now.Add(-time.Hour)
	}
	for _, c := range []struct {
		name    string
		limits  []limiter.NamedLimit
		share   limiter.Share
		want    time.Duration
		allowed bool
	}{
		{"no limits", []limiter.NamedLimit{-1, -1}, share, 0, true},
		{"one target without", []limiter.NamedLimit{0, -1}, share, 0, true},
		{"all take none", []limiter.NamedLimit{0, 0}, share, 0, false},
		{"no share", []limiter.NamedLimit{4, 4}, limiter.Share{Total: 1}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New("s", "here", 1)
			s.SetShare(c.share)
			var usable []Usable
			for i := range c.limits {
				usable = append(usable, Usable{Registration: Registration{Name: loader.TargetName(fmt.Sprint("t", i)), DataCentre: "here", Slots: 2}})
			}
			s.SetTargets(usable, now)
			for i, limit := range c.limits {
				if limit >= 0 {
					s.Report(s.targets[usable[i].Name], Report{Limit: LimitReport{Named: true, PerSecond: limit}}, now)
				}
			}
			if got, allowed := s.LimitDelay(now); got != c.want || allowed != c.allowed {
				t.Errorf("%v, %v, want %v, %v", got, allowed, c.want, c.allowed)
			}
		})
	}
	s := New("s", "here", 1)
	s.SetShare(share)
	s.SetTargets([]Usable{{Registration: Registration{Name: "t", DataCentre: "here", Slots: 2}}}, now)
	s.Report(s.targets["t"], Report{Limit: LimitReport{Named: true, PerSecond: 4}}, now)
	if d, allowed := s.LimitDelay(now); !allowed || d <= 0 || d > time.Second {
		t.Errorf("a token of 4 a second is due in %v, %v", d, allowed)
	}
}

// A target whose answers to health checks don't name its limit is probed once in a while
// by an entry that may not send to it, not by each of its requests.
func TestLimitedTargetIsProbedByEachRequest(t *testing.T) {
	s := New("s", "here", 1)
	s.SetShare(limiter.Share{Total: 1})
	s.SetTargets([]Usable{{Registration: Registration{Name: "t", DataCentre: "here", Slots: 2}}}, now)
	target := s.targets["t"]
	s.Finish(target, Result{Limit: LimitReport{Named: true, PerSecond: 1}}, now)
	probes := 0
	const length, interval = 9 * time.Second, 10 * time.Millisecond
	for at := now; at.Before(now.Add(length)); at = at.Add(interval) {
		for _, c := range s.Candidates(nil, Demand{}, Near, 3, at) {
			probes++
			s.Report(c, Report{Limit: LimitReport{Conclusive: true}}, at)
		}
	}
	if most := int(length / limitRecheck); probes == 0 || probes > most {
		t.Errorf("%d probes in %v, want 1 to %d", probes, length, most)
	}
}

// limitedService returns a service with a share of the fleet and a target that has named
// a limit.
func limitedService(u Usable) *Service {
	s := New("s", "here", 1)
	s.SetShare(limiter.Share{Total: 1, Owned: map[int]time.Time{0: now.Add(-time.Hour)}})
	s.SetTargets([]Usable{u}, now)
	s.Finish(s.targets[u.Name], Result{Limit: LimitReport{Named: true, PerSecond: 1}}, now)
	return s
}

// A target that leaves and comes back, in a data centre that was out of service or at
// another address, still names its limit, unless it has restarted.
func TestLimitIsForgottenWhileTargetIsAway(t *testing.T) {
	first := Usable{Registration: Registration{Name: "t", DataCentre: "here", Slots: 2, Born: 7}}
	moved, restarted := first, first
	moved.DataCentre, restarted.Born = "there", 8
	for _, c := range []struct {
		name   string
		listed [][]Usable
		kept   bool
	}{
		{"away", [][]Usable{nil, {first}}, true},
		{"away twice", [][]Usable{nil, {first}, nil, {first}}, true},
		{"moved", [][]Usable{{moved}}, true},
		{"away and moved", [][]Usable{nil, {moved}}, true},
		{"restarted", [][]Usable{{restarted}}, false},
		{"restarted while away", [][]Usable{nil, {restarted}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := limitedService(first)
			at := now
			for _, usable := range c.listed {
				at = at.Add(2 * time.Minute)
				s.SetTargets(usable, at)
			}
			target := s.targets["t"]
			if target.limit.named != c.kept {
				t.Fatalf("limit known: %v, want %v", target.limit.named, c.kept)
			}
			sent := 0
			for s.Start(target, at) && sent < 100 {
				sent++
			}
			if c.kept && sent > 1 {
				t.Errorf("%d requests at once, the limit allows 1", sent)
			}
			s.LimitNews(at)
			if c.kept && target.limit.trial {
				t.Error("all entries would send a trial at once")
			}
		})
	}
}

// An answer to a request that was sent before the limit was named doesn't end it: it may
// have been on its way, or the target may have been at work on it.
func TestEarlierAnswerEndsLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		asked time.Duration
		ends  bool
	}{
		{"sent before", -time.Millisecond, false},
		{"sent after", time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := limitedService(Usable{Registration: Registration{Name: "t", DataCentre: "here", Slots: 2}})
			target, at := s.targets["t"], now.Add(10*time.Millisecond)
			s.Finish(target, Result{Answered: true, Limit: LimitReport{Conclusive: true, AskedAt: now.Add(c.asked)}}, at)
			if ended := !target.limit.named; ended != c.ends {
				t.Errorf("limit ended: %v, want %v", ended, c.ends)
			}
		})
	}
}

// An entry that doesn't hear that a limit has ended, and may send too little to be told by
// an answer, must hear it again.
func TestEndOfLimitIsToldOnce(t *testing.T) {
	u := Usable{Registration: Registration{Name: "t", DataCentre: "here", Slots: 2}}
	told, other := limitedService(u), limitedService(u)
	lost := false
	for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(50 * time.Millisecond) {
		told.Finish(told.targets["t"], Result{Answered: true, Limit: LimitReport{Conclusive: true, AskedAt: at}}, at)
		for _, n := range told.LimitNews(at) {
			if !n.Named && !lost {
				lost = true
				continue
			}
			other.HearLimit(n, at)
		}
	}
	if other.targets["t"].limit.named {
		t.Error("the other entry keeps to the limit 5 s after its end")
	}
	if len(told.limited) > 0 {
		t.Errorf("the end is still told after 5 s")
	}
}

// Of many entries that have heard nothing for long, only few ask a target at a time, until
// one is answered.
func TestAllEntriesAskAtOnce(t *testing.T) {
	const entries, answerAfter, tick = 312, 900 * time.Millisecond, 50 * time.Millisecond
	random := rand.New(rand.NewPCG(4, 2))
	u := Usable{Registration: Registration{Name: "t", DataCentre: "here", Slots: 2}}
	var services []*Service
	for range entries {
		s := New("s", "here", random.Uint64())
		s.SetTargets([]Usable{u}, now)
		s.HearLimit(LimitNews{Service: "s", Target: "t", Named: true, PerSecond: 1.6}, now)
		services = append(services, s)
	}
	asked, end := 0, now.Add(longestTrialDelay)
	for at := now; at.Before(end); at = at.Add(tick) {
		var news []LimitNews
		for _, s := range services {
			news = append(news, s.LimitNews(at)...)
			if s.Start(s.targets["t"], at) {
				if asked++; asked == 1 {
					end = at.Add(answerAfter)
				}
			}
		}
		for _, s := range services {
			for _, n := range news {
				s.HearLimit(n, at)
			}
		}
	}
	// What the target tolerates in 4 s beyond the rate and the bursts of the five quotas.
	const most = 3
	if asked == 0 || asked > most {
		t.Errorf("%d of %d entries asked at once", asked, entries)
	}
}
