package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savoryroad.dev/placer"
	"savoryroad.dev/transporter"
)

// A target that names a limit must get no more than one and a half times of it and five
// requests in any 4 s that begin 3 s later, from all entries together, while the others
// serve the rest. Once it names none, it gets as many as before.
func TestLimitedTargetGetsMoreThanItNamed(t *testing.T) {
	for _, inHealth := range []bool{false, true} {
		t.Run(fmt.Sprint("in health checks ", inHealth), func(t *testing.T) {
			t.Parallel()
			const limit, perSecond, entries = 2.0, 80, 4
			f := newFleet(t, entries, 3)
			limited := f.targets[0]
			var sent, served atomic.Int64
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for i := range entries {
				callers.Go(func() {
					ticker := time.NewTicker(entries * time.Second / perSecond)
					defer ticker.Stop()
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-ticker.C:
						}
						callers.Go(func() {
							id := fmt.Sprint(i, "-", n)
							sent.Add(1)
							if got := f.call(f.entries[i], http.MethodGet, "/safe/", id, nil); got.status == http.StatusOK {
								served.Add(1)
							}
						})
					}
				})
			}
			limited.SetLimit(limit, inHealth)
			named := time.Now()
			time.Sleep(13 * time.Second)
			limited.SetLimit(0, inHealth)
			ended := time.Now()
			const contact, window = 3 * time.Second, 4 * time.Second
			within := func(from, to time.Time) (n int) {
				for _, a := range limited.Arrivals() {
					if !a.At.Before(from) && a.At.Before(to) {
						n++
					}
				}
				return n
			}
			most := int(1.5*limit*window.Seconds() + 5)
			f.waitUntil(func() bool { return within(ended, time.Now()) > 2*most })
			close(stop)
			callers.Wait()

			for from := named.Add(contact); !from.Add(window).After(ended); from = from.Add(50 * time.Millisecond) {
				if n := within(from, from.Add(window)); n > most {
					t.Errorf("%d requests in %v from %v after the limit was named, want at most %d", n, window, from.Sub(named), most)
					break
				}
			}
			if within(named.Add(contact), ended) == 0 {
				t.Error("no request while the limit was named")
			}
			if n := served.Load(); n < sent.Load()/2 {
				t.Errorf("%d of %d requests served", n, sent.Load())
			}
		})
	}
}

// An answer with status 421 comes from another target at the same address, which names a
// limit of its own.
func TestLimitOfAnotherTargetAtTheAddress(t *testing.T) {
	for status, counts := range map[int]bool{
		http.StatusOK: true, http.StatusInternalServerError: true, http.StatusServiceUnavailable: true, http.StatusMisdirectedRequest: false,
	} {
		h := http.Header{}
		h.Set("Server-Limit", "2.5")
		a := &transporter.Answer{Status: status, Header: h}
		r := attemptResult{answer: a, notRun: status == http.StatusServiceUnavailable || status == http.StatusMisdirectedRequest}
		if got := r.limitReport(time.Now()); got.Named != counts {
			t.Errorf("status %d: limit counts: %v, want %v", status, got.Named, counts)
		}
	}
	if got := (attemptResult{}).limitReport(time.Now()); got != (placer.LimitReport{}) {
		t.Errorf("without an answer: %+v", got)
	}
}

// An answer with an invalid limit neither names one nor ends one.
func TestInvalidLimitEndsLimit(t *testing.T) {
	for text, want := range map[string]placer.LimitReport{
		"": {Conclusive: true}, "2.5": {Named: true, PerSecond: 2.5}, "2.5, 3": {}, "-1": {},
	} {
		h := http.Header{}
		if text != "" {
			h.Set("Server-Limit", text)
		}
		if got := limitReport(h, true, time.Time{}); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
}
