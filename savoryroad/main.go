// Command savoryroad is an entry of the load balancer: it takes callers' calls
// and forwards them to backend servers, as the configuration in the platform's
// log says.
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

type commands struct {
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
	var cmds commands
	k := kong.Parse(&cmds,
		kong.Name("savoryroad"),
		kong.Description("An entry of the savoryroad load balancer.\n\nExample: savoryroad run --settings entry.yaml"),
		kong.UsageOnError(),
	)
	k.FatalIfErrorf(k.Run())
}

// Run serves until a signal ends the process.
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

// Run prints the findings, if there are any.
func (c *checkCmd) Run() error {
	_, err := readSettings(c.Settings)
	if err == nil {
		fmt.Println("settings are usable")
	}
	return err
}

func readSettings(file string) (loader.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Settings{}, errors.Wrap(err, "settings")
	}
	s, findings := loader.ParseSettings(file, data)
	return s, findings.Err()
}

// dumpOnSignal writes the state to standard error at each SIGUSR1.
func dumpOnSignal(ctx context.Context, b *balancer.Balancer) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGUSR1)
	defer signal.Stop(c)
	for {
		select {
		case <-c:
			_ = json.NewEncoder(os.Stderr).Encode(b.Dump())
		case <-ctx.Done():
			return
		}
	}
}
