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

// readers is a fleet of models with a store and a network between them, moved
// by a clock of its own.
type readers struct {
	t      *rapid.T
	now    time.Time
	models []*Model
	// records holds the store's records of targets, orders those of operators.
	records, orders []Msg
	// down tells whether the store refuses an entry, lost whether a datagram
	// is lost.
	down  func(entry int) bool
	lost  func() bool
	reads int
	// asked counts the questions to peers; each goes to another one.
	asked int
	// pending holds what happens later.
	pending []event
	// slow is how long the store takes to answer.
	slow func() time.Duration
}

type event struct {
	at    time.Time
	entry int
	msg   Msg
}

// delay is how long an answer or a datagram takes.
const delay = 5 * time.Millisecond

func newReaders(t *rapid.T, n int) *readers {
	r := &readers{t: t, now: start, down: func(int) bool { return false }, lost: func() bool { return false }, slow: func() time.Duration { return delay }}
	for i := range n {
		m := New(rand.New(rand.NewPCG(uint64(i), 7)).Float64)
		m.Update(ConfigMsg{Config: router.Config{Version: 1, Services: map[loader.ServiceName]router.Service{"s": {}}}}, r.now)
		r.models = append(r.models, m)
	}
	return r
}

// address is an entry's address, and entryOf the entry at it.
func address(entry int) netip.Addr   { return netip.AddrFrom4([4]byte{10, 0, 0, byte(entry)}) }
func entryOf(address netip.Addr) int { return int(address.As4()[3]) }

// step lets 10 ms pass.
func (r *readers) step() {
	r.now = r.now.Add(10 * time.Millisecond)
	var later []event
	due := r.pending
	r.pending = nil
	for _, e := range due {
		if e.at.After(r.now) {
			later = append(later, e)
			continue
		}
		r.carryOut(e.entry, r.models[e.entry].Update(e.msg, r.now))
	}
	r.pending = append(later, r.pending...)
	for i, m := range r.models {
		r.carryOut(i, m.Update(TickMsg{Peers: len(r.models) - 1}, r.now))
	}
}

func (r *readers) carryOut(entry int, cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case ReadCmd:
			r.reads++
			r.pending = append(r.pending, event{r.now.Add(r.slow()), entry, r.read(entry, cmd)})
		case AskCmd:
			if n := len(r.models); n > 1 && !r.lost() {
				to := (entry + 1 + r.asked%(n-1)) % n
				r.asked++
				r.pending = append(r.pending, event{r.now.Add(delay), to, AskMsg{Peer: address(entry), Ask: cmd.Ask}})
			}
		case TellCmd:
			if !r.lost() {
				r.pending = append(r.pending, event{r.now.Add(delay), entryOf(cmd.Peer), NewsMsg{cmd.News}})
			}
		case SpreadCmd:
			for i := range r.models {
				if i != entry && !r.lost() {
					r.pending = append(r.pending, event{r.now.Add(delay), i, NewsMsg{cmd.News}})
				}
			}
		}
	}
}

func (r *readers) read(entry int, cmd ReadCmd) Msg {
	if r.down(entry) {
		return ReadFailedMsg{Topic: cmd.Topic}
	}
	msg := ReadMsg{Topic: cmd.Topic, Full: cmd.Full, Asked: r.now}
	records := r.records
	if cmd.Topic == Orders {
		records = r.orders
	}
	msg.Next = Offset(len(records))
	if !cmd.Full {
		for i := int(cmd.From); i < len(records); i++ {
			msg.Records = append(msg.Records, ReadRecord{Offset: Offset(i), Msg: records[i]})
		}
		return msg
	}
	if cmd.Topic == Orders {
		msg.Msgs = r.orders[max(0, len(r.orders)-1):]
		return msg
	}
	newest := map[loader.TargetName]placer.Registration{}
	for _, one := range r.records {
		switch one := one.(type) {
		case RegisterMsg:
			newest[one.Registration.Name] = one.Registration
		case UnregisterMsg:
			delete(newest, one.Name)
		}
	}
	var list ListMsg
	for _, one := range newest {
		list.Registrations = append(list.Registrations, one)
	}
	msg.Msgs = []Msg{list}
	return msg
}

func (r *readers) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.step()
	}
}

func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "entries")
		r := newReaders(t, n)
		r.run(3 * time.Second)
		r.reads = 0
		r.run(10 * time.Second)
		// One entry reads each topic every 0.7 s; some moments have two.
		if most := 2 * 10 * 3; r.reads > most {
			t.Fatalf("%d entries read %d times in 10 s", n, r.reads)
		}
	})
}

