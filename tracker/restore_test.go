package tracker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savoryroad.dev/loader"
	"savoryroad.dev/router"
)

// drill is a fleet whose store is restored from older copies. Operators and targets write
// again what it has lost.
type drill struct {
	*simFleet
	random *rand.Rand
	// history holds the lengths of the store's topics at each step, for copies.
	history []topicLengths
	// version, out and targets are what operators and targets have written last.
	version router.Version
	out     map[loader.DataCentreName]bool
	targets map[string]*drillTarget
	// later holds writes that are to be made, in no order.
	later []laterWrite
	// down is set while the store is away, and stableAt is when it has been sound for
	// drillContact.
	down     bool
	stableAt time.Time
	// inTouchAt is when each entry was started, or its cut ended, drillContact ago.
	inTouchAt []time.Time
	cutUntil  []time.Time
	// startedAt is when each entry was started.
	startedAt []time.Time
	// versions holds the versions and the times at which they were acknowledged.
	versions []acknowledged
	// highest is the highest version that each entry had in force, and used holds the
	// latest change of state of each target that it used at an earlier check.
	highest []router.Version
	used    []map[string]uint64
}

type topicLengths struct {
	at                 time.Time
	targets, operators int
}

type drillTarget struct {
	// sequence is that of the target's latest record, changed that of the record that
	// changed its state last, and changedAt when that was acknowledged.
	sequence  uint64
	changed   uint64
	state     loader.TargetState
	left      bool
	changedAt time.Time
}

type laterWrite struct {
	at    time.Time
	write func()
}

type acknowledged struct {
	version router.Version
	at      time.Time
}

const (
	drillContact = 3 * time.Second
	// drillApply is the time in which a change must be in force, and returnTime that in
	// which targets write again.
	drillApply = 2 * time.Second
	returnTime = 2 * time.Second
	// silenceTime is the time after which the store removes a target that has left.
	silenceTime = 4500 * time.Millisecond
	// drainTime is how long a target goes on serving after it has said that it leaves.
	drainTime = 2 * time.Second
)

func newDrill(t *rapid.T, entries int, seed uint64, loss float64) *drill {
	d := &drill{
		simFleet: newSimFleet(t, entries), random: rand.New(rand.NewPCG(seed, 11)), version: 1,
		out: map[loader.DataCentreName]bool{}, targets: map[string]*drillTarget{},
		inTouchAt: make([]time.Time, entries), cutUntil: make([]time.Time, entries), startedAt: make([]time.Time, entries), highest: make([]router.Version, entries),
	}
	d.dropsDatagram = func() bool { return d.random.Float64() < loss }
	for range entries {
		d.used = append(d.used, map[string]uint64{})
	}
	d.storeRefuses = func(entry int) bool { return d.down || d.isCut(entry) }
	d.cutOff = d.isCut
	for i := range 4 {
		d.targets[fmt.Sprint("t", i)] = &drillTarget{}
		d.setState(fmt.Sprint("t", i), loader.Active)
	}
	d.setVersion()
	return d
}

func (d *drill) isCut(entry int) bool { return d.now.Before(d.cutUntil[entry]) }

// leaveTouch cuts an entry off for a time, or notes that it has been started.
func (d *drill) leaveTouch(entry int, cut time.Duration) {
	if end := d.now.Add(cut); end.After(d.cutUntil[entry]) {
		d.cutUntil[entry] = end
	}
	d.inTouchAt[entry] = d.cutUntil[entry].Add(drillContact)
}

// restart replaces an entry by one that knows nothing. The answers to its reads are lost.
func (d *drill) restart(entry int) {
	d.models[entry], d.highest[entry], d.startedAt[entry] = New(d.random.Float64), 0, d.now
	d.used[entry] = map[string]uint64{}
	d.pending = slices.DeleteFunc(d.pending, func(e event) bool { return e.entry == entry && isReadResult(e.msg) })
	d.leaveTouch(entry, 0)
}

// setVersion lets the operators write a new configuration.
func (d *drill) setVersion() {
	d.version += router.Version(1 + d.random.IntN(3))
	d.operatorRecords = append(d.operatorRecords, ConfigMsg{manyRoutes(d.version)})
	d.versions = append(d.versions, acknowledged{d.version, d.now})
}

