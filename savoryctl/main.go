// Command savoryctl is the operators' tool: it checks configurations, publishes
// them to the platform's log and asks entries what is in force.
//
//	savoryctl validate --base base.yaml --overlay Hobart=hobart.yaml
//	savoryctl publish --log http://127.0.0.1:7000 --base base.yaml
//	savoryctl status --entries 127.0.0.1:9100,127.0.0.1:9101
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"savoryroad.dev/loader"
)

// Exit codes of the tool.
const (
	exitFailed    = 1
	exitFindings  = 2
	exitLost      = 3
	exitUncertain = 4
)

const description = `Checks, publishes and inspects the configuration of the savoryroad load balancer.

Exit codes: 0 done; 1 failed, nothing changed; 2 the configuration has findings, nothing changed; 3 another change was accepted first; 4 the outcome is not known, and publishing again with the same --change-id is safe.`

// program is the command line.
type program struct {
	Output format `enum:"text,json" default:"text" help:"Output format: text or json."`

	Validate validateCmd `cmd:"" help:"Check a base file and its overlays. Example: savoryctl validate --base base.yaml --overlay Hobart=hobart.yaml"`
	Render   renderCmd   `cmd:"" help:"Print the base with one overlay laid over it. Example: savoryctl render --base base.yaml --overlay Hobart=hobart.yaml"`
	Publish  publishCmd  `cmd:"" help:"Publish a base file, overlays, or both. Example: savoryctl publish --log http://10.0.0.7:7000 --base base.yaml --expected 4 --note 'two more targets'"`
	Fetch    fetchCmd    `cmd:"" help:"Print a published document as YAML. Example: savoryctl fetch --log http://10.0.0.7:7000 --site Hobart"`
	History  historyCmd  `cmd:"" help:"List the accepted changes. Example: savoryctl history --log http://10.0.0.7:7000"`
	Status   statusCmd   `cmd:"" help:"Show which revision is in force on which entry. Example: savoryctl status --entries 10.0.0.11:9100,10.0.0.12:9100"`
	Drain    drainCmd    `cmd:"" help:"Take a data centre out of service. Example: savoryctl drain Hobart --log http://10.0.0.7:7000"`
	Restore  restoreCmd  `cmd:"" help:"Bring a data centre back into service. Example: savoryctl restore Hobart --log http://10.0.0.7:7000"`
	Dump     dumpCmd     `cmd:"" help:"Print the whole state of an entry. Example: savoryctl dump --entry 10.0.0.11:9100"`
	Explain  explainCmd  `cmd:"" help:"Tell what became of a request, from the logs of entries. Example: savoryctl explain 8ee8e4150766564d entries.log"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var p program
	exited := -1
	parser, err := kong.New(&p,
		kong.Name("savoryctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	k, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err == nil {
		err = k.Run(printer{format: p.Output, w: stdout})
	}
	if err == nil {
		return 0
	}
	fmt.Fprintf(stderr, "savoryctl: %v\n", err)
	return exitCode(err)
}

// exitCode tells findings, lost races and doubt from other failures.
func exitCode(err error) int {
	var findings loader.Findings
	var lost lostError
	var uncertain uncertainError
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &lost):
		return exitLost
	case errors.As(err, &uncertain):
		return exitUncertain
	}
	return exitFailed
}
