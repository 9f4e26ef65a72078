package tracker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
)

// simFleet simulates a fleet of entries with a store and a lossy network between
// them, on a simulated clock.
type simFleet struct {
	t      *rapid.T
	now    time.Time
	models []*Model
	// targetRecords holds the store's topic of targets, and operatorRecords the
	// topic of operators.
	targetRecords, operatorRecords []Msg
	// storeRefuses reports whether the store refuses an entry, and dropsDatagram
	// whether the network drops the next datagram.
	storeRefuses  func(entry int) bool
	dropsDatagram func() bool
	reads         int
	// snapshotRequests counts requests to peers. Successive ones go to different
	// peers.
	snapshotRequests int
	// pending holds events that have not occurred yet.
	pending []event
	// pageRecords is the maximum number of records that a read returns; 0 for no
	// limit.
	pageRecords int
	// storeLatency returns how long the store takes to answer a read.
	storeLatency func() time.Duration
	// frozenUntil holds the entries that freeze and the time until they do. Gossip
	// reaches each entry over a relay that random selects, if it is not nil.
	frozenUntil map[int]time.Time
	random      *rand.Rand
	// era counts how often the store has been restored from a copy.
	era uint64
	// cutOff reports whether an entry is cut off from the others, if it is not nil.
	cutOff func(entry int) bool
}

// event is the arrival of a message at an entry.
type event struct {
	at    time.Time
	entry int
	msg   Msg
}

// defaultLatency is the latency of the network, and of the store by default.
const defaultLatency = 5 * time.Millisecond

func newSimFleet(t *rapid.T, n int) *simFleet {
	f := &simFleet{t: t, now: start, storeRefuses: func(int) bool { return false }, dropsDatagram: func() bool { return false }, storeLatency: func() time.Duration { return defaultLatency }}
	for i := range n {
		m := New(rand.New(rand.NewPCG(uint64(i), 7)).Float64)
		m.Update(ConfigMsg{Config: router.Config{Version: 1, Services: map[loader.ServiceName]router.Service{"s": {}}}}, f.now)
		f.models = append(f.models, m)
	}
	return f
}

// address returns the address of an entry, and entryOf the entry at an address.
func address(entry int) netip.Addr   { return netip.AddrFrom4([4]byte{10, 0, 0, byte(entry)}) }
func entryOf(address netip.Addr) int { return int(address.As4()[3]) }

// step advances the clock by 10 ms, delivers the messages that are due and sends a
// tick to every entry.
func (f *simFleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	var notDue []event
	due := f.pending
	f.pending = nil
	for _, e := range due {
		if f.isCutOff(e.entry) && !isReadResult(e.msg) {
			continue
		}
		if until := f.frozenUntil[e.entry]; e.at.Before(until) {
			e.at = until
		}
		if e.at.After(f.now) {
			notDue = append(notDue, e)
			continue
		}
		f.execute(e.entry, f.models[e.entry].Update(e.msg, f.now))
	}
	f.pending = append(notDue, f.pending...)
	for i, m := range f.models {
		if !f.now.Before(f.frozenUntil[i]) {
			f.execute(i, m.Update(TickMsg{Peers: len(f.models) - 1}, f.now))
		}
	}
}

// isCutOff reports whether an entry is cut off from the others.
func (f *simFleet) isCutOff(entry int) bool { return f.cutOff != nil && f.cutOff(entry) }

// isReadResult reports whether a message comes from the store and not from a peer.
func isReadResult(msg Msg) bool {
	switch msg.(type) {
	case ReadMsg, ReadFailedMsg:
		return true
	}
	return false
}

// freeze lets entries freeze for a time. From now on gossip is relayed.
func (f *simFleet) freeze(entries []int, d time.Duration, random *rand.Rand) {
	f.random, f.frozenUntil = random, map[int]time.Time{}
	for _, e := range entries {
		f.frozenUntil[e] = f.now.Add(d)
	}
}

// relayTime returns how long the relay that forwards a datagram holds it.
func (f *simFleet) relayTime() time.Duration {
	if f.random == nil {
		return 0
	}
	return max(0, f.frozenUntil[f.random.IntN(len(f.models))].Sub(f.now))
}

