package controller_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/appender"
	"savoryroad.dev/controller"
	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
	"savoryroad.dev/registrar"
)

const usable = `
Retention: 1h
DataCentres: {Hobart: {}}
Services:
  Sales:
    Routes: {Buy: {PathPrefix: /buy, Class: AtMostOnce}}
    Targets: {s1: {Address: "10.0.0.1:80", DataCentre: Hobart}}
`

// settings are those of an entry in Hobart.
var settings = loader.Settings{Name: "e1", DataCentre: "Hobart", Site: "Hobart"}

// self owns the shares of the entry under test.
var self = registrar.Owner{Incarnation: "i1", Entry: "e1"}

// changeTo makes the change from a state to a base document.
func changeTo(t *testing.T, id string, s publisher.State, base string) publisher.Change {
	t.Helper()
	data, err := loader.MustParse("base", base).JSON()
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Diff(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.ID = publisher.ChangeID(id)
	return c
}

// pageOf returns the next page of a stream that brings one change.
func pageOf(t *testing.T, offset int, c publisher.Change) controller.PageMsg {
	t.Helper()
	data, err := json.Marshal(publisher.Entry{Change: &c})
	if err != nil {
		t.Fatal(err)
	}
	r := appender.Record{Offset: appender.Offset(offset), Data: data}
	return controller.PageMsg{Page: appender.Page{Next: r.Offset + 1, End: r.Offset + 1, Records: []appender.Record{r}}}
}

// installs lists the revisions that commands put in force.
func installs(cmds []controller.Cmd) []publisher.Revision {
	var all []publisher.Revision
	for _, cmd := range cmds {
		if c, ok := cmd.(controller.InstallCmd); ok {
			all = append(all, c.Revision)
		}
	}
	return all
}

func TestUsableRevisionComesIntoForce(t *testing.T) {
	now := time.Unix(0, 0)
	m := controller.New(settings, 0, self)
	if m.Phase != controller.Starting {
		t.Errorf("phase = %v before any configuration", m.Phase)
	}
	m, cmds := m.Update(pageOf(t, 0, changeTo(t, "a", publisher.State{}, usable)), now)
	if got := installs(cmds); len(got) != 1 || got[0] != 1 {
		t.Errorf("installed %v, want revision 1", got)
	}
	if m.Phase != controller.Serving || m.InForce != 1 || m.Retention != time.Hour {
		t.Errorf("model = %+v", m)
	}
}

func TestUnusableRevisionLeavesTheOldOneInForce(t *testing.T) {
	now := time.Unix(0, 0)
	m := controller.New(settings, 0, self)
	m, _ = m.Update(pageOf(t, 0, changeTo(t, "a", publisher.State{}, usable)), now)
	bad := strings.Replace(usable, "/buy", "buy", 1)
	now = now.Add(time.Second)
	m, cmds := m.Update(pageOf(t, 1, changeTo(t, "b", m.Reader.State, bad)), now)
	if got := installs(cmds); len(got) != 0 || m.InForce != 1 || len(m.Findings) != 1 {
		t.Errorf("installed %v, in force %d, findings %v", got, m.InForce, m.Findings)
	}
	now = now.Add(time.Second)
	m, cmds = m.Update(pageOf(t, 2, changeTo(t, "c", m.Reader.State, usable)), now)
	if got := installs(cmds); len(got) != 1 || got[0] != 3 || len(m.Findings) != 0 {
		t.Errorf("installed %v, findings %v; want revision 3 and none", got, m.Findings)
	}
}

func TestLogOutageKeepsWhatIsInForce(t *testing.T) {
	now := time.Unix(0, 0)
	m := controller.New(settings, 0, self)
	m, _ = m.Update(pageOf(t, 0, changeTo(t, "a", publisher.State{}, usable)), now)
	m, cmds := m.Update(controller.ReadFailedMsg{Err: errors.New("down")}, now)
	if m.Log.Up || len(cmds) != 1 || m.Phase != controller.Serving {
		t.Errorf("model %+v, commands %v", m.Log, cmds)
	}
	if _, cmds = m.Update(controller.ReadFailedMsg{Err: errors.New("down")}, now); len(cmds) != 0 {
		t.Errorf("second failure: commands %v, want none", cmds)
	}
	// An empty page at offset 0 is a log that lost everything; nothing reverts.
	m, _ = m.Update(controller.PageMsg{}, now)
	if m.InForce != 1 {
		t.Errorf("in force %d, want 1", m.InForce)
	}
}

// runEntry follows a log as an entry does, until the context ends.
func runEntry(ctx context.Context, log appender.Log, jitter float64) *controller.Loop {
	var l *controller.Loop
	l = controller.NewLoop(controller.New(settings, jitter, self), func(cmd controller.Cmd) {
		if c, ok := cmd.(controller.AppendSnapshotCmd); ok {
			go func() {
				l.Send(ctx, controller.SnapshotDoneMsg{Outcome: log.Append(ctx, publisher.Stream, c.Data)})
			}()
		}
	})
	go func() { _ = l.Run(ctx) }()
	go func() { _ = controller.Follow(ctx, log, l) }()
	return l
}

// The configuration outlives the log's retention many times over, an entry
// that starts late gets it, and the entries share the work of re-publishing.
func TestConfigurationOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := emulator.NewLog(time.Hour, 1)
		res := publisher.Publish(ctx, log, publisher.Reader{}, changeTo(t, "a", publisher.State{}, usable))
		if _, ok := res.(publisher.Published); !ok {
			t.Fatalf("publish: %#v", res)
		}
		var loops []*controller.Loop
		for _, jitter := range []float64{0.1, 0.5, 0.9} {
			loops = append(loops, runEntry(ctx, log, jitter))
		}
		time.Sleep(24 * time.Hour)
		late := runEntry(ctx, log, 0.3)
		time.Sleep(time.Second)
		if got := late.Model().InForce; got != 1 {
			t.Errorf("late entry has revision %d in force, want 1", got)
		}
		appends := 0
		for _, l := range loops {
			appends += l.Model().Snapshot.Appends
		}
		// 24 hours hold 96 quarters of the retention.
		if appends == 0 || appends > 96 {
			t.Errorf("%d snapshots in 24 h at a retention of 1 h, want 1 to 96", appends)
		}
		cancel()
		synctest.Wait()
	})
}

