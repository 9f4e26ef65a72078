// Package scribe writes log lines without blocking the goroutines that log.
//
// A Scribe copies each line into a bounded queue, which one goroutine drains. It
// drops lines that exceed a rate limit or find the queue full, and logs their
// number:
//
//	s := scribe.New(os.Stdout)
//	go s.Run(ctx)
//	logger := zerolog.New(s)
package scribe

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines is the capacity of the queue, in lines: two seconds at the
	// rate limits below.
	queueLines = 512
	// infoPerSecond limits the lines below the warning level, and
	// warningsPerSecond those at or above it. Together they allow about
	// 60 KB/s.
	infoPerSecond     = 60
	warningsPerSecond = 200
	// rateWindow is the length of the fixed windows of the rate limits.
	rateWindow = time.Second
)

// Scribe is a [zerolog.LevelWriter] that never blocks. It is safe for concurrent
// use.
type Scribe struct {
	w     io.Writer
	queue chan []byte

	mu sync.Mutex
	// windowStart is the start of the current window. infoLines and
	// warningLines count the lines accepted in it, below the warning level and
	// from it on.
	windowStart             time.Time
	infoLines, warningLines int
	// unreported counts the dropped lines that no log line has reported yet.
	unreported int
	// dropped counts the lines dropped since the start.
	dropped int64
}

// New returns a Scribe whose Run method writes the lines to w.
func New(w io.Writer) *Scribe {
	return &Scribe{w: w, queue: make(chan []byte, queueLines)}
}

// Write queues or drops a line without a level, which counts as below the
// warning level. The error is always nil.
func (s *Scribe) Write(line []byte) (int, error) { return s.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel queues or drops a line. The error is always nil.
func (s *Scribe) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollWindow(time.Now())
	count, limit := &s.infoLines, infoPerSecond
	if level >= zerolog.WarnLevel {
		count, limit = &s.warningLines, warningsPerSecond
	}
	if *count >= limit {
		s.countDropped(1)
		return len(line), nil
	}
	*count++
	s.enqueue(bytes.Clone(line))
	return len(line), nil
}

// rollWindow starts a new window if the current one is over, and logs the number
// of unreported dropped lines; the caller holds s.mu.
func (s *Scribe) rollWindow(now time.Time) {
	if now.Sub(s.windowStart) < rateWindow {
		return
	}
	if n := s.unreported; n > 0 {
		s.unreported = 0
		s.enqueue([]byte(`{"Level":"warn","Lines":` + strconv.Itoa(n) + `,"Message":"log lines left out"}` + "\n"))
	}
	s.windowStart, s.infoLines, s.warningLines = now, 0, 0
}

// enqueue queues a line, or drops it if the queue is full; the caller holds
// s.mu.
func (s *Scribe) enqueue(line []byte) {
	select {
	case s.queue <- line:
	default:
		s.countDropped(1)
	}
}

// countDropped adds n dropped lines; the caller holds s.mu.
func (s *Scribe) countDropped(n int) {
	s.unreported += n
	s.dropped += int64(n)
}

// Dropped returns the number of lines dropped since the start.
func (s *Scribe) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Run writes queued lines until the context ends, then drains the queue.
func (s *Scribe) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.queue:
			_, _ = s.w.Write(line) // a failed write can't be logged
		case <-ctx.Done():
			for {
				select {
				case line := <-s.queue:
					_, _ = s.w.Write(line) // a failed write can't be logged
				default:
					return
				}
			}
		}
	}
}
