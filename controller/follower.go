package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"savoryroad.dev/appender"
	"savoryroad.dev/publisher"
)

const (
	// followWait is how long one read waits for a record.
	followWait = 20 * time.Second
	// firstRetry and lastRetry bound the wait after a failed read.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Follow reads the configuration stream from its beginning and sends every
// page to the loop, until the context ends.
func Follow(ctx context.Context, log appender.Log, l *Loop) error {
	var next appender.Offset
	retry := firstRetry
	for ctx.Err() == nil {
		p, err := log.Read(ctx, publisher.Stream, next, followWait)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			l.Send(ctx, ReadFailedMsg{Err: err})
			pause(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, lastRetry)
			continue
		}
		retry = firstRetry
		l.Send(ctx, PageMsg{Page: p})
		next = max(next, p.Next)
	}
	return nil
}

// pause waits, or returns early when the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
