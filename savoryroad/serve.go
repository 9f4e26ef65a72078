package main

import (
	"context"
	"os"
	"syscall"

	"github.com/rs/zerolog"

	"savoryroad.dev/gateway"
	"savoryroad.dev/platform"
)

type serveCmd struct{}

// Run serves until a signal ends the process.
func (c *serveCmd) Run() error {
	file := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	logger := zerolog.New(os.Stdout).With().Timestamp().Logger()
	g := gateway.New(s, gateway.WithLogger(logger), gateway.WithSettingsFile(file))
	return g.Run(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
