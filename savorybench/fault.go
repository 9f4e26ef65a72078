package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

const (
	// faultEntries is the number of entries of a fault experiment.
	faultEntries = 5
	// faultCallers is the number of callers, each with one call at a time.
	faultCallers = 24
	// faultSettle is how long callers call before and after the fault.
	faultSettle = 2 * time.Second
	// outBound is the time after which a data centre that is out gets no new
	// work.
	outBound = 3 * time.Second
	// maxSends is how often a caller sends one purchase.
	maxSends = 3
)

// faultCmd runs one fault experiment.
type faultCmd struct {
	Scenario string `arg:"" enum:"duplicate-sends,entry-kill,log-outage,lost-ack,racing-operators,dc-leave-return,rolling-replace,cold-again,crashing-request" help:"One of duplicate-sends, entry-kill, log-outage, lost-ack, racing-operators, dc-leave-return, rolling-replace, cold-again, crashing-request."`
	Seed     uint64 `default:"1" help:"Seed of everything random."`
	Output   string `enum:"text,json" default:"text" help:"Output format: text or json."`
}

// violations counts what must not happen.
type violations struct {
	// DoubleRuns counts keys that ran more than once.
	DoubleRuns int
	// FalseNotRun counts keys of which every send was called not run, and that
	// ran all the same.
	FalseNotRun int
	// CutOff counts calls whose connection broke, but for those at an entry
	// that was killed.
	CutOff int
	// OverCold counts calls above a cold limit after the target's first sign.
	OverCold int64
	// LateWork counts calls in a data centre that has been out for 3 s.
	LateWork int64
	// Reverted counts entries that went back to an older revision.
	Reverted int
	// Crashes counts the servers beyond two that one call crashed.
	Crashes int64
	// Winners counts racing changes accepted beyond one on a revision.
	Winners int
}

// faultResult is the outcome of one fault experiment.
type faultResult struct {
	Scenario   string
	Seed       uint64
	Violations violations
	// Service is what callers got meanwhile.
	Calls, Whole, NotRun, Unknown, Failed, Broken int
	P50, P99                                      time.Duration
	// Note says what else is worth knowing.
	Note string
}

// experiment is a running fault experiment.
type experiment struct {
	*emulator.Fleet
	cmd     *faultCmd
	callers *emulator.Callers
	result  faultResult

	mu sync.Mutex
	// sends holds the outcomes of each key's sends.
	sends map[string][]string
}

const faultBase = `
DataCentres: {Hobart: {}, Burnie: {}}
Services:
  Balances:
    Routes: {Read: {PathPrefix: /balances, Class: Lookup, Deadline: 5s, MaxWait: 2s}}
    Defaults: {Slots: 4, ColdAnswers: 20}
    Targets:
      b1: {Address: "127.0.0.1:1", DataCentre: Hobart}
      b2: {Address: "127.0.0.1:2", DataCentre: Hobart}
      b3: {Address: "127.0.0.1:3", DataCentre: Burnie}
      b4: {Address: "127.0.0.1:4", DataCentre: Burnie}
  Sales:
    Routes: {Buy: {PathPrefix: /purchases, Class: AtMostOnce, Deadline: 5s, MaxWait: 2s}}
    Defaults: {Slots: 4, ColdAnswers: 20}
    Targets:
      s1: {Address: "127.0.0.1:5", DataCentre: Hobart}
      s2: {Address: "127.0.0.1:6", DataCentre: Burnie}
`

// Run prints the violations, and fails when there is any.
func (c *faultCmd) Run(ctx context.Context) error {
	res, err := c.run(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		err = json.NewEncoder(os.Stdout).Encode(res)
	} else {
		fmt.Printf("%-17s seed %d  violations %+v\n    calls %d  whole %d  not run %d  unknown %d  failed %d  broken %d  p50 %s  p99 %s  %s\n",
			res.Scenario, res.Seed, res.Violations, res.Calls, res.Whole, res.NotRun, res.Unknown, res.Failed, res.Broken, round(res.P50), round(res.P99), res.Note)
	}
	if err == nil && res.Violations != (violations{}) {
		err = errors.New("there were violations")
	}
	return err
}

