package main

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"savoryroad.dev/emulator"
)

// callCmd makes one call that must not run twice.
type callCmd struct {
	Entry string `default:"127.0.0.1:8081" help:"IP address and port of the entry."`
	Path  string `default:"/purchases" help:"Path of the call."`
	Key   string `help:"Idempotency key; a new one if left out."`
}

// Run prints the key and the outcome.
func (c *callCmd) Run(ctx context.Context) error {
	if c.Key == "" {
		c.Key = uuid.Must(uuid.NewV7()).String()
	}
	callers := emulator.NewCallers([]string{c.Entry}, 1)
	defer callers.Close()
	outcome := callers.Do(ctx, emulator.Call{Method: "POST", Path: c.Path, Key: c.Key, Body: []byte("{}")})
	fmt.Println(c.Key, outcome)
	return nil
}