// execute executes the commands of an entry's model on the simulated store and
// network.
func (f *simFleet) execute(entry int, cmds []Cmd) {
	for _, cmd := range cmds {
		if _, isRead := cmd.(ReadCmd); !isRead && f.isCutOff(entry) {
			continue
		}
		switch cmd := cmd.(type) {
		case ReadCmd:
			f.reads++
			f.pending = append(f.pending, event{f.now.Add(f.storeLatency()), entry, f.storeResponse(entry, cmd)})
		case AskCmd:
			if n := len(f.models); n > 1 && !f.dropsDatagram() {
				to := (entry + 1 + f.snapshotRequests%(n-1)) % n
				f.snapshotRequests++
				f.pending = append(f.pending, event{f.now.Add(defaultLatency), to, AskMsg{Peer: address(entry), Ask: cmd.Ask}})
			}
		case TellCmd:
			if !f.dropsDatagram() {
				f.pending = append(f.pending, event{f.now.Add(defaultLatency), entryOf(cmd.Peer), NewsMsg{cmd.News}})
			}
		case SpreadCmd:
			for i := range f.models {
				if i != entry && !f.dropsDatagram() {
					f.pending = append(f.pending, event{f.now.Add(defaultLatency + f.relayTime()), i, NewsMsg{cmd.News}})
				}
			}
		}
	}
}

// storeResponse returns the store's response to a read, as of now.
func (f *simFleet) storeResponse(entry int, cmd ReadCmd) Msg {
	if f.storeRefuses(entry) {
		return ReadFailedMsg{Topic: cmd.Topic}
	}
	msg := ReadMsg{Topic: cmd.Topic, Full: cmd.Full, Era: Era(f.era), Asked: f.now}
	records := f.targetRecords
	if cmd.Topic == Orders {
		records = f.operatorRecords
	}
	msg.Next, msg.End = Offset(len(records)), Offset(len(records))
	if !cmd.Full {
		if int(cmd.From) > len(records) {
			return ReadFailedMsg{Topic: cmd.Topic, Trimmed: true}
		}
		if f.pageRecords > 0 {
			records = records[:min(len(records), int(cmd.From)+f.pageRecords)]
			msg.Next = Offset(len(records))
		}
		for i := int(cmd.From); i < len(records); i++ {
			msg.Records = append(msg.Records, ReadRecord{Offset: Offset(i), Msg: records[i]})
		}
		return msg
	}
	if cmd.Topic == Orders {
		evacuated := EvacuatedMsg{DataCentres: map[loader.DataCentreName]bool{}}
		for _, record := range f.operatorRecords {
			switch record := record.(type) {
			case ConfigMsg:
				msg.Msgs = []Msg{record}
			case EvacuateMsg:
				if evacuated.DataCentres[record.DataCentre] = true; !record.Out {
					delete(evacuated.DataCentres, record.DataCentre)
				}
			}
		}
		msg.Msgs = append(msg.Msgs, evacuated)
		return msg
	}
	newest := map[loader.TargetName]placer.Registration{}
	for _, record := range f.targetRecords {
		switch record := record.(type) {
		case RegisterMsg:
			newest[record.Registration.Name] = record.Registration
		case UnregisterMsg:
			delete(newest, record.Name)
		}
	}
	var list ListMsg
	for _, r := range newest {
		list.Registrations = append(list.Registrations, r)
	}
	msg.Msgs = []Msg{list}
	return msg
}

// run advances the clock by d, in steps of 10 ms.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "entries")
		f := newSimFleet(t, n)
		f.run(3 * time.Second)
		f.reads = 0
		f.run(10 * time.Second)
		// One entry reads each topic every 0.7 s. Sometimes two entries read at the
		// same time.
		if most := 2 * 10 * 3; f.reads > most {
			t.Fatalf("%d entries made %d reads in 10 s", n, f.reads)
		}
	})
}

// Every entry that can reach its peers must learn of a change of a target within
// 2 s after any earlier changes, also when the store refuses some of the entries
// and up to 5% of the datagrams are lost.
func TestPropertyChangesAreKnownInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "entries")
		refused := rapid.IntRange(0, n-1).Draw(t, "refused")
		loss := rapid.Float64Range(0, 0.05).Draw(t, "loss")
		f := newSimFleet(t, n)
		random := rand.New(rand.NewPCG(9, 9))
		f.dropsDatagram = func() bool { return random.Float64() < loss }
		f.run(2 * time.Second)
		f.storeRefuses = func(entry int) bool { return entry < refused }
		sequence := uint64(1)
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "target"))
			state := loader.TargetState(rapid.IntRange(0, 1).Draw(t, "state"))
			for range rapid.IntRange(1, 20).Draw(t, "records") {
				sequence++
				f.targetRecords = append(f.targetRecords, RegisterMsg{registration(name, 1, sequence, state)})
			}
			f.run(2 * time.Second)
			for i, m := range f.models {
				if got := eligible(m)[loader.TargetName(name)]; got != (state == loader.Active) {
					t.Fatalf("entry %d of %d: %s is eligible for requests: %v, its state is %v", i, n, name, got, state)
				}
			}
		}
	})
}

