package gateway

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/transporter"
)

// freeBody is the number of bytes of a request body that are buffered without taking them
// from the entry's buffers, so that small requests pass beside large ones.
const freeBody = 16 << 10

// errNoMemory means that the buffers of the entry are used up.
var errNoMemory = errors.New("no memory for the request body")

// bodyBuffer holds the beginning of a request body.
type bodyBuffer struct {
	// buffers is what the body takes its memory from; nil means no bound.
	buffers *transporter.Buffers
	// conn is the caller's connection; nil if it isn't guarded.
	conn *guardedConn
	// reserved is the number of bytes that were taken.
	reserved int
}

// read reads a body until its end, or maxBufferedBody bytes of it. Length is the length
// of the body in bytes, or -1 if unknown. If the memory for a body of known length isn't
// there, read returns errNoMemory before it reads anything.
func (b *bodyBuffer) read(body io.Reader, length int64) ([]byte, error) {
	size := freeBody
	if length >= 0 {
		// A byte more than the body, so that the end is read as well.
		size = int(min(length+1, maxBufferedBody))
	}
	if !b.reserve(size) {
		return nil, errNoMemory
	}
	data := make([]byte, 0, size)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF, len(data) == maxBufferedBody:
			return data, nil
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		size = min(2*cap(data), maxBufferedBody)
		if !b.reserve(size) {
			return nil, errNoMemory
		}
		data = append(make([]byte, 0, size), data...)
	}
}

// reserve takes memory for a buffer of a size in bytes. It returns false if there is none.
func (b *bodyBuffer) reserve(size int) bool {
	added := max(0, size-freeBody) - b.reserved
	if added <= 0 {
		return true
	}
	if !b.buffers.Take(added) {
		return false
	}
	b.reserved += added
	b.conn.hold(added)
	return true
}

// free gives the memory back. The body must not be used any more.
func (b *bodyBuffer) free() {
	b.buffers.Give(b.reserved)
	b.conn.hold(-b.reserved)
	b.reserved = 0
}

// errBodyWithdrawn is returned to an attempt whose body another attempt took over.
var errBodyWithdrawn = errors.New("the request body was withdrawn from the attempt")

// streamedBody is the part of a request body that is read from the caller while an
// attempt sends it. It can be read only once, so a further attempt may be made only
// while no byte has been asked for. It is safe for concurrent use.
type streamedBody struct {
	source io.Reader

	mu sync.Mutex
	// reader is the reader of the latest attempt, the only one that may read.
	reader *bodyReader
	// consumed is set once an attempt has begun to read from source.
	consumed bool
}

// take returns the reader of a further attempt and withdraws the body from the
// earlier ones. It returns false if one of them has begun to read.
func (b *streamedBody) take() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return nil, false
	}
	b.reader = &bodyReader{body: b}
	return b.reader, true
}

// bodyReader is the body as one attempt reads it.
type bodyReader struct{ body *streamedBody }

// Read implements [io.Reader]. It returns errBodyWithdrawn if a later attempt has
// taken the body.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.consume() {
		return 0, errBodyWithdrawn
	}
	return r.body.source.Read(p)
}

// consume marks the body as consumed, unless it was withdrawn from the reader.
func (r *bodyReader) consume() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.reader != r {
		return false
	}
	r.body.consumed = true
	return true
}
