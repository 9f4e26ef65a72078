package carrier

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBuffered bounds the part of an answer that is read before any of it
	// is passed on, in bytes. Up to this size an answer is known to be whole.
	maxBuffered = 1 << 20
	// directBytes is the size of a body that is written without watching for
	// an early answer: it fits into the buffers of any connection.
	directBytes = 4 << 10
	// maxStrays bounds the answers to earlier requests that are read over.
	maxStrays = 3
)

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the beginning of the body, and Rest what follows, if not nil.
	Body []byte
	Rest io.Reader
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	// ID is the id that the answer must bear; empty accepts any.
	ID string
	// IDHeader is the header that bears it.
	IDHeader string
}

// Answer is what a target answered.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is not nil.
	Body []byte
	// Rest is what follows of a body that is larger than what is buffered.
	// The connection stays leased until Finish.
	Rest io.Reader
	// Length is the length of a body with a Rest, or -1.
	Length int64

	conn *Conn
}

// ErrNotSent says that no byte of the request was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrBroken says that what came was no whole answer to the request. The
// request may have run.
var ErrBroken = errors.New("no whole answer")

// Send sends a request and reads its answer. The connection is given back or
// closed in any case; with a Rest that is done by Finish. An error that is not
// ErrNotSent leaves open whether the request ran.
func (c *Conn) Send(ctx context.Context, r Request) (*Answer, error) {
	a, err := c.Exchange(ctx, r)
	switch {
	case err != nil:
		c.Close()
		return nil, err
	case a.Rest == nil:
		c.Release()
	}
	return a, nil
}

// Exchange sends a request and reads its answer, and leaves the connection
// leased. After an error it must be closed.
func (c *Conn) Exchange(ctx context.Context, r Request) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	// A connection whose context ends is unblocked at once.
	_ = c.conn.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	written := make(chan error, 1)
	head := r.head()
	if r.Rest == nil && len(r.Body) <= directBytes {
		n, err := c.conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return nil, errors.Mark(errors.Wrap(err, "send"), ErrNotSent)
		}
		written <- err
	} else {
		go func() { written <- c.write(head, r) }()
	}
	a, err := c.read(r)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		// The writer ends with the connection; it must not outlive the body.
		_ = c.conn.SetDeadline(time.Unix(1, 0))
		if r.Rest == nil {
			<-written
		}
		return nil, errors.Mark(err, ErrBroken)
	}
	select {
	case werr := <-written:
		c.mustClose = c.mustClose || werr != nil
	default:
		// The target answered before it had the whole body. Whatever is sent
		// from now on could be taken for that body's end.
		c.mustClose = true
		_ = c.conn.SetWriteDeadline(time.Unix(1, 0))
		if r.Rest == nil {
			<-written
		}
	}
	if end, ok := ctx.Deadline(); ok && a.Rest != nil {
		_ = c.conn.SetReadDeadline(end)
	}
	c.used = true
	return a, nil
}

// head returns the request line and the headers.
func (r Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer takes every write
	switch {
	case r.Length > 0 || (r.Length == 0 && (r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch)):
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// write sends a request with a body that may take a while.
func (c *Conn) write(head []byte, r Request) error {
	if _, err := c.conn.Write(head); err != nil {
		return errors.Wrap(err, "send headers")
	}
	var body io.Reader = bytes.NewReader(r.Body)
	if r.Rest != nil {
		body = io.MultiReader(body, r.Rest)
	}
	if r.Length >= 0 {
		if _, err := io.Copy(c.conn, body); err != nil {
			return errors.Wrap(err, "send body")
		}
		return nil
	}
	buf := bufio.NewWriter(c.conn)
	chunks := httputil.NewChunkedWriter(buf)
	if _, err := io.Copy(chunks, body); err != nil {
		return errors.Wrap(err, "send body")
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrap(err, "send body")
	}
	if _, err := buf.WriteString("\r\n"); err != nil {
		return errors.Wrap(err, "send body")
	}
	return errors.Wrap(buf.Flush(), "send body")
}

// read reads the answer that bears the request's id. Answers that bear another
// belong to earlier requests; they are read over, and the connection is not
// used again.
func (c *Conn) read(r Request) (*Answer, error) {
	for range maxStrays {
		a, err := c.readOne(r)
		if err != nil {
			return nil, err
		}
		if id := a.Header.Get(r.IDHeader); r.ID == "" || id == "" || id == r.ID {
			return a, nil
		}
		c.mustClose = true
		if a.Rest != nil {
			return nil, errors.New("a long answer to another request")
		}
	}
	return nil, errors.New("answers to other requests only")
}

// readOne reads the next final answer.
func (c *Conn) readOne(r Request) (*Answer, error) {
	// The method tells whether the answer has a body.
	req := &http.Request{Method: r.Method}
	resp, err := http.ReadResponse(c.r, req)
	for err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(c.r, req)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c}
	c.noteKeepAlive(resp)
	body := io.Reader(resp.Body)
	if a.Body, err = io.ReadAll(io.LimitReader(body, maxBuffered)); err != nil {
		return nil, errors.Wrap(err, "read answer's body")
	}
	if len(a.Body) == maxBuffered {
		a.Rest = body
	}
	return a, nil
}

// noteKeepAlive learns how long the target keeps the connection.
func (c *Conn) noteKeepAlive(resp *http.Response) {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		c.mustClose = true
	}
	for _, param := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if n, err := strconv.Atoi(value); err == nil && name == "timeout" && n >= 0 {
			c.idleTimeout = time.Duration(n) * time.Second
		}
	}
}

// Finish gives the connection of an answer with a Rest back. Whole tells
// whether the Rest was read to its end.
func (a *Answer) Finish(whole bool) {
	if a.Rest == nil {
		return
	}
	if whole {
		a.conn.Release()
	} else {
		a.conn.Close()
	}
}
