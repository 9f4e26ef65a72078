package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
)

const (
	mebibyte = 1 << 20
	// memoryInterval is the time between two looks at the memory.
	memoryInterval = 20 * time.Millisecond
	// maxGrowth is how much the memory may grow, in bytes.
	maxGrowth = 32 * mebibyte
)

// bulkCmd passes large bodies through an entry.
type bulkCmd struct {
	Mebibytes int64 `default:"1024" help:"Size of each body, in MiB."`
}

// Run fails when a body is not whole or the memory of the whole process, entry
// and stand-ins together, grows too much.
func (c *bulkCmd) Run(ctx context.Context) error {
	f, err := emulator.NewFleet(ctx, emulator.FleetOptions{
		Base:      loader.MustParse("bulk", addedConfig),
		Entries:   1,
		Retention: demoRetention,
		Seed:      1,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	url := "http://" + f.Addresses()[0] + "/x"
	size := c.Mebibytes * mebibyte
	for _, pass := range []struct {
		name string
		run  func(context.Context, string, int64) error
	}{{"upload", upload}, {"answer", download}} {
		start := time.Now()
		growth, err := watchMemory(func() error { return pass.run(ctx, url, size) })
		if err != nil {
			return errors.Wrap(err, pass.name)
		}
		fmt.Printf("%s of %d MiB: whole, %s, memory grew by %.1f MiB at most\n",
			pass.name, c.Mebibytes, time.Since(start).Round(time.Millisecond), float64(growth)/mebibyte)
		if growth > maxGrowth {
			return errors.Newf("memory grew by more than %d MiB", maxGrowth/mebibyte)
		}
	}
	return nil
}

func upload(ctx context.Context, url string, size int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, io.LimitReader(zeros{}, size))
	if err != nil {
		return err
	}
	req.ContentLength = size
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var path, id string
	var got int64
	if _, err := fmt.Fscanf(resp.Body, "PUT %s\n%s\n%d bytes", &path, &id, &got); err != nil || got != size {
		return errors.Newf("backend server got %d of %d bytes (%v)", got, size, err)
	}
	return nil
}

func download(ctx context.Context, url string, size int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?bytes=%d", url, size), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.Copy(io.Discard, resp.Body)
	if err != nil || got != size {
		return errors.Newf("caller got %d of %d bytes (%v)", got, size, err)
	}
	return nil
}

// zeros is an endless body.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// watchMemory runs a function and returns the largest growth, in bytes, of the
// memory that the process holds from the system.
func watchMemory(run func() error) (uint64, error) {
	runtime.GC()
	before := heldMemory()
	done := make(chan error, 1)
	go func() { done <- run() }()
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	peak := before
	for {
		select {
		case err := <-done:
			return peak - before, err
		case <-ticker.C:
			peak = max(peak, heldMemory())
		}
	}
}

func heldMemory() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys - m.HeapReleased
}