// toggle lets the operators take a data centre out of service, or put it back.
func (d *drill) toggle(dc loader.DataCentreName) {
	d.out[dc] = !d.out[dc]
	d.operatorRecords = append(d.operatorRecords, EvacuateMsg{DataCentre: dc, Out: d.out[dc]})
}

// setState lets a target write its state.
func (d *drill) setState(name string, state loader.TargetState) {
	target := d.targets[name]
	target.sequence += uint64(1 + d.random.IntN(3))
	target.state, target.changed, target.changedAt = state, target.sequence, d.now
	d.targetRecords = append(d.targetRecords, RegisterMsg{registration(name, 1, target.sequence, state)})
}

// mayLeave reports whether a target has been draining for so long that it may leave.
func (d *drill) mayLeave(name string) bool {
	target := d.targets[name]
	return !target.left && target.state != loader.Active && d.now.Sub(target.changedAt) >= drainTime
}

// leave lets a target leave for good.
func (d *drill) leave(name string) {
	d.targets[name].left, d.targets[name].changedAt = true, d.now
	d.targetRecords = append(d.targetRecords, UnregisterMsg{loader.TargetName(name)})
}

// restore brings the store back from a copy of an age. Writes that it has lost are made
// again, the operators' soon and those of targets within returnTime.
func (d *drill) restore(age time.Duration) {
	i := len(d.history) - 1
	for i > 0 && d.now.Sub(d.history[i].at) < age {
		i--
	}
	copied := d.history[i]
	d.targetRecords = slices.Clone(d.targetRecords[:min(copied.targets, len(d.targetRecords))])
	d.operatorRecords = slices.Clone(d.operatorRecords[:min(copied.operators, len(d.operatorRecords))])
	// An older copy can't come back.
	d.history = []topicLengths{{d.now, len(d.targetRecords), len(d.operatorRecords)}}
	d.era++
	d.down, d.stableAt = false, d.now.Add(drillContact)
	d.later = nil
	soon := d.now.Add(time.Duration(d.random.IntN(300)) * time.Millisecond)
	d.later = append(d.later, laterWrite{soon, func() {
		d.operatorRecords = append(d.operatorRecords, ConfigMsg{manyRoutes(d.version)})
		for _, dc := range slices.Sorted(maps.Keys(d.out)) {
			d.operatorRecords = append(d.operatorRecords, EvacuateMsg{DataCentre: dc, Out: d.out[dc]})
		}
	}})
	for _, name := range slices.Sorted(maps.Keys(d.targets)) {
		if target := d.targets[name]; target.left {
			d.later = append(d.later, laterWrite{d.now.Add(silenceTime), func() {
				d.targetRecords = append(d.targetRecords, UnregisterMsg{loader.TargetName(name)})
			}})
			continue
		}
		at := d.now.Add(time.Duration(d.random.Int64N(int64(returnTime - 100*time.Millisecond))))
		d.later = append(d.later, laterWrite{at, func() {
			if target := d.targets[name]; !target.left {
				target.sequence++
				d.targetRecords = append(d.targetRecords, RegisterMsg{registration(name, 1, target.sequence, target.state)})
			}
		}})
	}
}

// advance lets time pass, in which the writes that are due are made and all entries are
// checked.
func (d *drill) advance(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); {
		d.step()
		later := d.later
		d.later = nil
		for _, w := range later {
			if d.down || w.at.After(d.now) {
				d.later = append(d.later, w)
			} else {
				w.write()
			}
		}
		if !d.down {
			d.history = append(d.history, topicLengths{d.now, len(d.targetRecords), len(d.operatorRecords)})
		}
		for i, m := range d.models {
			d.check(i, m)
		}
	}
}

