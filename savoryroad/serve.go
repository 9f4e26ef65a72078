package main

import (
	"context"
	"os"
	"runtime/debug"
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

// Run serves calls until SIGTERM or SIGINT, and then drains the entry.
func (c *serveCmd) Run() error {
	tuning, err := readTuning(c.Settings)
	if err != nil {
		return err
	}
	settingsFile := os.Getenv(platform.SettingsVariable)
	platformSettings, err := platform.ReadSettings(settingsFile)
	if err != nil {
		return err
	}
	if platformSettings.MemoryBytes > 0 {
		debug.SetMemoryLimit(gateway.HeapLimit(platformSettings.MemoryBytes))
	}
	logWriter := scribe.New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		logWriter.Run(ctx)
	}()
	defer func() {
		cancel()
		<-flushed
	}()
	g := gateway.New(platformSettings,
		gateway.WithTuning(tuning),
		gateway.WithLogger(newLogger(logWriter, tuning)),
		gateway.WithSettingsFile(settingsFile),
	)
	return g.Run(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// newLogger returns a logger that writes to w. It sets zerolog's global field
// names and time format: names begin with a capital, as in the settings, and
// times are in Unix milliseconds.
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

// Run returns the findings as an error, and prints nothing if there are none.
func (c *checkEntryCmd) Run() error {
	_, err := readTuning(c.Settings)
	return err
}

func readTuning(file string) (loader.Tuning, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Tuning{}, errors.Wrap(err, "read settings")
	}
	t, findings := loader.ParseTuning(file, data)
	return t, findings.Err()
}
