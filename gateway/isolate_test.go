package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"savoryroad.dev/isolator"
	"savoryroad.dev/loader"
	"savoryroad.dev/platform/standin"
)

// lethalPath is part of the paths of requests that crash the targets that run them.
const lethalPath = "lethal"

// crashOnLethal makes the targets of a fleet crash under lethal requests, and registers
// those that are back. It returns a function that returns the times of the crashes.
func crashOnLethal(f *fleet) (crashes func() []time.Time) {
	return endOnLethal(f, standin.Refuse, standin.CrashTime)
}

// endOnLethal makes the targets of a fleet end under lethal requests, for a time, and
// registers those that are back. It returns a function that returns the times of the ends.
func endOnLethal(f *fleet, end standin.End, d time.Duration) (ends func() []time.Time) {
	var mu sync.Mutex
	var at []time.Time
	for _, target := range f.targets {
		target.SetBehaviour(func(r *http.Request) standin.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(r.URL.Path, lethalPath) && !target.IsDown() {
				at = append(at, time.Now())
				target.EndAs(end, d)
			}
			return standin.Serve
		})
	}
	stop := make(chan struct{})
	var register sync.WaitGroup
	register.Go(func() {
		registered := map[*standin.Target]int{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, target := range f.targets {
				if n := target.Crashes(); n > registered[target] && !target.IsDown() {
					f.store.Register(target, "s", "home", target.Address(), "ready", 1, 0)
					registered[target] = n
				}
			}
		}
	})
	f.t.Cleanup(func() {
		close(stop)
		register.Wait()
	})
	return func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return append([]time.Time(nil), at...)
	}
}

// later returns how many crashes came later than contact after the third.
func later(crashes []time.Time, contact time.Duration) (n int) {
	for _, at := range crashes {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > contact {
			n++
		}
	}
	return n
}

// A request that crashes the targets that run it, and comes again at any entry, must
// reach targets at most three times later than contact after it has crashed the third.
// Requests of other callers and to other paths are served meanwhile.
func TestRequestCrashesTargetAfterTarget(t *testing.T) {
	for _, c := range []struct{ method, path string }{
		{http.MethodGet, "/safe/" + lethalPath}, {http.MethodPost, "/unsafe/" + lethalPath},
	} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			const contact, maxLater = 3 * time.Second, 3
			f := newFleet(t, 4, 8)
			crashes := crashOnLethal(f)
			for _, target := range f.targets {
				target.Work = 20 * time.Millisecond
			}
			harmless := strings.Replace(c.path, lethalPath, "harmless", 1)
			stop := make(chan struct{})
			var others sync.WaitGroup
			for i, e := range f.entries {
				others.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
						f.call(e, c.method, fmt.Sprint(harmless, i), fmt.Sprint("h", i, "-", n), nil)
					}
				})
			}
			var last reply
			for i, began := 0, time.Now(); time.Since(began) < contact+3*time.Second; i++ {
				last = f.call(f.entries[i%len(f.entries)], c.method, c.path, fmt.Sprint("l", i), nil)
				time.Sleep(30 * time.Millisecond)
			}
			close(stop)
			others.Wait()
			at := crashes()
			t.Logf("%d targets crashed", len(at))
			if n := later(at, contact); n > maxLater {
				t.Errorf("%d targets crashed, %d of them later than %v after the third, want at most %d", len(at), n, contact, maxLater)
			}
			if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
				t.Errorf("the request got status %d, Retry-After %q", last.status, last.header.Get("Retry-After"))
			}
			f.waitUntil(func() bool {
				for i, e := range f.entries {
					for n := range f.entries {
						if f.call(e, c.method, fmt.Sprint(harmless, n), fmt.Sprint("end", i, n, time.Now().UnixNano()), nil).status != http.StatusOK {
							return false
						}
					}
				}
				return true
			})
		})
	}
}

// Entries that start know the requests that were blocked before: one from its peers, and
// all together from the store.
func TestRestartedEntriesForgetBlockedRequests(t *testing.T) {
	f := newFleet(t, 3, 8)
	crashes := crashOnLethal(f)
	isBlocked := func(e *entry) bool {
		return f.call(e, http.MethodGet, "/safe/"+lethalPath, fmt.Sprint("l", time.Now().UnixNano()), nil).status == http.StatusServiceUnavailable
	}
	f.waitUntil(func() bool { return isBlocked(f.entries[0]) })
	for _, e := range f.entries {
		f.waitUntil(func() bool { return !e.isolator.HasSuspects() || isBlocked(e) })
		f.waitUntil(e.crashesLoaded.Load)
	}
	f.waitUntil(func() bool { return len(f.store.Newest(crashTopic, blockedKey(f.entries[0]))) > 0 })
	before := len(crashes())
	restart := func(entries ...*entry) (restarted []*entry) {
		for _, e := range entries {
			e.stop()
		}
		for _, e := range entries {
			<-e.done
			restarted = append(restarted, f.startEntry(e.platform.Listen.Addr()))
		}
		for _, e := range restarted {
			f.waitUntil(func() bool { return e.ready.Load() && e.crashesLoaded.Load() })
		}
		return restarted
	}
	entries := append(f.entries[1:3:3], restart(f.entries[0])...)
	if !isBlocked(entries[2]) {
		t.Error("an entry that has restarted doesn't block the request")
	}
	for i, e := range restart(entries...) {
		if !isBlocked(e) {
			t.Errorf("entry %d doesn't block the request after all have restarted", i)
		}
	}
	if n := len(crashes()); n > before {
		t.Errorf("%d targets crashed after the request was blocked", n-before)
	}
}

// A case that an answer has voided is removed from the store, so that it doesn't block the
// request again after all entries have restarted.
func TestAnsweredCaseStaysStored(t *testing.T) {
	f := newFleet(t, 2, 2)
	e := f.entries[0]
	const blocked = isolator.Fingerprint(5)
	for i := range isolator.CrashLimit {
		e.isolator.Crashed(blocked, loader.TargetName(fmt.Sprint("x", i)), 1, time.Now())
	}
	key := blocked.String()
	f.waitUntil(func() bool { return len(f.store.Newest(crashTopic, key)) > 0 })
	e.isolator.Answered(blocked, time.Now())
	f.waitUntil(func() bool { return len(f.store.Newest(crashTopic, key)) == 0 })
	f.waitUntil(func() bool { return !f.entries[1].isolator.HasSuspects() })
}

// blockedKey returns the key under which the only blocked request of an entry is stored.
func blockedKey(e *entry) string {
	if cases := e.isolator.Cases(1, time.Now()); len(cases) == 1 {
		return cases[0].Fingerprint.String()
	}
	return ""
}

// A target that breaks off requests but is still there has not ended. Requests that it
// breaks off aren't blocked.
func TestRequestThatTargetsBreakOffIsBlocked(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.setBehaviour(standin.Drop)
	for i := range 12 {
		if got := f.call(f.entries[i%2], http.MethodGet, "/safe/x", fmt.Sprint("d", i), nil); got.status == http.StatusServiceUnavailable {
			t.Fatalf("call %d was refused", i)
		}
	}
	for _, e := range f.entries {
		if e.isolator.HasSuspects() {
			t.Error("a request is taken for one that crashes targets")
		}
	}
}