// check checks what must hold at an entry at any time.
func (d *drill) check(i int, m *Model) {
	if m.Config.Version < d.highest[i] {
		d.t.Fatalf("entry %d went back from version %d to %d", i, d.highest[i], m.Config.Version)
	}
	d.highest[i] = m.Config.Version
	// A target that has not left writes again in time, so an entry that used it keeps it.
	for name, target := range d.targets {
		switch uses := eligible(m)[loader.TargetName(name)]; {
		case target.left || target.state != loader.Active:
			delete(d.used[i], name)
		case uses && m.Targets[loader.TargetName(name)].Sequence >= target.changed:
			d.used[i][name] = target.changed
		case d.used[i][name] == target.changed && !uses:
			d.t.Fatalf("entry %d has lost target %s: %+v", i, name, m.Views[Targets])
		}
	}
	if d.down || d.now.Before(d.stableAt) || d.now.Before(d.inTouchAt[i]) {
		return
	}
	for _, v := range d.versions {
		if m.Config.Version < v.version && d.now.Sub(v.at) > drillApply {
			d.t.Fatalf("entry %d has version %d, want %d, which was acknowledged %v ago: %+v", i, m.Config.Version, v.version, d.now.Sub(v.at), m.Views[Orders])
		}
	}
	for name, target := range d.targets {
		if target.left && d.startedAt[i].After(target.changedAt) {
			// The store may still list it; the target takes no connection.
			continue
		}
		if got := eligible(m)[loader.TargetName(name)]; got && (target.left || target.state != loader.Active) && d.now.Sub(target.changedAt) > drillApply {
			d.t.Fatalf("entry %d uses target %s, which isn't active: %+v", i, name, m.Views[Targets])
		}
	}
}

// After the store has come back from an older copy, each change must be in force at all
// entries in time, no entry may go back to an older configuration, and none may lose a
// target that writes again or take one that has left: with loss, cuts, starts, changes at
// any moment and further restores.
func TestPropertyRestoredStoreHidesChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 18}).Draw(t, "entries")
		loss := rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "loss")
		d := newDrill(t, n, rapid.Uint64().Draw(t, "seed"), loss)
		d.advance(3 * time.Second)
		ms := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		change := func() {
			switch name := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")); rapid.IntRange(0, 5).Draw(t, "change") {
			case 0, 1, 2:
				d.setVersion()
			case 3:
				d.toggle(loader.DataCentreName(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "data centre")))
			case 4:
				if !d.targets[name].left {
					d.setState(name, loader.TargetState(rapid.IntRange(0, 1).Draw(t, "state")))
				}
			case 5:
				if d.mayLeave(name) {
					d.leave(name)
				}
			}
		}
		for range rapid.IntRange(1, 2).Draw(t, "restores") {
			for range rapid.IntRange(0, 6).Draw(t, "changes before") {
				change()
				d.advance(ms(2500, "time between changes"))
			}
			d.down = true
			d.advance(ms(3000, "outage"))
			d.restore(ms(9000, "age of the copy"))
			for range rapid.IntRange(0, 3).Draw(t, "changes after") {
				d.advance(ms(1500, "time between changes"))
				e := rapid.IntRange(0, n-1).Draw(t, "entry")
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					d.restart(e)
				case 1:
					d.leaveTouch(e, ms(4000, "cut"))
				default:
					change()
				}
			}
		}
		d.advance(silenceTime + drillContact + drillApply)
		for i, m := range d.models {
			for _, dc := range []loader.DataCentreName{"d1", "d2"} {
				if m.Out[dc] != d.out[dc] {
					t.Fatalf("entry %d: out is %v, want %v", i, m.Out, d.out)
				}
			}
			if m.Config.Version != d.version {
				t.Fatalf("entry %d has version %d, want %d", i, m.Config.Version, d.version)
			}
			if m.Views[Orders].Next != Offset(len(d.operatorRecords)) || m.Views[Targets].Next != Offset(len(d.targetRecords)) {
				t.Fatalf("entry %d is at %d and %d, want %d and %d", i, m.Views[Orders].Next, m.Views[Targets].Next, len(d.operatorRecords), len(d.targetRecords))
			}
		}
	})
}

// An entry that hears of an era that the store isn't in must not read the store again and
// again.
func TestUnknownEraIsReadAgainAndAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "entries")
		f := newSimFleet(t, n)
		f.era = 2
		f.targetRecords = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		f.run(3 * time.Second)
		for _, m := range f.models {
			m.Update(NewsMsg{News{Topic: Targets, Era: Era(rapid.SampledFrom([]int{0, 1, 3, 9}).Draw(t, "era")), From: 1, Next: 1}}, f.now)
		}
		f.run(time.Second)
		f.reads = 0
		f.run(10 * time.Second)
		if most := 2 * 10 * 3; f.reads > most {
			t.Fatalf("%d entries made %d reads in 10 s, want at most %d", n, f.reads, most)
		}
		f.era = 1
		f.reads = 0
		f.run(10 * time.Second)
		// Each entry retries each topic after a backoff.
		if most := 2 * 10 * 4 * n; f.reads > most {
			t.Fatalf("%d entries made %d reads in 10 s of a former era, want at most %d", n, f.reads, most)
		}
	})
}
