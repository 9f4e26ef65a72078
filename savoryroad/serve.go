package main

import (
	"context"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"savoryroad.dev/gateway"
	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
	"savoryroad.dev/scribe"
)

type serveCmd struct {
	Settings string `required:"" type:"existingfile" help:"The entry's own settings (YAML), beside the platform's."`
}

type checkEntryCmd struct {
	Settings string `required:"" type:"existingfile" help:"The entry's own settings (YAML)."`
}

// Run serves until a signal ends the process.
func (c *serveCmd) Run() error {
	tuning, err := readTuning(c.Settings)
	if err != nil {
		return err
	}
	file := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	lines := scribe.New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(ctx)
	}()
	defer func() {
		cancel()
		<-written
	}()
	g := gateway.New(s,
		gateway.WithTuning(tuning),
		gateway.WithLogger(newLogger(lines, tuning)),
		gateway.WithSettingsFile(file),
	)
	return g.Run(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// newLogger returns a logger with the names of the product's own formats.
func newLogger(w *scribe.Scribe, t loader.Tuning) zerolog.Logger {
	zerolog.TimestampFieldName, zerolog.LevelFieldName = "Time", "Level"
	zerolog.MessageFieldName, zerolog.ErrorFieldName = "Message", "Error"
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	level := zerolog.InfoLevel
	if t.Debug {
		level = zerolog.DebugLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

// Run prints the findings, if there are any.
func (c *checkEntryCmd) Run() error {
	_, err := readTuning(c.Settings)
	return err
}

func readTuning(file string) (loader.Tuning, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Tuning{}, errors.Wrap(err, "settings")
	}
	t, findings := loader.ParseTuning(file, data)
	return t, findings.Err()
}