// Every entry that is in touch learns of a change of a target within 2 s,
// whatever happened before, and though a part of the fleet is refused by the
// store and datagrams are lost.
func TestPropertyChangesAreKnownInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "entries")
		refused := rapid.IntRange(0, n-1).Draw(t, "refused")
		loss := rapid.Float64Range(0, 0.05).Draw(t, "loss")
		r := newReaders(t, n)
		random := rand.New(rand.NewPCG(9, 9))
		r.lost = func() bool { return random.Float64() < loss }
		r.run(2 * time.Second)
		r.down = func(entry int) bool { return entry < refused }
		sequence := uint64(1)
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "target"))
			state := loader.TargetState(rapid.IntRange(0, 1).Draw(t, "state"))
			for range rapid.IntRange(1, 20).Draw(t, "records") {
				sequence++
				r.records = append(r.records, RegisterMsg{registration(name, 1, sequence, state)})
			}
			r.run(2 * time.Second)
			for i, m := range r.models {
				if got := eligible(m)[loader.TargetName(name)]; got != (state == loader.Active) {
					t.Fatalf("entry %d of %d: %s gets requests: %v, its state is %v", i, n, name, got, state)
				}
			}
		}
	})
}

// Every entry learns of a change within 2 s also after an outage, with a store
// that takes up to 60 times as long as usual to answer and with a third of the
// news lost, as when the entries that would pass it on are dead.
func TestPropertyChangesAreKnownThroughASlowStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "entries")
		seed := rapid.Uint64().Draw(t, "seed")
		r := newReaders(t, n)
		random := rand.New(rand.NewPCG(seed, 9))
		r.lost = func() bool { return random.Float64() < 1.0/3 }
		r.slow = func() time.Duration {
			return 4*time.Millisecond + time.Duration(random.Int64N(int64(236*time.Millisecond)))
		}
		r.records = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		r.run(3 * time.Second)
		r.down = func(int) bool { return true }
		r.run(time.Duration(rapid.IntRange(0, 6).Draw(t, "outage")) * time.Second)
		r.down = func(int) bool { return false }
		r.run(time.Duration(rapid.IntRange(0, 1000).Draw(t, "calm")) * time.Millisecond)
		r.records = append(r.records, RegisterMsg{registration("a", 1, 2, loader.Draining)})
		r.run(2 * time.Second)
		for i, m := range r.models {
			if eligible(m)["a"] {
				t.Fatalf("entry %d of %d has not learned of a change after 2 s: %+v", i, n, m.Views[Targets])
			}
		}
	})
}

// After an outage for all, the whole fleet is up to date within 2 s.
func TestFleetCatchesUpAfterAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "entries")
		r := newReaders(t, n)
		r.records = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}
		r.run(2 * time.Second)
		r.down = func(int) bool { return true }
		r.reads = 0
		outage := time.Duration(rapid.IntRange(1, 12).Draw(t, "outage")) * time.Second
		r.run(outage)
		if most := int(outage.Seconds()*4)*n + 4*n; r.reads > most {
			t.Fatalf("%d reads of %d entries in %v", r.reads, n, outage)
		}
		r.records = append(r.records, RegisterMsg{registration("a", 1, 2, loader.Draining)})
		r.down = func(int) bool { return false }
		r.run(2 * time.Second)
		for i, m := range r.models {
			if eligible(m)["a"] {
				t.Fatalf("entry %d of %d has not caught up 2 s after the outage", i, n)
			}
		}
	})
}

// Registrations that lapse during an outage are back within 2 s of its end. All
// entries keep the targets that came back, whoever read of their return, and
// let go of those that did not.
func TestPropertyLapsedTargetsAreKeptIfTheyReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "entries")
		r := newReaders(t, n)
		const targets = 6
		name := func(i int) string { return fmt.Sprintf("t%d", i) }
		for i := range targets {
			r.records = append(r.records, RegisterMsg{registration(name(i), 1, 1, loader.Active)})
		}
		r.run(2 * time.Second)
		r.down = func(int) bool { return true }
		r.run(time.Duration(rapid.IntRange(4, 8).Draw(t, "outage")) * time.Second)
		r.down = func(int) bool { return false }
		for i := range targets {
			r.records = append(r.records, UnregisterMsg{loader.TargetName(name(i))})
		}
		const step = 100 * time.Millisecond
		returns := make([]int, targets)
		for i := range returns {
			// Steps after the outage; beyond 2 s the target is lost for good.
			returns[i] = rapid.IntRange(0, 24).Draw(t, "return")
		}
		for now := range 20 {
			for i, at := range returns {
				if at == now {
					r.records = append(r.records, RegisterMsg{registration(name(i), 1, 2, loader.Active)})
				}
			}
			r.run(step)
			for i, m := range r.models {
				if got := len(eligible(m)); got != targets {
					t.Fatalf("entry %d has %d targets %v after the outage", i, got, time.Duration(now+1)*step)
				}
			}
		}
		r.run(2 * time.Second)
		for i, m := range r.models {
			for j, at := range returns {
				if got, want := eligible(m)[loader.TargetName(name(j))], at < 20; got != want {
					t.Fatalf("entry %d of %d: %s, which came back after %d steps, gets requests: %v", i, n, name(j), at, got)
				}
			}
		}
	})
}

