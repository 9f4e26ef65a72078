package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/soaker"
)

// soakCmd runs the soak with consecutive seeds.
type soakCmd struct {
	Program string        `default:"bin/savoryroad" type:"existingfile" help:"The program of the entries."`
	Dir     string        `help:"Folder for settings and logs; by default a new one, which is removed unless a promise was broken."`
	First   uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"10" help:"How many seeds are run."`
	Jobs    int           `default:"4" help:"How many seeds are run at the same time."`
	Entries int           `default:"4" help:"Entries of each seed, each a process."`
	Harm    time.Duration `default:"12s" help:"How long faults are injected in each seed."`
}

// Run prints a line for each seed, its violations, and the numbers of faults by
// kind. It returns an error if there are violations or a run fails.
func (c *soakCmd) Run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "create a folder for settings and logs")
		}
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return errors.Wrap(err, "resolve the path of the program")
	}
	var (
		mu         sync.Mutex
		faults     = map[string]int{}
		violations int
		runErr     error
		wg         sync.WaitGroup
		slots      = make(chan struct{}, c.Jobs)
	)
	for seed := c.First; seed < c.First+uint64(c.Seeds); seed++ {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r, err := c.runSeed(ctx, program, filepath.Join(dir, fmt.Sprint(seed)), seed)
			mu.Lock()
			defer mu.Unlock()
			runErr = errors.CombineErrors(runErr, err)
			fmt.Printf("seed %d: requests by status %v, %d violations\n", seed, r.Replies, len(r.Violations))
			for _, v := range r.Violations {
				fmt.Println("  ", v)
			}
			violations += len(r.Violations)
			for name, n := range r.Faults {
				faults[name] += n
			}
		})
	}
	wg.Wait()
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		fmt.Printf("%-24s %d\n", name, faults[name])
	}
	fmt.Printf("%d seeds, %d violations\n", c.Seeds, violations)
	switch {
	case runErr != nil:
		return runErr
	case violations > 0:
		return errors.Newf("guarantees were violated; logs are in %s", dir)
	case c.Dir == "":
		return errors.Wrap(os.RemoveAll(dir), "remove the folder for settings and logs")
	}
	return nil
}

// runSeed runs the soak with one seed in a folder of its own.
func (c *soakCmd) runSeed(ctx context.Context, program, dir string, seed uint64) (soaker.Report, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return soaker.Report{}, errors.Wrap(err, "create the folder of a seed")
	}
	r, err := soaker.Run(ctx, soaker.Options{Program: program, Dir: dir, Seed: seed, Entries: c.Entries, Harm: c.Harm})
	return r, errors.Wrapf(err, "seed %d", seed)
}
