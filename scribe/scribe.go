// Package scribe writes log lines without ever holding up who logs.
//
// A Scribe copies each line into a queue that one goroutine empties. When the
// queue is full, or too many lines come in a second, lines are left out, and
// counted in a line of their own:
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
	// queueLines is how many lines wait for the writer: two seconds of the
	// most that is written.
	queueLines = 512
	// ordinaryPerSecond and failuresPerSecond bound the lines below and from
	// the warning level on. Both together are about 60 KB/s.
	ordinaryPerSecond = 60
	failuresPerSecond = 200
	// second is the length of the periods in which lines are counted.
	second = time.Second
)

// Scribe is a zerolog.LevelWriter. It is safe for use by several goroutines.
type Scribe struct {
	w     io.Writer
	queue chan []byte

	mu sync.Mutex
	// period is when the current second began; ordinary and failures count
	// its lines, leftOut those that were not written.
	period             time.Time
	ordinary, failures int
	leftOut            int
	total              int64
}

// New returns a Scribe that writes to w once Run is called.
func New(w io.Writer) *Scribe {
	return &Scribe{w: w, queue: make(chan []byte, queueLines)}
}

// Write takes a line without a level. It never fails.
func (s *Scribe) Write(line []byte) (int, error) { return s.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel takes a line. It never fails.
func (s *Scribe) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(time.Now())
	count, most := &s.ordinary, ordinaryPerSecond
	if level >= zerolog.WarnLevel {
		count, most = &s.failures, failuresPerSecond
	}
	if *count >= most {
		s.leaveOut(1)
		return len(line), nil
	}
	*count++
	s.enqueue(bytes.Clone(line))
	return len(line), nil
}

// begin starts a new second, and tells what was left out of the one before;
// the caller holds the lock.
func (s *Scribe) begin(now time.Time) {
	if now.Sub(s.period) < second {
		return
	}
	if n := s.leftOut; n > 0 {
		s.leftOut = 0
		s.enqueue([]byte(`{"Level":"warn","Lines":` + strconv.Itoa(n) + `,"Message":"log lines left out"}` + "\n"))
	}
	s.period, s.ordinary, s.failures = now, 0, 0
}

// enqueue hands a line to the writer, unless that is stalled; the caller holds
// the lock.
func (s *Scribe) enqueue(line []byte) {
	select {
	case s.queue <- line:
	default:
		s.leaveOut(1)
	}
}

func (s *Scribe) leaveOut(n int) {
	s.leftOut += n
	s.total += int64(n)
}

// LeftOut returns how many lines were left out since the start.
func (s *Scribe) LeftOut() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Run writes lines until the context ends, and then what is still queued.
func (s *Scribe) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.queue:
			_, _ = s.w.Write(line) // there is nowhere to report this
		case <-ctx.Done():
			for {
				select {
				case line := <-s.queue:
					_, _ = s.w.Write(line) // there is nowhere to report this
				default:
					return
				}
			}
		}
	}
}
