package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"savoryroad.dev/emulator"
	"savoryroad.dev/examples"
	"savoryroad.dev/loader"
)

const (
	// demoRetention is how long the demonstration's log keeps a record.
	demoRetention = time.Hour
	// uploadBytes is the size of an upload.
	uploadBytes = 64 << 10
	// readyTimeout bounds the start of the whole system.
	readyTimeout = 20 * time.Second
)

// demoCmd shows callers being served through several entries.
type demoCmd struct {
	Users    string        `enum:"sunkissed,swanbrook" default:"sunkissed" help:"Example configuration: sunkissed or swanbrook."`
	Entries  int           `default:"3" help:"Number of entries."`
	Callers  int           `default:"24" help:"Number of callers, each with one call at a time."`
	Duration time.Duration `default:"5s" help:"How long callers call."`
	Seed     uint64        `default:"1" help:"Seed of everything random."`
	Verbose  bool          `help:"Write the entries' log lines to standard error."`
}

// Run starts the system, lets callers call, and prints what they got. It fails
// when a call is unaccounted for.
func (c *demoCmd) Run(ctx context.Context) error {
	f, err := c.start(ctx)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Printf("%d entries serve %d backend servers; revision %d is in force\n", len(f.Entries), len(f.Backends), f.Published.Revision)
	callers := emulator.NewCallers(f.Addresses(), c.Callers)
	defer callers.Close()
	c.call(ctx, callers)
	tally := callers.Tally()
	printTally(os.Stdout, tally)
	return checkTally(tally)
}

func (c *demoCmd) start(ctx context.Context) (*emulator.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	base, err := exampleBase(c.Users)
	if err != nil {
		return nil, err
	}
	logger := zerolog.Nop()
	if c.Verbose {
		logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	return emulator.NewFleet(ctx, emulator.FleetOptions{
		Base:      base,
		Entries:   c.Entries,
		Mode:      emulator.BackendMode{Service: 2 * time.Millisecond},
		Retention: demoRetention,
		Seed:      c.Seed,
		Logger:    logger,
	})
}

// exampleBase returns the base document of one of the examples.
func exampleBase(user string) (loader.Document, error) {
	data, err := examples.Files.ReadFile(user + "/base.yaml")
	if err != nil {
		return loader.Document{}, errors.Wrap(err, "example")
	}
	d, findings := loader.Parse(user+"/base.yaml", data)
	return d, findings.Err()
}

// call lets the callers call until the time is over; each finishes the call
// that it is in.
func (c *demoCmd) call(ctx context.Context, callers *emulator.Callers) {
	end := time.Now().Add(c.Duration)
	var wg sync.WaitGroup
	for n := range c.Callers {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				callers.Do(ctx, drawCall(c.Users, rng))
			}
		})
	}
	wg.Wait()
}

// drawCall draws a call of the user's mix: mostly lookups, some calls that
// must not run twice, and a few uploads.
func drawCall(user string, rng *rand.Rand) emulator.Call {
	lookup, once, upload := "/balances", "/purchases", "/consents"
	if user == "swanbrook" {
		lookup, once, upload = "/waveforms", "/seats", "/netlists"
	}
	id := rng.IntN(10_000)
	switch x := rng.IntN(100); {
	case x < 85:
		return emulator.Call{Method: "GET", Path: fmt.Sprintf("%s/%d", lookup, id)}
	case x < 95:
		return emulator.Call{Method: "POST", Path: once, Key: uuid.Must(uuid.NewV7()).String(), Body: []byte("{}")}
	default:
		return emulator.Call{Method: "PUT", Path: fmt.Sprintf("%s/%d", upload, id), Body: make([]byte, uploadBytes)}
	}
}

func printTally(w io.Writer, t emulator.Tally) {
	classed := 0
	var parts []string
	for outcome, n := range t.Classed {
		classed += n
		parts = append(parts, fmt.Sprintf("%s %d", outcome, n))
	}
	slices.Sort(parts)
	detail := ""
	if len(parts) > 0 {
		detail = " (" + strings.Join(parts, ", ") + ")"
	}
	fmt.Fprintf(w, "calls sent      %d\n", t.Sent)
	fmt.Fprintf(w, "whole answers   %d\n", t.Whole)
	fmt.Fprintf(w, "classed errors  %d%s\n", classed, detail)
	fmt.Fprintf(w, "broken          %d\n", t.Broken)
	fmt.Fprintf(w, "unaccounted     %d\n", t.Unaccounted())
	fmt.Fprintf(w, "latency         p50 %s  p99 %s  p99.9 %s\n",
		round(t.Quantile(0.5)), round(t.Quantile(0.99)), round(t.Quantile(0.999)))
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// checkTally fails when a caller got less than he is promised.
func checkTally(t emulator.Tally) error {
	if n := t.Unaccounted(); n != 0 {
		return errors.Newf("%d calls are unaccounted for", n)
	}
	if t.Whole == 0 {
		return errors.New("no call was answered")
	}
	return nil
}