// Every entry must learn of a change within 2 s, also after an outage, with a store
// that takes up to 60 times as long as usual to answer, and with a third of the
// gossip lost, as happens when entries that should relay it are dead.
func TestPropertyChangesAreKnownThroughASlowStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "entries")
		seed := rapid.Uint64().Draw(t, "seed")
		f := newSimFleet(t, n)
		random := rand.New(rand.NewPCG(seed, 9))
		f.dropsDatagram = func() bool { return random.Float64() < 1.0/3 }
		f.storeLatency = func() time.Duration {
			return 4*time.Millisecond + time.Duration(random.Int64N(int64(236*time.Millisecond)))
		}
		f.targetRecords = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		f.run(3 * time.Second)
		f.storeRefuses = func(int) bool { return true }
		f.run(time.Duration(rapid.IntRange(0, 6).Draw(t, "outage")) * time.Second)
		f.storeRefuses = func(int) bool { return false }
		f.run(time.Duration(rapid.IntRange(0, 1000).Draw(t, "time after outage")) * time.Millisecond)
		f.targetRecords = append(f.targetRecords, RegisterMsg{registration("a", 1, 2, loader.Draining)})
		f.run(2 * time.Second)
		for i, m := range f.models {
			if eligible(m)["a"] {
				t.Fatalf("entry %d of %d has not received a change after 2 s: %+v", i, n, m.Views[Targets])
			}
		}
	})
}

// After an outage of the store that affects all entries, the whole fleet must be up
// to date within 2 s. During the outage, the reads that each entry attempts are
// bounded.
func TestFleetCatchesUpAfterAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "entries")
		f := newSimFleet(t, n)
		f.targetRecords = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		f.run(2 * time.Second)
		f.storeRefuses = func(int) bool { return true }
		f.reads = 0
		outage := time.Duration(rapid.IntRange(1, 12).Draw(t, "outage")) * time.Second
		f.run(outage)
		if most := int(outage.Seconds()*4)*n + 4*n; f.reads > most {
			t.Fatalf("%d reads by %d entries in %v", f.reads, n, outage)
		}
		f.targetRecords = append(f.targetRecords, RegisterMsg{registration("a", 1, 2, loader.Draining)})
		f.storeRefuses = func(int) bool { return false }
		f.run(2 * time.Second)
		for i, m := range f.models {
			if eligible(m)["a"] {
				t.Fatalf("entry %d of %d is not up to date 2 s after the outage", i, n)
			}
		}
	})
}

// Targets whose registrations expired during an outage register again within 2 s
// of its end. Every entry must keep the targets that did so, no matter which entry
// read the registration, and must drop those that did not.
func TestPropertyLapsedTargetsAreKeptIfTheyReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "entries")
		f := newSimFleet(t, n)
		const targets = 6
		name := func(i int) string { return fmt.Sprintf("t%d", i) }
		for i := range targets {
			f.targetRecords = append(f.targetRecords, RegisterMsg{registration(name(i), 1, 1, loader.Active)})
		}
		f.run(2 * time.Second)
		f.storeRefuses = func(int) bool { return true }
		f.run(time.Duration(rapid.IntRange(4, 8).Draw(t, "outage")) * time.Second)
		f.storeRefuses = func(int) bool { return false }
		for i := range targets {
			f.targetRecords = append(f.targetRecords, UnregisterMsg{loader.TargetName(name(i))})
		}
		const step = 100 * time.Millisecond
		returnSteps := make([]int, targets)
		for i := range returnSteps {
			// Steps after the outage. From step 20 on, which is after 2 s, the target
			// doesn't register again.
			returnSteps[i] = rapid.IntRange(0, 24).Draw(t, "reregistration step")
		}
		for now := range 20 {
			for i, at := range returnSteps {
				if at == now {
					f.targetRecords = append(f.targetRecords, RegisterMsg{registration(name(i), 1, 2, loader.Active)})
				}
			}
			f.run(step)
			for i, m := range f.models {
				if got := len(eligible(m)); got != targets {
					t.Fatalf("entry %d has %d eligible targets %v after the outage", i, got, time.Duration(now+1)*step)
				}
			}
		}
		f.run(2 * time.Second)
		for i, m := range f.models {
			for j, at := range returnSteps {
				if got, want := eligible(m)[loader.TargetName(name(j))], at < 20; got != want {
					t.Fatalf("entry %d of %d: %s, which was to register again at step %d, is eligible for requests: %v", i, n, name(j), at, got)
				}
			}
		}
	})
}

