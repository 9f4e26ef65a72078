package controller

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// inboxSize bounds the messages that wait for the control goroutine.
	inboxSize = 256
	// tickInterval is the time between two TickMsg.
	tickInterval = time.Second
)

// Loop is the control goroutine: it alone changes the blackboard.
type Loop struct {
	inbox chan Msg
	model atomic.Pointer[Model]
	// carryOut is called for each command, on the control goroutine; it must
	// not block.
	carryOut func(Cmd)
}

// NewLoop returns a loop over a blackboard. Run starts it.
func NewLoop(m Model, carryOut func(Cmd)) *Loop {
	l := &Loop{inbox: make(chan Msg, inboxSize), carryOut: carryOut}
	l.model.Store(&m)
	return l
}

// Send hands a message to the loop; it waits while the inbox is full, until
// the context ends.
func (l *Loop) Send(ctx context.Context, msg Msg) {
	select {
	case l.inbox <- msg:
	case <-ctx.Done():
	}
}

// Model returns the blackboard as the latest message left it.
func (l *Loop) Model() Model { return *l.model.Load() }

// Run handles messages until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-l.inbox:
			l.handle(msg)
		case <-ticker.C:
			l.handle(TickMsg{})
		}
	}
}

func (l *Loop) handle(msg Msg) {
	m, cmds := l.Model().Update(msg, time.Now())
	l.model.Store(&m)
	for _, cmd := range cmds {
		l.carryOut(cmd)
	}
}
