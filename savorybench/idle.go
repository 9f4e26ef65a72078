package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"savoryroad.dev/emulator"
)

// idleCmd measures what entries cost without any call.
type idleCmd struct {
	Users    string        `enum:"sunkissed,swanbrook" default:"sunkissed" help:"Example configuration: sunkissed or swanbrook."`
	Sizes    []int         `default:"3,9,18" help:"Numbers of entries."`
	Duration time.Duration `default:"10s" help:"Length of each measurement."`
	Seed     uint64        `default:"1" help:"Seed of everything random."`
}

// Run prints a row for each size.
func (c *idleCmd) Run(ctx context.Context) error {
	fmt.Printf("%-8s %14s %14s %14s %14s\n", "entries", "cpu/entry", "memory/entry", "requests/s", "bytes/s")
	for _, n := range c.Sizes {
		if err := c.measure(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// measure prints what one entry of that many costs: processor time as a share
// of one core, live memory, and requests and bytes that it sends to peers.
func (c *idleCmd) measure(ctx context.Context, entries int) error {
	base, err := exampleBase(c.Users)
	if err != nil {
		return err
	}
	before := liveMemory()
	f, err := emulator.NewFleet(ctx, emulator.FleetOptions{Base: base, Entries: entries, Retention: demoRetention, Seed: c.Seed})
	if err != nil {
		return err
	}
	defer f.Close()
	time.Sleep(3 * time.Second) // The shares are spread by then.
	asked, bytes, used, start := requests(f), peerBytes(f), processorTime(), time.Now()
	time.Sleep(c.Duration)
	seconds, n := time.Since(start).Seconds(), float64(entries)
	cpu := (processorTime() - used).Seconds() / seconds / n
	fmt.Printf("%-8d %13.2f%% %11.2f MiB %14.1f %14.0f\n", entries, 100*cpu, float64(liveMemory()-before)/mebibyte/n,
		float64(requests(f)-asked)/seconds/n, float64(peerBytes(f)-bytes)/seconds/n)
	return nil
}

func peerBytes(f *emulator.Fleet) int64 {
	var n int64
	for _, e := range f.Entries {
		n += e.Dump().Peers.Bytes
	}
	return n
}

// liveMemory returns the bytes of live objects.
func liveMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
