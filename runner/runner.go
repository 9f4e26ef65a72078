// Package runner adapts entries to Kratos, the application framework: it runs
// goroutines as servers of a Kratos application, and provides loggers and a
// signal that replace the framework's defaults.
package runner

import (
	"context"
	"io"
	stdlog "log"
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
)

// Task runs a function as a [transport.Server], so that a Kratos application
// starts and stops it together with its network servers.
type Task struct {
	// stopAfter delays Stop until it is closed; nil means no delay.
	stopAfter <-chan struct{}
	run       func(context.Context) error
	ctx       context.Context
	cancel    context.CancelFunc
}

var _ transport.Server = (*Task)(nil)

// NewTask returns a task that calls run with a context that Stop cancels. Stop
// first waits until stopAfter is closed; nil means no wait.
func NewTask(stopAfter <-chan struct{}, run func(context.Context) error) *Task {
	ctx, cancel := context.WithCancel(context.Background())
	return &Task{stopAfter: stopAfter, run: run, ctx: ctx, cancel: cancel}
}

// Start runs the task's function and returns its error.
func (t *Task) Start(context.Context) error { return t.run(t.ctx) }

// Stop cancels the task's context once stopAfter is closed. It doesn't wait for
// the function to return.
func (t *Task) Stop(context.Context) error {
	if t.stopAfter != nil {
		<-t.stopAfter
	}
	t.cancel()
	return nil
}

// QuietFramework turns off the framework's logger, which is global to the
// process and shared by all of its entries. Only the first call has an effect.
var QuietFramework = sync.OnceFunc(func() { kratoslog.SetLogger(nopLogger{}) })

// nopLogger discards the framework's log lines; entries write their own.
type nopLogger struct{}

// Log implements [kratoslog.Logger].
func (nopLogger) Log(kratoslog.Level, ...any) error { return nil }

// DiscardLogger returns a logger that discards its lines, for servers whose
// errors each concern a single connection.
func DiscardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// NoSignal is a signal that is never delivered. The framework needs at least one
// signal, since it passes its list to signal.Notify, which takes an empty list
// for every signal.
type NoSignal struct{}

// String implements [os.Signal].
func (NoSignal) String() string { return "none" }

// Signal implements [os.Signal].
func (NoSignal) Signal() {}
