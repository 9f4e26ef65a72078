package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
)

const (
	// loadEntries is the number of entries of a load experiment.
	loadEntries = 18
	// loadTargets is the number of backend servers of a load experiment.
	loadTargets = 20
	// loadService is the mean time that a call holds a slot.
	loadService = 20 * time.Millisecond
	// loadWarmUp is the part of a load experiment that is thrown away.
	loadWarmUp = time.Second
	// reference names the policy of one entry that sees every call, and so
	// has exact knowledge and one queue.
	reference = "Reference"
)

// runCmd runs one experiment.
type runCmd struct {
	Scenario string        `arg:"" enum:"steady,noisy,slow,failfast,lying" help:"Scenario: steady; noisy (every server is 4 times slower for a tenth of the time); slow (one server is 10 times slower); failfast (one server fails at once); lying (one server reports no load)."`
	Policy   string        `default:"Permits" help:"Random, RoundRobin, LeastOutstanding, TwoChoices, Permits, or Reference: one entry with one queue and exact knowledge."`
	Users    string        `enum:"sunkissed,swanbrook" default:"sunkissed" help:"Size of the servers: sunkissed has 6 slots each, swanbrook 2."`
	Load     float64       `default:"0.7" help:"Load as a share of all slots."`
	Seed     uint64        `default:"1" help:"Seed of everything random."`
	Duration time.Duration `default:"4s" help:"Length of the experiment."`
	Output   string        `enum:"text,json" default:"text" help:"Output format: text or json."`
}

// runResult is the outcome of one experiment.
type runResult struct {
	Scenario, Policy, Users string
	Load                    float64
	Seed                    uint64
	Calls, Whole, Failed    int
	NotRun, Unknown         int
	P50, P99, P999          time.Duration
	// Messages is the number of requests between entries for each call.
	Messages float64
}

// Run prints one row.
func (c *runCmd) Run(ctx context.Context) error {
	res, err := c.run(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(res)
	}
	printResult(os.Stdout, res)
	return nil
}

func printResult(w io.Writer, r runResult) {
	fmt.Fprintf(w, "%-9s %-16s %-9s load %.2f seed %d  calls %6d  failed %4d  not run %4d  unknown %d  p50 %7s  p99 %7s  p99.9 %7s  messages a call %.2f\n",
		r.Scenario, r.Policy, r.Users, r.Load, r.Seed, r.Calls, r.Failed, r.NotRun, r.Unknown, round(r.P50), round(r.P99), round(r.P999), r.Messages)
}

func (c *runCmd) slots() int {
	if c.Users == "swanbrook" {
		return 2
	}
	return 6
}

func (c *runCmd) run(ctx context.Context) (runResult, error) {
	entries, policy := loadEntries, c.Policy
	if c.Policy == reference {
		entries, policy = 1, loader.LeastOutstanding.String()
	}
	base, findings := loader.Parse("run", []byte(c.base(policy)))
	if err := findings.Err(); err != nil {
		return runResult{}, err
	}
	f, err := emulator.NewFleet(ctx, emulator.FleetOptions{
		Base:      base,
		Entries:   entries,
		Mode:      emulator.BackendMode{Service: loadService},
		Retention: demoRetention,
		Seed:      c.Seed,
	})
	if err != nil {
		return runResult{}, err
	}
	defer f.Close()
	warm := emulator.NewCallers(f.Addresses(), 64)
	defer warm.Close()
	c.load(ctx, warm, loadWarmUp)
	stop := c.disturb(f)
	callers := emulator.NewCallers(f.Addresses(), 64)
	defer callers.Close()
	before := requests(f)
	c.load(ctx, callers, c.Duration)
	stop()
	sent := requests(f) - before
	t := callers.Tally()
	if t.Unaccounted() != 0 {
		return runResult{}, errors.Newf("%d calls are unaccounted for", t.Unaccounted())
	}
	return runResult{
		Scenario: c.Scenario, Policy: c.Policy, Users: c.Users, Load: c.Load, Seed: c.Seed,
		Calls: t.Sent, Whole: t.Whole, Failed: t.Classed["Failed"], NotRun: t.Classed["NotRun"], Unknown: t.Classed["Unknown"],
		P50: t.Quantile(0.5), P99: t.Quantile(0.99), P999: t.Quantile(0.999),
		Messages: float64(sent) / float64(t.Sent),
	}, nil
}

// requests counts the requests between entries so far.
func requests(f *emulator.Fleet) int64 {
	var n int64
	for _, e := range f.Entries {
		n += e.Dump().Peers.Requests
	}
	return n
}

// base is the configuration of the experiment.
func (c *runCmd) base(policy string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "DataCentres: {Here: {}}\nServices:\n  S:\n    Policy: %s\n", policy)
	fmt.Fprintf(&b, "    Routes: {All: {PathPrefix: /, Class: Lookup, Deadline: 10s, MaxWait: 5s}}\n    Queue: 10000\n")
	fmt.Fprintf(&b, "    Retry: {Attempts: 2}\n    Defaults: {Slots: %d, Connections: 2000, ColdAnswers: 1}\n    Targets:\n", c.slots())
	for n := range loadTargets {
		fmt.Fprintf(&b, "      t%02d: {Address: \"127.0.0.1:%d\", DataCentre: Here}\n", n, n+1)
	}
	return b.String()
}

// load makes calls at exponentially distributed intervals, whether or not
// earlier ones have ended.
func (c *runCmd) load(ctx context.Context, callers *emulator.Callers, d time.Duration) {
	rate := c.Load * float64(loadTargets*c.slots()) / loadService.Seconds()
	rng := rand.New(rand.NewPCG(c.Seed, 3))
	var wg sync.WaitGroup
	start := time.Now()
	for due := start; due.Sub(start) < d; due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(due))
		wg.Go(func() { callers.Do(ctx, emulator.Call{Method: http.MethodGet, Path: "/x"}) })
	}
	wg.Wait()
}

// disturb makes servers misbehave as the scenario says, until it is stopped.
func (c *runCmd) disturb(f *emulator.Fleet) (stop func()) {
	one := f.Backends[emulator.TargetKey{Service: "S", Target: "t07"}]
	switch c.Scenario {
	case "slow":
		one.SetMode(emulator.BackendMode{Service: loadService, Slow: 10})
	case "failfast":
		one.SetMode(emulator.BackendMode{Fail: true})
	case "lying":
		one.SetMode(emulator.BackendMode{Service: loadService, Lie: true})
	case "noisy":
		return c.noise(f)
	}
	return func() {}
}

// noise makes each server four times slower for a tenth of the time, at times
// of its own.
func (c *runCmd) noise(f *emulator.Fleet) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range loadTargets {
		b := f.Backends[emulator.TargetKey{Service: "S", Target: loader.TargetName(fmt.Sprintf("t%02d", n))}]
		rng := rand.New(rand.NewPCG(c.Seed, uint64(100+n)))
		wg.Go(func() {
			slow := false
			for {
				mean := 180 * time.Millisecond
				mode := emulator.BackendMode{Service: loadService}
				if slow {
					mean, mode.Slow = 20*time.Millisecond, 4
				}
				b.SetMode(mode)
				slow = !slow
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rng.ExpFloat64() * float64(mean))):
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}