func (c *faultCmd) run(ctx context.Context) (faultResult, error) {
	f, err := emulator.NewFleet(ctx, emulator.FleetOptions{
		Base:        loader.MustParse("fault", faultBase),
		Entries:     faultEntries,
		Mode:        emulator.BackendMode{Service: 2 * time.Millisecond},
		ColdAnswers: 20,
		// Callers learn of an entry's end a moment before it begins, so calls
		// that are on their way by then arrive within this time.
		UnreadyDelay: 500 * time.Millisecond,
		Retention:    demoRetention,
		Seed:         c.Seed,
	})
	if err != nil {
		return faultResult{}, err
	}
	defer f.Close()
	x := &experiment{
		Fleet:   f,
		cmd:     c,
		callers: emulator.NewCallers(f.Addresses(), faultCallers),
		result:  faultResult{Scenario: c.Scenario, Seed: c.Seed},
		sends:   map[string][]string{},
	}
	defer x.callers.Close()
	stop := x.start(ctx)
	time.Sleep(faultSettle)
	err = x.fault(ctx)
	time.Sleep(faultSettle)
	stop()
	x.judge()
	return x.result, err
}

// start lets callers call, and watches revisions, until it is stopped.
func (x *experiment) start(ctx context.Context) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range faultCallers {
		rng := rand.New(rand.NewPCG(x.cmd.Seed, uint64(n)))
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					x.callOnce(ctx, rng)
				}
			}
		})
	}
	wg.Go(func() { x.watchRevisions(done) })
	return func() {
		close(done)
		wg.Wait()
	}
}

// callOnce makes a lookup, or a purchase that is sent until it is answered.
func (x *experiment) callOnce(ctx context.Context, rng *rand.Rand) {
	if rng.IntN(5) > 0 {
		x.callers.Do(ctx, emulator.Call{Method: "GET", Path: fmt.Sprintf("/balances/%d", rng.IntN(1000))})
		return
	}
	key := uuid.Must(uuid.NewV7()).String()
	for range maxSends {
		outcome := x.buy(ctx, key)
		if outcome == "Answered" && x.cmd.Scenario != "duplicate-sends" {
			return
		}
	}
}

// buy sends a purchase once, through the next entry.
func (x *experiment) buy(ctx context.Context, key string) string {
	outcome := x.callers.Do(ctx, emulator.Call{Method: "POST", Path: "/purchases", Key: key, Body: []byte("{}")})
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sends[key] = append(x.sends[key], outcome)
	return outcome
}

func (x *experiment) watchRevisions(done <-chan struct{}) {
	newest := map[loader.EntryName]publisher.Revision{}
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, e := range x.Running() {
			rev := e.Status().Revision
			if rev < newest[e.Name] {
				x.mu.Lock()
				x.result.Violations.Reverted++
				x.mu.Unlock()
			}
			newest[e.Name] = max(rev, newest[e.Name])
		}
	}
}

// judge counts the violations that show in the end.
func (x *experiment) judge() {
	v := &x.result.Violations
	for key, outcomes := range x.sends {
		runs := 0
		for _, b := range x.Backends {
			runs += b.Runs(key)
		}
		if runs > 1 {
			v.DoubleRuns++
		}
		if runs > 0 && !slices.ContainsFunc(outcomes, func(o string) bool { return o != "NotRun" }) {
			v.FalseNotRun++
		}
	}
	t := x.callers.Tally()
	r := &x.result
	r.Calls, r.Whole, r.Broken = t.Sent, t.Whole, t.Broken
	r.NotRun, r.Unknown, r.Failed = t.Classed["NotRun"], t.Classed["Unknown"], t.Classed["Failed"]
	r.P50, r.P99 = t.Quantile(0.5), t.Quantile(0.99)
	if x.cmd.Scenario != "entry-kill" {
		v.CutOff = t.Broken + t.Wrong
	}
	if x.cmd.Scenario != "cold-again" && x.cmd.Scenario != "crashing-request" {
		for _, b := range x.Backends {
			v.OverCold += b.OverCold()
		}
	}
}