// manyRoutes returns a configuration with 120 routes, of which the first 5 differ
// between versions.
func manyRoutes(version router.Version) router.Config {
	cfg := router.Config{Version: version, Routes: map[loader.RouteName]router.Route{}, Services: map[loader.ServiceName]router.Service{"s": {}}}
	for i := range 120 {
		name := loader.RouteName(fmt.Sprint("r", i))
		route := router.Route{Name: name, Timeout: time.Second}
		if i < 5 {
			route.Timeout = time.Duration(version)
		}
		cfg.Routes[name] = route
	}
	return cfg
}

// Changes of a long configuration are sent as patches: every entry must have the
// latest version within 2 s, also when gossip is lost, and without each entry
// reading the configuration from the store.
func TestPropertyConfigurationsAreToldAsPatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(t, "entries")
		loss := rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		f := newSimFleet(t, n)
		version := router.Version(2)
		f.operatorRecords = []Msg{ConfigMsg{manyRoutes(version)}}
		f.run(2 * time.Second)
		random := rand.New(rand.NewPCG(3, 9))
		f.dropsDatagram = func() bool { return random.Float64() < loss }
		f.reads = 0
		const steps = 6
		for range steps {
			for range rapid.IntRange(1, 4).Draw(t, "versions") {
				version += 3
				f.operatorRecords = append(f.operatorRecords, ConfigMsg{manyRoutes(version)})
			}
			f.run(2 * time.Second)
			for i, m := range f.models {
				if want := manyRoutes(version); !reflect.DeepEqual(want, m.Config) {
					t.Fatalf("entry %d of %d after 2 s (-want +got):\n%s", i, n, cmp.Diff(want, m.Config))
				}
			}
		}
		// At most two reads of each topic a second, for any number of entries.
		if most := 2 * 2 * 2 * steps; loss == 0 && f.reads > most {
			t.Fatalf("%d entries made %d reads in %d steps", n, f.reads, steps)
		}
	})
}

// Changes of which a read returns only a few must be in force at all entries within
// 2 s, also while more are made and gossip is lost, and without each entry reading them.
func TestPropertyChangesBeyondAPageAreKnownInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "entries")
		loss := rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		seed := rapid.Uint64().Draw(t, "seed")
		f := newSimFleet(t, n)
		f.operatorRecords = []Msg{ConfigMsg{manyRoutes(2)}}
		f.targetRecords = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		f.run(2 * time.Second)
		f.pageRecords = rapid.IntRange(1, 4).Draw(t, "records in a page")
		random := rand.New(rand.NewPCG(seed, 9))
		f.dropsDatagram = func() bool { return random.Float64() < loss }
		const interval, bound = 100 * time.Millisecond, 2 * time.Second
		version := router.Version(2)
		var versions []router.Version
		out := map[loader.DataCentreName]bool{}
		f.reads = 0
		const steps = 30
		for range steps {
			version += router.Version(rapid.IntRange(1, 3).Draw(t, "step"))
			versions = append(versions, version)
			f.operatorRecords = append(f.operatorRecords, ConfigMsg{manyRoutes(version)})
			f.targetRecords = append(f.targetRecords, RegisterMsg{registration("a", 1, uint64(version), loader.TargetState(version%2))})
			if rapid.IntRange(0, 5).Draw(t, "evacuate") == 0 {
				dc := loader.DataCentreName(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "data centre"))
				out[dc] = !out[dc]
				f.operatorRecords = append(f.operatorRecords, EvacuateMsg{DataCentre: dc, Out: out[dc]})
			}
			f.run(interval)
			if due := len(versions) - int(bound/interval); due >= 0 {
				for i, m := range f.models {
					if m.Config.Version < versions[due] {
						t.Fatalf("entry %d of %d has version %d, want %d: %+v", i, n, m.Config.Version, versions[due], m.Views[Orders])
					}
				}
			}
		}
		// Four turns of each topic in a second, of two reads of the operators' topic
		// and of as many as the pages need of the other.
		seconds, records := int(steps*interval/time.Second), len(f.targetRecords)
		if most := 2 * (4*2*seconds + records/f.pageRecords + 4*seconds); loss == 0 && f.reads > most {
			t.Fatalf("%d entries made %d reads, want at most %d", n, f.reads, most)
		}
		f.run(bound)
		for i, m := range f.models {
			if want := manyRoutes(version); !reflect.DeepEqual(want, m.Config) {
				t.Fatalf("entry %d of %d (-want +got):\n%s", i, n, cmp.Diff(want, m.Config))
			}
			for _, dc := range []loader.DataCentreName{"d1", "d2"} {
				if m.Out[dc] != out[dc] {
					t.Fatalf("entry %d of %d: out is %v, want %v", i, n, m.Out, out)
				}
			}
			if got := eligible(m)["a"]; got != (loader.TargetState(version%2) == loader.Active) {
				t.Fatalf("entry %d of %d: target eligible: %v", i, n, got)
			}
		}
	})
}

