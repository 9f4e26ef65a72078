package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
)

const (
	// addedConfig is the smallest configuration: one service, one target
	// with room for everything.
	addedConfig = `
DataCentres:
  Here: {}
Services:
  Echo:
    Routes:
      All: {PathPrefix: /, Class: Lookup}
    Defaults: {Slots: 256, Connections: 1024}
    Targets:
      one: {Address: "127.0.0.1:1", DataCentre: Here}
`
	// warmUp is the part of a measurement that is thrown away.
	warmUp = 500 * time.Millisecond
	// targetAdded is the latency that an entry may add at the 99th percentile.
	targetAdded = 460 * time.Microsecond
)

// addedCmd measures what an entry adds to a call.
type addedCmd struct {
	Rounds   int           `default:"5" help:"Number of rounds, each with direct calls and calls through the entry in turn."`
	Duration time.Duration `default:"2s" help:"Length of one measurement."`
	Load     float64       `default:"0.33" help:"Load as a share of what the entry carries."`
	Callers  int           `default:"64" help:"Number of callers that find out what the entry carries."`
	Seed     uint64        `default:"1" help:"Seed of everything random."`
}

// sample is one measurement at a steady rate.
type sample struct {
	p50, p99 time.Duration
}

// Run prints one row a round and the medians.
func (c *addedCmd) Run(ctx context.Context) error {
	f, err := emulator.NewFleet(ctx, emulator.FleetOptions{
		Base:      loader.MustParse("added", addedConfig),
		Entries:   1,
		Retention: demoRetention,
		Seed:      c.Seed,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	backend := f.BackendAddress(emulator.TargetKey{Service: "Echo", Target: "one"})
	entry := f.Addresses()[0]
	through := emulator.NewCallers([]string{entry}, c.Callers)
	defer through.Close()
	direct := emulator.NewDirectCallers(backend, c.Callers)
	defer direct.Close()
	most, cpu := c.capacity(ctx, through)
	fmt.Printf("closed loop of %d callers: %.0f calls/s, %.0f us of processor time a call (entry, caller and stand-in together)\n", c.Callers, most, cpu)
	directMost, directCPU := c.capacity(ctx, direct)
	fmt.Printf("the same without the entry: %.0f calls/s, %.0f us a call; the entry's own share is %.0f us, so one core carries %.0f calls/s\n",
		directMost, directCPU, cpu-directCPU, 1e6/(cpu-directCPU))
	rate := c.Load * most
	fmt.Printf("open loop at %.0f calls/s\n%-6s %10s %10s %10s %10s %12s %12s\n", rate, "round", "direct50", "direct99", "entry50", "entry99", "added50", "added99")
	var added50, added99 []time.Duration
	for n := range c.Rounds {
		d, err := c.measure(ctx, direct, rate)
		if err != nil {
			return err
		}
		e, err := c.measure(ctx, through, rate)
		if err != nil {
			return err
		}
		added50 = append(added50, e.p50-d.p50)
		added99 = append(added99, e.p99-d.p99)
		fmt.Printf("%-6d %10s %10s %10s %10s %12s %12s\n", n+1, d.p50, d.p99, e.p50, e.p99, e.p50-d.p50, e.p99-d.p99)
	}
	slices.Sort(added50)
	slices.Sort(added99)
	fmt.Printf("added, median of %d rounds: p50 %s  p99 %s (from %s to %s; target %s)\n", c.Rounds,
		added50[len(added50)/2], added99[len(added99)/2], added99[0], added99[len(added99)-1], targetAdded)
	return nil
}

// capacity returns the calls a second of a closed loop, and the processor time
// of this whole process for each, in microseconds.
func (c *addedCmd) capacity(ctx context.Context, callers *emulator.Callers) (perSecond, cpu float64) {
	before := callers.Tally().Sent
	start, used := time.Now(), processorTime()
	end := start.Add(c.Duration)
	var wg sync.WaitGroup
	for range c.Callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				callers.Do(ctx, emulator.Call{Method: http.MethodGet, Path: "/x"})
			}
		})
	}
	wg.Wait()
	n := float64(callers.Tally().Sent - before)
	return n / time.Since(start).Seconds(), float64((processorTime() - used).Microseconds()) / n
}

// measure makes calls at a steady rate, whether or not earlier ones have
// ended, and measures each from its sending.
func (c *addedCmd) measure(ctx context.Context, callers *emulator.Callers, rate float64) (sample, error) {
	interval := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	failed := 0
	for due := start; due.Sub(start) < warmUp+c.Duration; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		wg.Go(func() {
			sent := time.Now()
			ok := callers.Do(ctx, emulator.Call{Method: http.MethodGet, Path: "/x"}) == "Answered"
			d := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
			if due.Sub(start) >= warmUp {
				latencies = append(latencies, d)
			}
		})
	}
	wg.Wait()
	if failed > 0 {
		return sample{}, errors.Newf("%d calls failed", failed)
	}
	slices.Sort(latencies)
	at := func(q float64) time.Duration {
		return latencies[int(q*float64(len(latencies)-1))].Round(time.Microsecond)
	}
	return sample{p50: at(0.5), p99: at(0.99)}, nil
}

// processorTime is the time that this process has spent on processors.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
