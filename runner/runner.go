// Package runner holds what entries need to run as a group under the
// application framework.
package runner

import (
	"context"
	"io"
	stdlog "log"
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
)

// Task is a goroutine of a run group.
type Task struct {
	// after is closed when the task may end; nil means at once.
	after  <-chan struct{}
	run    func(context.Context) error
	ctx    context.Context
	cancel context.CancelFunc
}

var _ transport.Server = (*Task)(nil)

// NewTask returns a task that may end once a channel is closed; nil means at
// once.
func NewTask(after <-chan struct{}, run func(context.Context) error) *Task {
	ctx, cancel := context.WithCancel(context.Background())
	return &Task{after: after, run: run, ctx: ctx, cancel: cancel}
}

// Start runs the task until Stop.
func (t *Task) Start(context.Context) error { return t.run(t.ctx) }

// Stop waits until the task may end, and ends it.
func (t *Task) Stop(context.Context) error {
	if t.after != nil {
		<-t.after
	}
	t.cancel()
	return nil
}

// QuietFramework silences the framework's logger, which all entries of a
// process share, once.
var QuietFramework = sync.OnceFunc(func() { kratoslog.SetLogger(quietLogger{}) })

// quietLogger drops the framework's lines; entries write their own.
type quietLogger struct{}

// Log drops the line.
func (quietLogger) Log(kratoslog.Level, ...any) error { return nil }

// DiscardLogger returns a logger for servers whose errors concern one
// connection only.
func DiscardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// NoSignal is a signal that never arrives. The framework needs at least one,
// since an empty list would mean every signal.
type NoSignal struct{}

// String names the signal.
func (NoSignal) String() string { return "none" }

// Signal marks the type as a signal.
func (NoSignal) Signal() {}
