package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/emulator"
	"savoryroad.dev/loader"
)

// logCmd serves a log service.
type logCmd struct {
	Listen    string        `default:"127.0.0.1:7000" help:"IP address and port."`
	Retention time.Duration `default:"24h" help:"How long a record is kept."`
	Seed      uint64        `default:"1" help:"Seed of the faults."`
}

// Run serves until it is interrupted.
func (c *logCmd) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, emulator.NewLog(c.Retention, c.Seed))
}

// vmsCmd serves a list of VMs.
type vmsCmd struct {
	Listen string   `default:"127.0.0.1:7001" help:"IP address and port."`
	Names  []string `arg:"" help:"Names of the VMs that there are."`
}

// Run serves until it is interrupted.
func (c *vmsCmd) Run(ctx context.Context) error {
	vms := emulator.NewVMs()
	for _, name := range c.Names {
		vms.Add(loader.EntryName(name))
	}
	return serve(ctx, c.Listen, vms)
}

// backendCmd serves a backend server.
type backendCmd struct {
	Listen  string        `default:"127.0.0.1:7100" help:"IP address and port."`
	Slots   int           `default:"6" help:"Number of calls that it runs at the same time."`
	Service time.Duration `default:"2ms" help:"Mean time that a call holds a slot."`
	Seed    uint64        `default:"1" help:"Seed of the service times."`
}

// Run serves until it is interrupted.
func (c *backendCmd) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, emulator.NewBackend(c.Slots, emulator.BackendMode{Service: c.Service}, c.Seed))
}

func serve(ctx context.Context, address string, h http.Handler) error {
	s, err := emulator.Serve(address, h)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Println("listening on", s.Addr)
	<-ctx.Done()
	return nil
}

// keysCmd writes keys for entries.
type keysCmd struct {
	Dir   string        `required:"" help:"Folder for the files; it is made if need be."`
	Life  time.Duration `default:"24h" help:"How long the certificates are valid."`
	Names []string      `arg:"" help:"Names of the entries."`
}

// Run writes an authority's certificate and, for each entry, a certificate and
// a key.
func (c *keysCmd) Run() error {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return errors.Wrap(err, "keys")
	}
	a, err := emulator.NewAuthority(c.Dir)
	if err != nil {
		return err
	}
	fmt.Println(a.CAFile())
	for _, name := range c.Names {
		cert, key, err := a.Sign(name, c.Life)
		if err != nil {
			return err
		}
		fmt.Println(cert, key)
	}
	return nil
}
