package scribe

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A log reader that stops reading blocks the writer. The goroutines that log
// must not block with it; lines beyond the queue are dropped.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		s := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		logger := zerolog.New(s)
		start := time.Now()
		const seconds, lines = 10, 300
		for range seconds {
			for range lines {
				logger.Warn().Msg("failed")
			}
			time.Sleep(time.Second)
		}
		if waited := time.Since(start); waited != seconds*time.Second {
			t.Errorf("logging blocked for %v", waited-seconds*time.Second)
		}
		if dropped := s.Dropped(); dropped < seconds*lines-queueLines-2 {
			t.Errorf("%d lines dropped", dropped)
		}
		close(out.release)
		cancel()
		<-done
	})
}

// Lines beyond the rate limit are dropped and their number is logged; warnings
// have a limit of their own.
func TestExcessLinesAreDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		logger := zerolog.New(s)
		for range 1000 {
			logger.Info().Msg("served")
		}
		logger.Warn().Msg("failed")
		time.Sleep(time.Second)
		logger.Info().Msg("next")
		cancel()
		s.Run(ctx)
		text := out.String()
		if n := strings.Count(text, "served"); n != infoPerSecond {
			t.Errorf("%d lines at the info level", n)
		}
		if !strings.Contains(text, "failed") || !strings.Contains(text, `"Lines":940,"Message":"log lines left out"`) {
			t.Errorf("the warning or the number of dropped lines is missing: %s", text[len(text)-200:])
		}
	})
}
