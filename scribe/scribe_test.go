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

// stalled is a reader of the log that doesn't read.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stalled{make(chan struct{})}
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
			t.Errorf("logging took %v", waited-seconds*time.Second)
		}
		if left := s.LeftOut(); left < seconds*lines-queueLines-2 {
			t.Errorf("%d lines left out", left)
		}
		close(out.release)
		cancel()
		<-done
	})
}

func TestVolumeIsBoundedAndTold(t *testing.T) {
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
		if n := strings.Count(text, "served"); n != ordinaryPerSecond {
			t.Errorf("%d ordinary lines", n)
		}
		if !strings.Contains(text, "failed") || !strings.Contains(text, `"Lines":940,"Message":"log lines left out"`) {
			t.Errorf("no failure, or no count of what was left out: %s", text[len(text)-200:])
		}
	})
}
