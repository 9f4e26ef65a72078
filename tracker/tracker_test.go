package tracker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
)

var start = time.Unix(1_700_000_000, 0)

func model() *Model { return New(rand.New(rand.NewPCG(1, 1)).Float64) }

func registration(name string, born int64, sequence uint64, state loader.TargetState) placer.Registration {
	return placer.Registration{
		Name: loader.TargetName(name), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		DataCentre: "d", Slots: 2, State: state, Born: born, Sequence: sequence,
	}
}

// placed returns the names of the targets that get requests.
func placed(m *Model) map[loader.TargetName]bool {
	names := map[loader.TargetName]bool{}
	for _, u := range m.placeCmd().(PlaceCmd).Targets["s"] {
		names[u.Name] = true
	}
	return names
}

func configured() *Model {
	m := model()
	m.Update(ConfigMsg{Config: router.Config{Version: 1, Services: map[loader.ServiceName]router.Service{"s": {}}}}, start)
	return m
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	m := model()
	for _, c := range []struct{ version, want router.Version }{{5, 5}, {3, 5}, {5, 5}, {9, 9}, {6, 9}} {
		cmds := m.Update(ConfigMsg{Config: router.Config{Version: c.version}}, start)
		if m.Config.Version != c.want {
			t.Errorf("version %d is in force after %d, want %d", m.Config.Version, c.version, c.want)
		}
		if installed := len(cmds) > 0; installed != (c.version == c.want && c.version != 0) && c.version != 5 {
			t.Errorf("version %d: commands %v", c.version, cmds)
		}
	}
}

func TestRegistrations(t *testing.T) {
	for _, c := range []struct {
		name string
		msgs []Msg
		want bool
	}{
		{"a ready target", []Msg{RegisterMsg{registration("a", 1, 1, loader.Active)}}, true},
		{"a draining one", []Msg{RegisterMsg{registration("a", 1, 1, loader.Draining)}}, false},
		{"drained, then an old registration", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Draining)}, RegisterMsg{registration("a", 1, 4, loader.Active)},
		}, false},
		{"gone, then an old registration", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Active)}, UnregisterMsg{"a"}, RegisterMsg{registration("a", 1, 5, loader.Active)},
		}, false},
		{"gone, then heard of again", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Active)}, UnregisterMsg{"a"}, RegisterMsg{registration("a", 1, 6, loader.Active)},
		}, true},
		{"started again with its counts anew", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Draining)}, RegisterMsg{registration("a", 2, 1, loader.Active)},
		}, true},
		{"started again, then word of the earlier start", []Msg{
			RegisterMsg{registration("a", 2, 1, loader.Draining)}, RegisterMsg{registration("a", 1, 9, loader.Active)},
		}, false},
		{"a list that lacks it", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Active)}, ListMsg{},
		}, false},
		{"its data centre is out", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Active)}, EvacuateMsg{"d", true},
		}, false},
		{"its data centre is back in", []Msg{
			RegisterMsg{registration("a", 1, 5, loader.Active)}, EvacuateMsg{"d", true}, EvacuatedMsg{},
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := configured()
			for _, msg := range c.msgs {
				m.Update(msg, start)
			}
			if got := placed(m)["a"]; got != c.want {
				t.Errorf("gets requests: %v, want %v", got, c.want)
			}
		})
	}
}

// After an outage of the store, a registration that has lapsed meanwhile may
// come back for 2 s.
func TestLapsedRegistrationIsWaitedFor(t *testing.T) {
	m := configured()
	m.Update(ReadMsg{Topic: Targets, Full: true, Next: 1, Asked: start, Msgs: []Msg{
		ListMsg{Registrations: []placer.Registration{registration("a", 1, 1, loader.Active)}},
	}}, start)
	back := start.Add(8 * time.Second)
	m.Update(ReadMsg{Topic: Targets, Next: 2, Asked: back, Records: []ReadRecord{{Offset: 1, Msg: UnregisterMsg{"a"}}}}, back)
	if !placed(m)["a"] {
		t.Fatal("a registration that lapsed during the outage counts at once")
	}
	// What the store held a moment before the time was over proves nothing.
	early := back.Add(reregistrationGrace - time.Millisecond)
	m.Update(ReadMsg{Topic: Targets, Next: 2, Asked: early}, early)
	late := back.Add(reregistrationGrace + 500*time.Millisecond)
	m.Update(TickMsg{}, late)
	if !placed(m)["a"] {
		t.Error("a target counts as gone by what was read before its time to come back was over")
	}
	m.Update(ReadMsg{Topic: Targets, Next: 2, Asked: back.Add(reregistrationGrace)}, late)
	m.Update(TickMsg{}, late)
	if placed(m)["a"] {
		t.Error("a target that did not come back still gets requests")
	}
}

// A read that brings many changes costs one list of the targets, not one for
// each change.
func TestManyChangesAreListedOnce(t *testing.T) {
	const n = 1000
	read := ReadMsg{Topic: Targets, Next: n, Asked: start}
	list := ListMsg{}
	news := News{Topic: Targets, Next: n}
	for i := range n {
		r := registration(fmt.Sprint("t", i), 1, 1, loader.Active)
		read.Records = append(read.Records, ReadRecord{Offset: Offset(i), Msg: RegisterMsg{r}})
		news.Changes = append(news.Changes, Change{Offset: Offset(i), Register: &r})
		list.Registrations = append(list.Registrations, r)
	}
	known := func() *Model {
		m := configured()
		m.Update(ReadMsg{Topic: Targets, Full: true, Asked: start, Msgs: []Msg{ListMsg{}}}, start)
		return m
	}
	listed := known()
	listed.Update(list, start)
	for _, c := range []struct {
		name  string
		model *Model
		msg   Msg
		want  int
	}{
		{"read", known(), read, n},
		{"news", known(), NewsMsg{news}, n},
		{"list", known(), list, n},
		{"all gone", listed, ListMsg{}, 0},
	} {
		places := 0
		for _, cmd := range c.model.Update(c.msg, start) {
			if cmd, ok := cmd.(PlaceCmd); ok {
				places++
				if got := len(cmd.Targets["s"]); got != c.want {
					t.Errorf("%s: %d targets, want %d", c.name, got, c.want)
				}
			}
		}
		if places != 1 {
			t.Errorf("%s: the targets are listed %d times", c.name, places)
		}
	}
}

func TestShareLapses(t *testing.T) {
	m := model()
	m.Update(ShareMsg{Total: 4, Owned: []int{1, 2}, Until: start.Add(time.Second)}, start)
	m.Update(ShareMsg{Total: 4, Owned: []int{2, 3}, Until: start.Add(3 * time.Second)}, start.Add(time.Second))
	if since := m.Share.Owned[2]; !since.Equal(start) {
		t.Errorf("a kept partition is owned since %v", since)
	}
	m.Update(TickMsg{}, start.Add(4*time.Second))
	if m.Share.Part() != 0 {
		t.Error("the share outlives its time")
	}
}