// A long configuration that is written when an outage ends must be in force at all
// entries within 2 s, no matter when each entry retries its reads.
func TestPropertyLongConfigurationIsKnownAfterAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 120).Draw(t, "entries")
		f := newSimFleet(t, n)
		f.operatorRecords = []Msg{ConfigMsg{manyRoutes(2)}}
		f.run(3 * time.Second)
		f.storeRefuses = func(int) bool { return true }
		f.run(time.Duration(rapid.IntRange(1000, 8000).Draw(t, "outage")) * time.Millisecond)
		f.storeRefuses = func(int) bool { return false }
		f.operatorRecords = append(f.operatorRecords, ConfigMsg{manyRoutes(5)})
		f.run(2 * time.Second)
		for i, m := range f.models {
			if m.Config.Version != 5 {
				t.Fatalf("entry %d of %d has version %d 2 s after the outage: %+v", i, n, m.Config.Version, m.Views[Orders])
			}
		}
	})
}

// During an outage of the store, the rate of retries must not grow with the number
// of entries. Only the first failed read, by which each entry detects the outage,
// is made by every entry.
func TestTriesDuringAnOutageDoNotGrowWithTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 120).Draw(t, "entries")
		responseTime := time.Duration(rapid.SampledFrom([]int{5, 800}).Draw(t, "response time")) * time.Millisecond
		f := newSimFleet(t, n)
		f.run(3 * time.Second)
		f.storeRefuses = func(int) bool { return true }
		f.storeLatency = func() time.Duration { return responseTime }
		f.run(3 * time.Second)
		f.reads = 0
		f.run(8 * time.Second)
		// All entries together retry each topic at most ten times a second.
		if most := 8 * 10 * 2; f.reads > most {
			t.Fatalf("%d entries made %d reads in 8 s", n, f.reads)
		}
	})
}

// An entry that starts while the store refuses it must get the complete state from
// its peers.
func TestNewEntrySyncsFromPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "entries")
		f := newSimFleet(t, n)
		newEntry := f.models[0]
		newEntry.Config = router.Config{}
		f.storeRefuses = func(entry int) bool { return entry == 0 }
		for range 7 {
			f.operatorRecords = append(f.operatorRecords, EvacuateMsg{DataCentre: "away", Out: true})
		}
		for _, m := range f.models[1:] {
			m.Out = map[loader.DataCentreName]bool{"away": true}
			m.Views[Orders] = View{Known: true, Next: 7, At: f.now}
		}
		f.targetRecords = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}, RegisterMsg{registration("b", 1, 1, loader.Draining)}}
		f.run(4 * time.Second)
		if newEntry.Config.Version != 1 || !newEntry.Listed || !newEntry.Out["away"] {
			t.Fatalf("the new entry has version %d, listed %v, out %v", newEntry.Config.Version, newEntry.Listed, newEntry.Out)
		}
		if got := eligible(newEntry); !got["a"] || got["b"] {
			t.Fatalf("eligible targets of the new entry: %v", got)
		}
	})
}
