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

// soakCmd runs real processes under faults.
type soakCmd struct {
	Program string        `default:"bin/savoryroad" type:"existingfile" help:"The program of the entries."`
	Dir     string        `help:"Folder for settings and logs; by default a new one, which is removed unless a promise was broken."`
	First   uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"10" help:"How many seeds are run."`
	Jobs    int           `default:"4" help:"How many seeds are run at the same time."`
	Entries int           `default:"4" help:"Entries of each seed, each a process."`
	Harm    time.Duration `default:"12s" help:"How long faults are injected in each seed."`
}

// Run prints a line for each seed, and fails if a promise was broken.
func (c *soakCmd) Run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "soak")
		}
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	var (
		mu     sync.Mutex
		faults = map[string]int{}
		broken int
		failed error
		runs   sync.WaitGroup
		jobs   = make(chan struct{}, c.Jobs)
	)
	for seed := c.First; seed < c.First+uint64(c.Seeds); seed++ {
		jobs <- struct{}{}
		runs.Go(func() {
			defer func() { <-jobs }()
			r, err := c.runSeed(ctx, program, filepath.Join(dir, fmt.Sprint(seed)), seed)
			mu.Lock()
			defer mu.Unlock()
			failed = errors.CombineErrors(failed, err)
			fmt.Printf("seed %d: replies %v, %d broken\n", seed, r.Replies, len(r.Violations))
			for _, v := range r.Violations {
				fmt.Println("  ", v)
			}
			broken += len(r.Violations)
			for name, n := range r.Faults {
				faults[name] += n
			}
		})
	}
	runs.Wait()
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		fmt.Printf("%-24s %d\n", name, faults[name])
	}
	fmt.Printf("%d seeds, %d promises broken\n", c.Seeds, broken)
	switch {
	case failed != nil:
		return failed
	case broken > 0:
		return errors.Newf("promises were broken; logs are in %s", dir)
	case c.Dir == "":
		return errors.Wrap(os.RemoveAll(dir), "soak")
	}
	return nil
}

func (c *soakCmd) runSeed(ctx context.Context, program, dir string, seed uint64) (soaker.Report, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return soaker.Report{}, errors.Wrap(err, "soak")
	}
	r, err := soaker.Run(ctx, soaker.Options{Program: program, Dir: dir, Seed: seed, Entries: c.Entries, Harm: c.Harm})
	return r, errors.Wrapf(err, "seed %d", seed)
}
