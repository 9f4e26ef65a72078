// Package pipeliner decides which requests of a connection start before those that were
// sent ahead of them have been answered.
//
// The load that it answers: callers send several lookups at once on one connection. A
// server that begins each of them after the answer to the one before makes the last wait
// for the time that all others take, while targets are idle.
//
// A Queue holds what a connection has received and the server has not read. The server
// gets one request at a time:
//
//	n = queue.Pass(p, n, now) // p[:n] was received for the server, which gets the new n
//	n = queue.Take(p)         // the server gets what was held
//	queue.Advance()           // the server has answered, and reads the next request
//
// While it serves that request, the connection is read further, and complete requests may
// start:
//
//	queue.Add(data, now)
//	for r, ok := queue.Next(); ok; r, ok = queue.Next() {
//		queue.Start() // or queue.Bar, if r or its route may not run ahead of others
//	}
//
// Only a request whose framing leaves no doubt is told from the one behind it. From the
// first other one on, the queue passes on what it gets, and nothing starts ahead.
//
// The package does no I/O and isn't safe for concurrent use. The current time is passed in.
package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"
	"time"
)

// MaxAhead is the number of requests of a connection that may be under way behind the one
// that is served. Browsers sent up to 8.
const MaxAhead = 16

// hopelessHead is the size of a head, in bytes, that an entry refuses whatever its
// configuration.
const hopelessHead = 60 << 10

// headEnd ends the head of a request.
var headEnd = []byte("\n\r\n")

// growth is by how many bytes more memory is taken for what is held.
const growth = 4 << 10

// span is a complete request.
type span struct {
	// end is the offset behind its last byte in what the connection has received.
	end int64
	// readAt is when its last byte was received.
	readAt time.Time
	// plain is set if nothing in its head keeps it from starting ahead.
	plain bool
}

// Queue is the requests of one connection. The zero value is the queue of a new one. It must
// not be copied.
type Queue struct {
	splitter splitter
	// held is what was received and is not handed over yet: the bytes at the offsets
	// from out until in.
	held    []byte
	in, out int64
	// whole are the complete requests at the beginning of held, in their order. The
	// first of them may be handed over in part.
	whole []span
	// single is the memory of whole on a connection that doesn't pipeline.
	single [1]span
	// started is the number of them that were started.
	started int
	// barred is set while the first that was not started must not start ahead.
	barred bool
	// turn is the request that the server has read, if complete is set.
	turn     span
	complete bool
	// turnStarted is set if that request was started ahead.
	turnStarted bool
}

// Complete reports whether the server has read a whole request, to which it has not
// answered.
func (q *Queue) Complete() bool { return q.complete }

// Held returns the number of bytes that are held.
func (q *Queue) Held() int { return len(q.held) }

// Hopeless reports whether the server will refuse what is held behind the complete requests:
// its head is longer than any that a server accepts.
func (q *Queue) Hopeless() bool {
	end := q.out
	if len(q.whole) > 0 {
		end = q.whole[len(q.whole)-1].end
	}
	return q.in-end > hopelessHead && q.splitter.lost && !q.splitter.inBody && !bytes.Contains(q.held[end-q.out:], headEnd)
}

// ReadAt returns when the last byte of the request that the server serves was received.
// It returns false if that request is not complete.
func (q *Queue) ReadAt() (time.Time, bool) { return q.turn.readAt, q.complete }

// Started reports whether the request that the server serves was started ahead.
func (q *Queue) Started() bool { return q.complete && q.turnStarted }

// Pass returns how many of the bytes p[:n], which were received while none were held, the
// server may have now. The queue holds the others.
func (q *Queue) Pass(p []byte, n int, now time.Time) int {
	q.receive(p[:n], now)
	passed := int(q.limit() - q.out)
	q.held = append(q.held, p[passed:n]...)
	q.handOver(passed)
	return passed
}

// Take copies to p what the server may have of the bytes that are held, and returns their
// number.
func (q *Queue) Take(p []byte) int {
	n := copy(p, q.held[:q.limit()-q.out])
	q.held = q.held[n:]
	if len(q.held) == 0 {
		q.held = nil
	}
	q.handOver(n)
	return n
}

// Full reports whether as many complete requests are held as may start ahead.
func (q *Queue) Full() bool { return len(q.whole) > MaxAhead }

// Add holds bytes that were received while the server serves a request.
func (q *Queue) Add(data []byte, now time.Time) {
	if len(q.held)+len(data) > cap(q.held) {
		// Not twice the size, since the caller bounds the memory.
		q.held = append(make([]byte, 0, len(q.held)+max(len(data), growth)), q.held...)
	}
	q.held = append(q.held, data...)
	q.receive(data, now)
}

// Advance lets the server read the next request.
func (q *Queue) Advance() { q.turn, q.complete, q.turnStarted = span{}, false, false }

// Next returns the next request that may start ahead, if it is idempotent.
func (q *Queue) Next() (*http.Request, time.Time, bool) {
	if !q.complete || q.barred || q.started == len(q.whole) || q.started == MaxAhead {
		return nil, time.Time{}, false
	}
	begin := q.out
	if q.started > 0 {
		begin = q.whole[q.started-1].end
	}
	s := q.whole[q.started]
	if s.plain {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(q.held[begin-q.out : s.end-q.out])))
		if err == nil && Plain(r) {
			return r, s.readAt, true
		}
	}
	q.Bar()
	return nil, time.Time{}, false
}

// Start notes that the request that Next has returned was started.
func (q *Queue) Start() { q.started++ }

// Bar keeps the request that Next has returned, and all behind it, until the server has
// read it.
func (q *Queue) Bar() { q.barred = true }

// Plain reports whether a request, as the framework has parsed it, may start ahead of
// others, or others behind it, if it is idempotent: it has no body, and its answer neither
// ends the connection nor depends on the method.
func Plain(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && !r.Close && r.ContentLength == 0 && len(r.TransferEncoding) == 0 &&
		r.Method != http.MethodHead && r.Method != http.MethodConnect &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// limit returns the offset up to which the server may read.
func (q *Queue) limit() int64 {
	switch {
	case q.complete:
		return q.out
	case len(q.whole) > 0:
		return q.whole[0].end
	default:
		return q.in
	}
}

// handOver notes that the server has got n further bytes.
func (q *Queue) handOver(n int) {
	q.out += int64(n)
	if n == 0 || len(q.whole) == 0 || q.out < q.whole[0].end {
		return
	}
	q.turn, q.complete, q.turnStarted = q.whole[0], true, q.started > 0
	q.whole = q.whole[1:]
	if len(q.whole) == 0 {
		q.whole = nil
	}
	if q.turnStarted {
		q.started--
	} else {
		q.barred = false
	}
}

// receive finds the ends of requests in bytes that follow the earlier ones.
func (q *Queue) receive(data []byte, now time.Time) {
	for len(data) > 0 {
		n, ended, plain := q.splitter.split(data)
		q.in += int64(n)
		data = data[n:]
		if ended {
			if q.whole == nil {
				q.whole = q.single[:0]
			}
			q.whole = append(q.whole, span{end: q.in, readAt: now, plain: plain})
		}
	}
}