// manyRoutes returns a configuration of many routes, whose first ones differ
// from version to version.
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

// Changes of a long configuration are told as what they change: the fleet has
// each version within 2 s, though news is lost, and does not read it entry by
// entry.
func TestPropertyConfigurationsAreToldAsPatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(t, "entries")
		loss := rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		r := newReaders(t, n)
		version := router.Version(2)
		r.orders = []Msg{ConfigMsg{manyRoutes(version)}}
		r.run(2 * time.Second)
		random := rand.New(rand.NewPCG(3, 9))
		r.lost = func() bool { return random.Float64() < loss }
		r.reads = 0
		const steps = 6
		for range steps {
			for range rapid.IntRange(1, 4).Draw(t, "versions") {
				version += 3
				r.orders = append(r.orders, ConfigMsg{manyRoutes(version)})
			}
			r.run(2 * time.Second)
			for i, m := range r.models {
				if want := manyRoutes(version); !reflect.DeepEqual(want, m.Config) {
					t.Fatalf("entry %d of %d after 2 s (-want +got):\n%s", i, n, cmp.Diff(want, m.Config))
				}
			}
		}
		// Two reads of each topic a second, whatever the size of the fleet.
		if most := 2 * 2 * 2 * steps; loss == 0 && r.reads > most {
			t.Fatalf("%d entries read %d times for %d versions", n, r.reads, steps)
		}
	})
}

// A long configuration that is written as an outage ends is in force
// everywhere within 2 s, whoever tried the store when.
func TestPropertyLongConfigurationIsKnownAfterAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 120).Draw(t, "entries")
		r := newReaders(t, n)
		r.orders = []Msg{ConfigMsg{manyRoutes(2)}}
		r.run(3 * time.Second)
		r.down = func(int) bool { return true }
		r.run(time.Duration(rapid.IntRange(1000, 8000).Draw(t, "outage")) * time.Millisecond)
		r.down = func(int) bool { return false }
		r.orders = append(r.orders, ConfigMsg{manyRoutes(5)})
		r.run(2 * time.Second)
		for i, m := range r.models {
			if m.Config.Version != 5 {
				t.Fatalf("entry %d of %d has version %d 2 s after the outage: %+v", i, n, m.Config.Version, m.Views[Orders])
			}
		}
	})
}

// While the store is away from all, what the fleet asks of it does not grow with
// the fleet, but for the one try in which each entry finds out.
func TestTriesDuringAnOutageDoNotGrowWithTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 120).Draw(t, "entries")
		silence := time.Duration(rapid.SampledFrom([]int{5, 800}).Draw(t, "silence")) * time.Millisecond
		r := newReaders(t, n)
		r.run(3 * time.Second)
		r.down = func(int) bool { return true }
		r.slow = func() time.Duration { return silence }
		r.run(3 * time.Second)
		r.reads = 0
		r.run(8 * time.Second)
		// Up to ten tries a second of each topic, whoever makes them.
		if most := 8 * 10 * 2; r.reads > most {
			t.Fatalf("%d entries tried %d times in 8 s", n, r.reads)
		}
	})
}

// An entry that starts while the store turns it away gets all from its peers.
func TestPeersTellANewcomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "entries")
		r := newReaders(t, n)
		newcomer := r.models[0]
		newcomer.Config = router.Config{}
		r.down = func(entry int) bool { return entry == 0 }
		r.models[1].Out["away"] = true
		for _, m := range r.models[1:] {
			m.Out = map[loader.DataCentreName]bool{"away": true}
			m.Views[Orders] = View{Known: true, Next: 7, At: r.now}
		}
		r.records = []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}, RegisterMsg{registration("b", 1, 1, loader.Draining)}}
		r.run(4 * time.Second)
		if newcomer.Config.Version != 1 || !newcomer.Listed || !newcomer.Out["away"] {
			t.Fatalf("knows version %d, listed %v, out %v", newcomer.Config.Version, newcomer.Listed, newcomer.Out)
		}
		if got := eligible(newcomer); !got["a"] || got["b"] {
			t.Fatalf("sends to %v", got)
		}
	})
}
