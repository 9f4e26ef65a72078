// Command savoryroad runs an entry of the load balancer, which forwards calls
// to backend servers. The subcommand run reads the configuration from the log
// service, serve from the platform's store.
//
//	savoryroad run --settings entry.yaml
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"savoryroad.dev/balancer"
	"savoryroad.dev/loader"
)

// cli defines the subcommands, which kong parses.
type cli struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry on the platform until SIGTERM or SIGINT. The platform's settings are found by the environment."`
	CheckEntry checkEntryCmd `cmd:"" help:"Check an entry's own settings and end."`
	Run        runCmd        `cmd:"" help:"Run an entry until SIGTERM or SIGINT. SIGUSR1 writes the state to standard error."`
	Check      checkCmd      `cmd:"" help:"Check a settings file and end."`
}

type runCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file (YAML)."`
}

type checkCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file (YAML)."`
}

func main() {
	var cmdline cli
	kctx := kong.Parse(&cmdline,
		kong.Name("savoryroad"),
		kong.Description("An entry of the savoryroad load balancer.\n\nExample: savoryroad run --settings entry.yaml"),
		kong.UsageOnError(),
	)
	kctx.FatalIfErrorf(kctx.Run())
}

// Run serves calls until SIGTERM or SIGINT, and then drains the entry.
func (c *runCmd) Run() error {
	s, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	logger := zerolog.New(os.Stderr).With().Timestamp().Logger()
	b, err := balancer.New(s,
		balancer.WithLogger(logger),
		balancer.WithSignals(syscall.SIGTERM, syscall.SIGINT),
	)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go dumpOnSignal(ctx, b)
	return b.Run(ctx)
}

// Run returns the findings as an error, or prints that there are none.
func (c *checkCmd) Run() error {
	_, err := readSettings(c.Settings)
	if err == nil {
		fmt.Println("settings are valid")
	}
	return err
}

func readSettings(file string) (loader.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Settings{}, errors.Wrap(err, "read settings")
	}
	s, findings := loader.ParseSettings(file, data)
	return s, findings.Err()
}

// dumpOnSignal writes the entry's state to standard error as JSON on each
// SIGUSR1, until ctx ends.
func dumpOnSignal(ctx context.Context, b *balancer.Balancer) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			_ = json.NewEncoder(os.Stderr).Encode(b.Dump())
		case <-ctx.Done():
			return
		}
	}
}
