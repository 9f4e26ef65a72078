package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
	"savoryroad.dev/tracker"
)

// Odd entries among those of the targets must not keep entries from following the list,
// nor from starting with it.
func TestOddEntriesStopTheListOfTargets(t *testing.T) {
	f := newFleet(t, 3, 1)
	for i, key := range []string{"i-odd", "i-\xff", ""} {
		f.store.Put(platform.TargetTopic, key, []byte(strings.Repeat("[", 200_000)))
		f.store.Put(platform.TargetTopic, fmt.Sprint(key, i), []byte(`{"service":"s","address":"10.0.0.1:99999","zone":"home","slots":1e400,"state":"ready","sequence":1}`))
	}
	added := standin.NewTarget("added", 6, 0)
	t.Cleanup(added.Close)
	f.store.Register(added, "s", "home", added.Address(), "ready", 1, 0)
	f.store.Unregister(f.targets[0])
	started := f.startEntry(f.entries[2].platform.Listen.Addr().Next())
	f.waitUntil(started.ready.Load)
	for i, e := range f.entries {
		f.waitUntil(func() bool {
			id := fmt.Sprint("r", i)
			return f.call(e, http.MethodGet, "/safe/", id, nil).status == http.StatusOK && added.Runs()[id] > 0
		})
	}
}

// A key that isn't text names no target, and can't be told to peers: gossip is text.
func TestKeyThatIsNoTextIsGossiped(t *testing.T) {
	g := New(platform.Settings{})
	for key, want := range map[string]tracker.Msg{"i-\xff": nil, "i-1": tracker.UnregisterMsg{Name: loader.TargetName("i-1")}} {
		got := g.decodeRecords(tracker.Targets, []platform.Record{{Key: key, Offset: 3}})
		if len(got) != 1 || got[0].Msg != want || got[0].Offset != 3 {
			t.Errorf("key %q: got %d records, want the message %v", key, len(got), want)
		}
	}
}
