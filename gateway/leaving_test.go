package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savoryroad.dev/platform/standin"
)

// sustainedTraffic sends requests to all entries until stop is called, on safe and unsafe
// routes in turn. Their IDs begin with the number of the entry. It returns a function that
// tells whether an answer has satisfied a condition.
func sustainedTraffic(f *fleet, condition func(reply) bool) (satisfied func() bool, stop func()) {
	var seen atomic.Bool
	end := make(chan struct{})
	var callers sync.WaitGroup
	for i, e := range f.entries {
		for range 2 {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-end:
						return
					case <-time.After(5 * time.Millisecond):
					}
					path := []string{"/safe/", "/unsafe/"}[n%2]
					got := f.call(e, http.MethodPost, path, fmt.Sprintf("%d-%d-%d", i, n, time.Now().UnixNano()), []byte("x"))
					if condition(got) {
						seen.Store(true)
					}
				}
			})
		}
	}
	return seen.Load, func() {
		close(end)
		callers.Wait()
	}
}

// arrivalsFrom returns how many requests of an entry reached a target in a time.
func arrivalsFrom(target *standin.Target, entry int, from, until time.Time) (n int) {
	for _, a := range target.Arrivals() {
		if strings.HasPrefix(a.ID, fmt.Sprint(entry, "-")) && a.At.After(from) && a.At.Before(until) {
			n++
		}
	}
	return n
}

// A target that says in its answers that it is leaving gets no request that was sent later
// than drain after an entry has passed on such an answer, though it is still registered,
// and though its registration lapses and comes back. The other entries hear of it too. One
// that has restarted gets requests again.
func TestLeavingTargetGetsRequests(t *testing.T) {
	for _, inHealth := range []bool{false, true} {
		t.Run(fmt.Sprint("in health checks ", inHealth), func(t *testing.T) {
			t.Parallel()
			const drain = 2 * time.Second
			f := newFleet(t, 3, 3)
			leaving := f.targets[0]
			for _, target := range f.targets {
				target.Work = 20 * time.Millisecond // some requests are hedged
			}
			leaving.SetLeaving(true, inHealth)
			told, stop := sustainedTraffic(f, func(r reply) bool { return r.header.Get("Server-Leaving") == "1" })
			defer stop()
			f.waitUntil(func() bool { return inHealth || told() })
			since := time.Now()
			time.Sleep(drain)
			f.store.Unregister(leaving)
			time.Sleep(drain)
			f.store.Register(leaving, "s", "home", leaving.Address(), "ready", 2, 0)
			time.Sleep(drain)
			until := time.Now()
			for i := range f.entries {
				if n := arrivalsFrom(leaving, i, since.Add(drain), until); n > 0 {
					t.Errorf("%d requests of entry %d reached the target later than %v after it had said that it leaves", n, i, drain)
				}
			}
			leaving.SetLeaving(false, inHealth)
			leaving.Crash()
			f.waitUntil(func() bool { return !leaving.IsDown() })
			f.store.Register(leaving, "s", "home", leaving.Address(), "ready", 1, 0)
			restarted := time.Now()
			f.waitUntil(func() bool { return arrivalsFrom(leaving, 0, restarted, time.Now()) > 0 })
		})
	}
}

// A target that turns a request away and says for how long it wants none gets at most two
// further requests of that entry between half a second later and the end of that time. The
// others serve, and it gets requests again afterwards. If all targets say so, requests are
// refused at once, and told to come back when targets want them again.
func TestTargetThatWantsNoRequestsGetsThem(t *testing.T) {
	const pause, settle, most = 3 * time.Second, 500 * time.Millisecond, 2
	f := newFleet(t, 2, 3)
	for _, target := range f.targets {
		target.Work = 20 * time.Millisecond // some requests are hedged
	}
	pausing := f.targets[0]
	var shedding atomic.Bool
	shedding.Store(true)
	pausing.SetPause(pause)
	pausing.SetBehaviour(func(*http.Request) standin.Behaviour {
		if shedding.Load() {
			return standin.Shed
		}
		return standin.Serve
	})
	_, stop := sustainedTraffic(f, func(reply) bool { return false })
	firstArrival := func(entry int) time.Time {
		for _, a := range pausing.Arrivals() {
			if strings.HasPrefix(a.ID, fmt.Sprint(entry, "-")) {
				return a.At
			}
		}
		return time.Time{}
	}
	f.waitUntil(func() bool { return !firstArrival(0).IsZero() && !firstArrival(1).IsZero() })
	time.Sleep(pause)
	for i := range f.entries {
		from := firstArrival(i)
		if n := arrivalsFrom(pausing, i, from.Add(settle), from.Add(pause)); n > most {
			t.Errorf("%d requests of entry %d reached the target while it wanted none, want at most %d", n, i, most)
		}
	}
	shedding.Store(false)
	ended := time.Now()
	f.waitUntil(func() bool {
		return arrivalsFrom(pausing, 0, ended, time.Now()) > most && arrivalsFrom(pausing, 1, ended, time.Now()) > most
	})
	stop()

	const long = time.Minute
	for _, target := range f.targets {
		target.SetPause(long)
		target.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Shed })
	}
	e := f.entries[0]
	f.waitUntil(func() bool {
		f.call(e, http.MethodGet, "/safe/", fmt.Sprint("p", time.Now().UnixNano()), nil)
		return e.snapshot.Load().services["s"].placer.PauseLeft(time.Now()) > 0
	})
	before := 0
	for _, target := range f.targets {
		before += len(target.Arrivals())
	}
	got := f.call(e, http.MethodGet, "/safe/", "refused", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q while no target wants requests", got.status, got.header.Get("Retry-After"))
	}
	for _, target := range f.targets {
		before -= len(target.Arrivals())
	}
	if before != 0 {
		t.Errorf("%d requests were sent to targets that want none", -before)
	}
}
