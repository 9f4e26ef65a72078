package transporter

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
	// maxSyncBody is the size, in bytes, up to which a body is written before
	// the response is read. It fits into the socket buffers of any connection,
	// so the write doesn't block on a target that responds early.
	maxSyncBody = 4 << 10
	// maxStaleResponses is the number of responses to earlier requests after
	// which a request fails.
	maxStaleResponses = 3
)

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query, exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the beginning of the body, and Rest the remainder, if not nil.
	Body []byte
	Rest io.Reader
	// Length is the length of the whole body in bytes, or -1 if unknown.
	Length int64
	// ID is the request ID that the response must carry, unless it carries none.
	// An empty ID accepts any response.
	ID string
	// IDHeader is the response header that carries the ID.
	IDHeader string
	// MaxBuffered is the number of bytes of the response body that are read before
	// any is passed on; 1 MiB by default.
	MaxBuffered int
}

// Answer is the response of a target.
type Answer struct {
	Status int
	Header http.Header
	// Body is the complete body, or its beginning if Rest is not nil.
	Body []byte
	// Rest is the remainder of a body that is too long to be buffered. The
	// connection stays leased until Finish.
	Rest io.Reader
	// Length is the length of the whole body in bytes as the target declared
	// it, or -1 if unknown.
	Length int64
	// Identified is set if the response carries the ID of the request. Any other may be
	// an earlier one that the target has sent again.
	Identified bool

	conn *Conn
	// reserved is the part of Body, in bytes, that was taken from the pool's
	// buffers.
	reserved int
}

// ErrNotSent marks a request of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrNoResponse marks a request without a complete response. The target may have
// run the request.
var ErrNoResponse = errors.New("no complete response")

// Send sends a request and reads its response. It ends the lease of the
// connection, unless the response has a Rest: then Finish does. Finish must be
// called for every response. After an error other than ErrNotSent the target may have run the request.
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

// Exchange sends a request and reads its response, with the errors of Send. The
// connection stays leased; after an error the caller must close it.
func (c *Conn) Exchange(ctx context.Context, r Request) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	// When the context ends, an expired deadline unblocks reads and writes.
	_ = c.conn.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	written := make(chan error, 1)
	head := r.head()
	if r.Rest == nil && len(r.Body) <= maxSyncBody {
		n, err := c.conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return nil, errors.Mark(errors.Wrap(err, "send request"), ErrNotSent)
		}
		written <- err
	} else {
		go func() { written <- c.writeRequest(head, r) }()
	}
	a, err := c.readMatching(r)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
		a.free()
	}
	if err != nil {
		// The expired deadline ends the writer. A writer without a Rest is waited
		// for, since it must not use Body after Exchange has returned.
		_ = c.conn.SetDeadline(time.Unix(1, 0))
		if r.Rest == nil {
			<-written
		}
		return nil, errors.Mark(err, ErrNoResponse)
	}
	select {
	case werr := <-written:
		c.mustClose = c.mustClose || werr != nil
	default:
		// The target responded before it had received the whole body. It could
		// take a further request on this connection for the rest of that body.
		c.mustClose = true
		_ = c.conn.SetWriteDeadline(time.Unix(1, 0))
		if r.Rest == nil {
			<-written
		}
	}
	if deadline, ok := ctx.Deadline(); ok && a.Rest != nil {
		_ = c.conn.SetReadDeadline(deadline)
	}
	c.used = true
	return a, nil
}

// head returns the encoded request line and headers.
func (r Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer don't fail
	switch {
	case r.Length > 0 || (r.Length == 0 && (r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch)):
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeRequest sends the head and the body. It may block on the target, or on
// Rest if the caller is still sending.
func (c *Conn) writeRequest(head []byte, r Request) error {
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

// readMatching returns the response to the request, which carries its ID or none.
// A response with another ID belongs to an earlier request: it is discarded, and
// the connection must not be reused.
func (c *Conn) readMatching(r Request) (*Answer, error) {
	for range maxStaleResponses {
		a, err := c.readResponse(r)
		if err != nil {
			return nil, err
		}
		if id := a.Header.Get(r.IDHeader); r.ID == "" || id == "" || id == r.ID {
			a.Identified = r.ID != "" && id == r.ID
			return a, nil
		}
		c.mustClose = true
		a.free()
		if a.Rest != nil {
			return nil, errors.New("response to another request is too long to discard")
		}
	}
	return nil, errors.New("responses carry IDs of other requests")
}

// readResponse reads the next response that is not informational (1xx).
func (c *Conn) readResponse(r Request) (*Answer, error) {
	// Whether a response has a body depends on the request's method.
	req := &http.Request{Method: r.Method}
	c.source.inHead, c.source.left = true, maxHeadBytes
	// Bytes behind a response to an earlier request are buffered already.
	buffered, _ := c.r.Peek(c.r.Buffered())
	if err := c.conn.ExpectResponse(buffered); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	resp, err := http.ReadResponse(c.r, req)
	for err == nil && resp.StatusCode < http.StatusOK {
		resp, err = http.ReadResponse(c.r, req)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	c.source.inHead = false
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c}
	c.recordKeepAlive(resp)
	limit := r.MaxBuffered
	if limit == 0 {
		limit = maxBufferedBody
	}
	return a, errors.Wrap(a.buffer(resp.Body, limit), "read answer's body")
}

// recordKeepAlive records from a response whether the target keeps the
// connection open, and with which idle timeout.
func (c *Conn) recordKeepAlive(resp *http.Response) {
	if resp.Close {
		c.mustClose = true
	}
	for _, param := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if n, err := strconv.Atoi(value); err == nil && name == "timeout" && n >= 0 {
			c.idleTimeout = time.Duration(n) * time.Second
		}
	}
}

// Cancel ends reads of Rest. It must not be called after Finish.
func (a *Answer) Cancel() { _ = a.conn.conn.SetReadDeadline(time.Unix(1, 0)) }

// Finish frees the memory of the body, which must not be used any more, and ends
// the lease of the connection of a response with a Rest. That connection is closed
// unless the Rest was read completely.
func (a *Answer) Finish(complete bool) {
	a.free()
	if a.Rest == nil {
		return
	}
	if complete {
		a.conn.Release()
	} else {
		a.conn.Close()
	}
}
