// Command savorybench is the load and experiment tool: it starts stand-ins for
// the platform, backend servers and callers around real entries.
//
//	savorybench demo
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type program struct {
	Demo    demoCmd    `cmd:"" help:"Run a whole system in this process, serve callers for a few seconds, print a summary and end. Example: savorybench demo --users sunkissed --entries 3"`
	Added   addedCmd   `cmd:"" help:"Measure what an entry adds to a call. Example: savorybench added --rounds 5"`
	Run     runCmd     `cmd:"" help:"Run one load experiment with 18 entries and 20 servers. Example: savorybench run slow --policy TwoChoices --seed 3"`
	Fault   faultCmd   `cmd:"" help:"Run one fault experiment with five entries under load, and count violations. Example: savorybench fault rolling-replace --seed 3"`
	Idle    idleCmd    `cmd:"" help:"Measure what an entry costs without calls, at several sizes of the fleet. Example: savorybench idle --sizes 3,9,18"`
	Log     logCmd     `cmd:"" help:"Serve a stand-in for the log service. Example: savorybench log --listen 127.0.0.1:7000"`
	VMs     vmsCmd     `cmd:"" name:"vms" help:"Serve a stand-in for the platform's list of VMs. Example: savorybench vms entry-01 entry-02"`
	Backend backendCmd `cmd:"" help:"Serve a stand-in for a backend server. Example: savorybench backend --listen 127.0.0.1:7100"`
	Call    callCmd    `cmd:"" help:"Make one call that must not run twice. Example: savorybench call --entry 127.0.0.1:8081"`
	Keys    keysCmd    `cmd:"" help:"Write keys for the links between entries, for trying things out. Example: savorybench keys --dir keys entry-01 entry-02"`
	Bulk    bulkCmd    `cmd:"" help:"Pass a large upload and a large answer through an entry and measure the memory. Example: savorybench bulk --mebibytes 1024"`
	Soak    soakCmd    `cmd:"" help:"Run entries as processes under random faults, and check what callers and backend servers see. Example: savorybench soak --seeds 50"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var p program
	k := kong.Parse(&p,
		kong.Name("savorybench"),
		kong.Description("Stand-ins, load and experiments for the savoryroad load balancer."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	k.FatalIfErrorf(k.Run())
}
