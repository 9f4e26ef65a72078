package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// fault brings the scenario's fault about.
func (x *experiment) fault(ctx context.Context) error {
	switch x.cmd.Scenario {
	case "entry-kill":
		return x.kill(ctx)
	case "log-outage":
		x.Log.SetFaults(emulator.Faults{Down: true})
		_, err := x.AddEntry(ctx)
		time.Sleep(3 * faultSettle)
		x.Log.SetFaults(emulator.Faults{})
		return err
	case "lost-ack":
		x.Log.SetFaults(emulator.Faults{LostAcks: 0.5})
		return x.replace(ctx, 2)
	case "racing-operators":
		return x.race(ctx)
	case "dc-leave-return":
		return x.leaveAndReturn(ctx)
	case "rolling-replace":
		return x.replace(ctx, faultEntries)
	case "cold-again":
		return x.goCold()
	case "crashing-request":
		return x.crash(ctx)
	}
	return nil
}

// kill ends an entry at once; callers find the others.
func (x *experiment) kill(ctx context.Context) error {
	victim := x.Entries[0]
	x.callers.SetEntries(x.Addresses()[1:])
	x.KillEntry(victim)
	end := time.Now().Add(30 * time.Second)
	start := time.Now()
	for time.Now().Before(end) {
		good := 0
		for good < 50 && x.buy(ctx, uuid.Must(uuid.NewV7()).String()) == "Answered" {
			good++
		}
		if good == 50 {
			x.result.Note = fmt.Sprintf("50 purchases in a row %s after the kill", time.Since(start).Round(100*time.Millisecond))
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("purchases did not come back")
}

// replace starts a new entry and stops an old one, that many times.
func (x *experiment) replace(ctx context.Context, n int) error {
	for _, old := range slices.Clone(x.Entries)[:n] {
		if _, err := x.AddEntry(ctx); err != nil {
			return err
		}
		rest := slices.DeleteFunc(x.Addresses(), func(a string) bool { return a == old.CallersAddr().String() })
		x.callers.SetEntries(rest)
		if err := x.StopEntry(old); err != nil {
			return err
		}
	}
	return nil
}

// race lets five operators publish on one revision, four times.
func (x *experiment) race(ctx context.Context) error {
	for round := range 4 {
		r, _, err := publisher.Load(ctx, x.Log)
		if err != nil {
			return err
		}
		results := make([]publisher.Result, 5)
		var wg sync.WaitGroup
		for n := range results {
			c := publisher.Change{
				ID:       publisher.ChangeID(fmt.Sprintf("race-%d-%d", round, n)),
				Expected: r.State.Revision,
				Base:     fmt.Appendf(nil, `{"Services":{"Sales":{"Queue":"%d"}}}`, 100+n),
			}
			wg.Go(func() { results[n] = publisher.Publish(ctx, x.Log, r, c) })
		}
		wg.Wait()
		won := 0
		for _, res := range results {
			if _, ok := res.(publisher.Published); ok {
				won++
			}
		}
		if won != 1 {
			x.result.Violations.Winners++
		}
	}
	return nil
}

// leaveAndReturn takes Burnie out, with the log down right after the edit, and
// brings it back.
func (x *experiment) leaveAndReturn(ctx context.Context) error {
	if err := x.setBurnie(ctx, loader.Out); err != nil {
		return err
	}
	x.Log.SetFaults(emulator.Faults{Down: true})
	time.Sleep(outBound)
	before := x.burnieCalls()
	time.Sleep(faultSettle)
	x.result.Violations.LateWork = x.burnieCalls() - before
	x.Log.SetFaults(emulator.Faults{})
	return x.setBurnie(ctx, loader.In)
}

func (x *experiment) setBurnie(ctx context.Context, s loader.DataCentreState) error {
	patch := fmt.Appendf(nil, `{"DataCentres":{"Burnie":{"State":"%s"}}}`, s)
	return x.Publish(ctx, publisher.Change{ID: publisher.ChangeID(uuid.NewString()), Base: patch})
}

func (x *experiment) burnieCalls() int64 {
	var n int64
	for _, target := range []emulator.TargetKey{{Service: "Balances", Target: "b3"}, {Service: "Balances", Target: "b4"}, {Service: "Sales", Target: "s2"}} {
		n += x.Backends[target].Calls()
	}
	return n
}

// goCold starts a server anew without warning. Calls that come before its
// first sign can't be held back; they are noted, not counted as violations.
func (x *experiment) goCold() error {
	b := x.Backends[emulator.TargetKey{Service: "Balances", Target: "b2"}]
	already := b.OverCold()
	x.result.Violations.OverCold = already
	b.Restart(1, 200)
	start := time.Now()
	last, lastAt := already, time.Duration(0)
	for time.Since(start) < faultSettle {
		if n := b.OverCold(); n != last {
			last, lastAt = n, time.Since(start)
		}
		time.Sleep(time.Millisecond)
	}
	x.result.Note = fmt.Sprintf("%d calls above the cold limit, the last %s after the restart", last-already, lastAt.Round(time.Millisecond))
	return nil
}

// crash sends a call that crashes every server that runs it, again and again.
func (x *experiment) crash(ctx context.Context) error {
	for range 50 {
		x.callers.Do(ctx, emulator.Call{Method: "GET", Path: "/balances/crash"})
		time.Sleep(20 * time.Millisecond)
	}
	var n int64
	for _, b := range x.Backends {
		n += b.Crashes()
	}
	x.result.Violations.Crashes = max(0, n-2)
	x.result.Note = fmt.Sprintf("%d of 50 sends crashed a server", n)
	return nil
}
