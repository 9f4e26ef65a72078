//go:build review

// Command 2 shows that two entries use the same quotas of cold targets after the store
// has reassigned the partitions of the group.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savoryroad.dev/review/lab"
)

const (
	entries = 3
	targets = 6
	// perSecond is the number of requests a second that clients send to each entry.
	perSecond = 45
	rounds    = 6
	// startGap is the time between the starts of two entries, as in a rolling restart.
	startGap = 800 * time.Millisecond
	// minGap is the least time from a reassignment to the next one.
	minGap = 6 * time.Second
	// coldAfter is the time from a reassignment until the targets are cold.
	coldAfter = 2400 * time.Millisecond
	// maxTime is the time after which no further round begins.
	maxTime = 75 * time.Second
	warmup  = 3 * time.Second
	// bound is warmupPerS x warmupExcess + warmupSlack.
	bound = 14*1.5 + 5
)

func main() {
	f := lab.NewFleet("review/2", entries, "hobart")
	joins := make(chan int, 100)
	f.Store.Joined = func(member string) {
		f.Note("join", "%s", member)
		for i, e := range f.Entries {
			if e.Name == member {
				joins <- i
			}
		}
	}
	var all []*lab.Target
	f.Store.Configure(7, []string{"balances"}, map[string]lab.Route{
		"read": {Host: "a.example", Prefix: "/r/", Kind: "safe", Service: "balances", Timeout: 2500 * time.Millisecond, Objective: 300 * time.Millisecond, MaxAttempts: 2},
	})
	for range targets {
		all = append(all, lab.NewTarget(f.Store, f.Net+".100", fmt.Sprintf("i-%08x", rand.Uint32()), "balances", "hobart", 6, 20*time.Millisecond))
	}
	f.Start(startGap)
	var statuses [600]atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range f.Entries {
		wg.Go(func() { send(f, e, stop, &statuses) })
	}
	time.Sleep(7 * time.Second)
	type cold struct{ from, to time.Time }
	var colds []cold
	begun := time.Now()
	for round := range rounds {
		if time.Since(begun) > maxTime {
			break
		}
		from, to := nextPair(joins)
		time.Sleep(50 * time.Millisecond)
		if lab.Trouble() {
			f.Store.Reassign((to - from + entries) % entries)
			f.Note("store", "all partitions are reassigned; those of %s go to %s", f.Entries[from].Name, f.Entries[to].Name)
		}
		time.Sleep(coldAfter)
		now := time.Now()
		for _, t := range all {
			t.ColdUntil.Store(now.Add(warmup).UnixNano())
		}
		colds = append(colds, cold{now, now.Add(warmup)})
		f.Note("targets", "round %d: all are cold for %v", round+1, warmup)
		time.Sleep(minGap - coldAfter)
	}
	close(stop)
	wg.Wait()
	for s := range statuses {
		if n := statuses[s].Load(); n > 0 {
			f.Note("answers", "%d: %d", s, n)
		}
	}
	worst := 0
	broken := 0
	for round, c := range colds {
		for _, t := range all {
			n, by := busiest(t.Runs(), c.from, c.to)
			f.Note("cold", "round %d: %s got %d requests in its busiest second, from %v", round+1, t.ID, n, by)
			worst = max(worst, n)
			if float64(n) > bound {
				broken++
			}
		}
	}
	f.Finish(broken > 0, "busiest second of a cold target: %d requests, bound %.0f; over the bound: %d of %d", worst, float64(bound), broken, len(colds)*targets)
}

// nextPair waits until an entry has just joined, and another one is about to, and returns
// both.
func nextPair(joins <-chan int) (from, to int) {
	var last [entries]time.Time
	for {
		from = <-joins
		now := time.Now()
		last[from] = now
		for to, at := range last {
			if age := now.Sub(at); !at.IsZero() && age > 2500*time.Millisecond && age < 3500*time.Millisecond {
				return from, to
			}
		}
	}
}

// busiest returns the largest number of arrivals in a second between two times, and the
// numbers from each entry.
func busiest(arrivals []lab.Arrival, from, to time.Time) (int, map[string]int) {
	var in []lab.Arrival
	for _, a := range arrivals {
		if a.At.After(from.Add(20*time.Millisecond)) && a.At.Before(to) {
			in = append(in, a)
		}
	}
	sort.Slice(in, func(i, j int) bool { return in[i].At.Before(in[j].At) })
	most, by := 0, map[string]int{}
	for i, first := 0, 0; i < len(in); i++ {
		for in[i].At.Sub(in[first].At) >= time.Second {
			first++
		}
		if i-first+1 <= most {
			continue
		}
		most = i - first + 1
		clear(by)
		for _, a := range in[first : i+1] {
			by[strings.Split(a.URI, "/")[2]]++
		}
	}
	return most, by
}

// send sends requests to an entry at a constant rate.
func send(f *lab.Fleet, e *lab.Entry, stop <-chan struct{}, statuses *[600]atomic.Int64) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / perSecond):
		}
		wg.Go(func() {
			req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/r/%s/%d", e.Front(), e.Name, n), nil)
			req.Host = "a.example"
			id, start := fmt.Sprintf("%016x", rand.Uint64()), time.Now()
			req.Header.Set("Request-Id", id)
			req.Header.Set("Request-Deadline", "2500")
			resp, err := client.Do(req)
			if err != nil {
				statuses[0].Add(1)
				f.Result(id, e.Name, "no answer", start)
				return
			}
			_ = resp.Body.Close()
			statuses[resp.StatusCode].Add(1)
			f.Result(id, e.Name, resp.Status, start)
		})
	}
}