// After an outage longer than the retention the entries publish what they
// hold, at the revision that was in force.
func TestConfigurationOutlivesALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := emulator.NewLog(time.Hour, 1)
		publisher.Publish(ctx, log, publisher.Reader{}, changeTo(t, "a", publisher.State{}, usable))
		l := runEntry(ctx, log, 0.5)
		time.Sleep(10 * time.Minute)
		log.SetFaults(emulator.Faults{Down: true})
		time.Sleep(5 * time.Hour)
		log.SetFaults(emulator.Faults{})
		time.Sleep(time.Minute)
		late := runEntry(ctx, log, 0.3)
		time.Sleep(time.Second)
		if a, b := l.Model().InForce, late.Model().InForce; a != 1 || b != 1 {
			t.Errorf("in force %d and %d, want 1 and 1", a, b)
		}
		cancel()
		synctest.Wait()
	})
}

// Revisions that follow each other closely are rendered once, at the next tick,
// and the newest is the one in force.
func TestCloseRevisionsAreRenderedOnce(t *testing.T) {
	now := time.Unix(0, 0)
	m := controller.New(settings, 0, self)
	m, _ = m.Update(pageOf(t, 0, changeTo(t, "a", publisher.State{}, usable)), now)
	for n := 1; n <= 5; n++ {
		c := publisher.Change{ID: publisher.ChangeID(strings.Repeat("b", n)), Expected: m.Reader.State.Revision, Base: json.RawMessage(`{"Entries":"7"}`)}
		var cmds []controller.Cmd
		m, cmds = m.Update(pageOf(t, n, c), now)
		if got := installs(cmds); len(got) != 0 {
			t.Errorf("installed %v at once", got)
		}
	}
	m, cmds := m.Update(controller.TickMsg{}, now.Add(time.Second))
	if got := installs(cmds); len(got) != 1 || got[0] != 6 || m.InForce != 6 {
		t.Errorf("installed %v at the tick, want revision 6", got)
	}
}

// A new revision reaches every follower in well under a second.
func TestChangeReachesFollowersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := emulator.NewLog(time.Hour, 1)
		log.SetFaults(emulator.Faults{Delay: 5 * time.Millisecond})
		l := runEntry(ctx, log, 0.5)
		time.Sleep(time.Second)
		publisher.Publish(ctx, log, publisher.Reader{}, changeTo(t, "a", publisher.State{}, usable))
		time.Sleep(50 * time.Millisecond)
		if got := l.Model().InForce; got != 1 {
			t.Errorf("in force %d after 50 ms, want 1", got)
		}
		cancel()
		synctest.Wait()
	})
}
