package transporter

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedBody is the size, in bytes, up to which a response body is read
	// before any of it is passed on. A shorter body is known to be complete.
	maxBufferedBody = 1 << 20
	// freeBufferedBody is the part of it, in bytes, that each response may buffer
	// without taking it from the pool's Buffers.
	freeBufferedBody = 16 << 10
	// maxHeadBytes bounds the bytes of a response before its body, with all
	// informational responses before it.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLong is returned for a response whose head exceeds 64 KiB.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// Buffers bounds the memory, in bytes, of the bodies that an entry holds while it reads
// or forwards them. Once it is used up, responses are passed on after freeBufferedBody
// bytes. It is safe for concurrent use.
type Buffers struct{ free atomic.Int64 }

// NewBuffers returns buffers of a total size in bytes.
func NewBuffers(size int64) *Buffers {
	b := &Buffers{}
	b.free.Store(size)
	return b
}

// Free returns the number of bytes that are left.
func (b *Buffers) Free() int64 { return b.free.Load() }

// Take reserves n bytes. It returns false if fewer are left. Nil buffers are
// unlimited.
func (b *Buffers) Take(n int) bool {
	if b == nil {
		return true
	}
	if b.free.Add(-int64(n)) < 0 {
		b.free.Add(int64(n))
		return false
	}
	return true
}

// Give returns n reserved bytes.
func (b *Buffers) Give(n int) {
	if b != nil {
		b.free.Add(int64(n))
	}
}

// buffer reads the body until its end, until limit bytes, or until the pool's
// buffers are used up. If the end was not reached, the remainder becomes Rest.
func (a *Answer) buffer(body io.Reader, limit int) error {
	size := min(freeBufferedBody, limit)
	if a.Length >= 0 {
		size = int(min(int64(size), a.Length))
	}
	a.Body = make([]byte, 0, size)
	for {
		n, err := body.Read(a.Body[len(a.Body):cap(a.Body)])
		a.Body = a.Body[:len(a.Body)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			a.free()
			return err
		case len(a.Body) == cap(a.Body) && !a.grow(limit):
			a.Rest = body
			return nil
		}
	}
}

// grow enlarges the buffer, to the length of the body if that is known and
// otherwise to twice its size, but not beyond limit. It returns false if it can't.
func (a *Answer) grow(limit int) bool {
	size := min(max(2*len(a.Body), freeBufferedBody), limit)
	if a.Length > int64(len(a.Body)) {
		size = int(min(a.Length, int64(limit)))
	}
	added := size - max(len(a.Body), freeBufferedBody)
	if size <= len(a.Body) || added > 0 && !a.conn.pool.buffers.Take(added) {
		return false
	}
	a.reserved += max(0, added)
	a.Body = append(make([]byte, 0, size), a.Body...)
	return true
}

// free returns the buffer's memory to the pool's buffers.
func (a *Answer) free() {
	a.conn.pool.buffers.Give(a.reserved)
	a.reserved = 0
}

// headReader reads from a connection and bounds the bytes before a body.
type headReader struct {
	source io.Reader
	// inHead is set while a head is read, of which left more bytes are allowed.
	inHead bool
	left   int
}

// Read implements [io.Reader].
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.source.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
