// Command savoryctl is the command-line tool of the operators. It validates
// configurations, publishes them to the platform's log service, shows the state
// of entries, and explains the outcome of requests from the entries' logs.
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

// Exit codes of savoryctl, other than 0.
const (
	exitFailed         = 1
	exitFindings       = 2
	exitConflict       = 3
	exitUnknownOutcome = 4
)

const description = `Checks, publishes and inspects the configuration of the savoryroad load balancer.

Exit codes: 0 done; 1 failed, nothing changed; 2 the configuration has findings, nothing changed; 3 another change was accepted first; 4 the outcome is unknown, and it is safe to publish again with the same --change-id.`

// cli defines the flags and subcommands, which kong parses.
type cli struct {
	Output outputFormat `enum:"text,json" default:"text" help:"Output format: text or json."`

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

// run parses and executes a command line, and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var cmdline cli
	helpExitCode := -1
	parser, err := kong.New(&cmdline,
		kong.Name("savoryctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { helpExitCode = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	kctx, err := parser.Parse(args)
	// After --help, kong calls the exit function and goes on parsing; the error
	// is of no use then.
	if helpExitCode >= 0 {
		return helpExitCode
	}
	if err == nil {
		err = kctx.Run(printer{format: cmdline.Output, w: stdout})
	}
	if err == nil {
		return 0
	}
	fmt.Fprintf(stderr, "savoryctl: %v\n", err)
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var findings loader.Findings
	var conflict conflictError
	var unknown unknownOutcomeError
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknownOutcome
	}
	return exitFailed
}
