package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/platform"
	"savoryroad.dev/transporter"
)

const (
	// maxBufferedBody is the number of bytes of a request body that are read
	// before the request is sent. Only a body below this size can be sent again.
	maxBufferedBody = 1 << 20
	// minRetryAfter and maxRetryAfter bound the delay of a Retry-After header,
	// before jitter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 1 * time.Second
	// startupWait is the longest time that a request waits for an entry that is
	// starting. 115 entries that start together read a configuration of 460
	// routes 0.1 s to 0.8 s after the first request.
	startupWait = 800 * time.Millisecond
	// startupWaitDivisor limits this wait to a fraction of the time left until
	// the caller's deadline.
	startupWaitDivisor = 4
	// startupRetryAfter is the retry delay, before jitter, that an entry without
	// a configuration returns.
	startupRetryAfter = 250 * time.Millisecond
	// writeTimeout bounds the time from the turn of a request to the end of its
	// answer, so that a caller that doesn't read can't hold a connection
	// forever.
	writeTimeout = 60 * time.Second
)

// hopByHopHeaders are not forwarded: they apply to a single connection, or are
// handled for each connection (Content-Length, Expect).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ServeHTTP routes a caller's request, sends it to a target and writes the
// answer.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := arrival(r)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.asksToClose(r) {
		w.Header().Set("Connection", "close")
	}
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		g.log.Error().Err(err).Msg("can't set write deadline")
	}
	id, _ := platform.RequestID(r.Header)
	conn := connectionOf(r)
	if _, ahead := w.(*heldAnswer); conn != nil && !ahead && !conn.begin() {
		g.refuseRequest(w, id)
		return
	}
	if g.refuseWhileClosing(w, id) {
		return
	}
	if !g.waitReady(r) {
		g.log.Warn().Str("Request", id).Str("Reason", "no configuration yet").Dur("Took", time.Since(arrived)).Msg("refused")
		writeRefusal(w, refused{retryAfter: retryAfter(startupRetryAfter)})
		return
	}
	snap := g.snapshot.Load()
	limits := snap.router.Config().Limits
	if limits.HeaderBytes > 0 && headerBytes(r.Header) > limits.HeaderBytes {
		g.log.Info().Str("Request", id).Int("Bytes", headerBytes(r.Header)).Msg("headers are too long")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	route, ok := snap.router.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		g.log.Info().Str("Request", id).Str("Host", r.Host).Str("Path", r.URL.Path).
			Uint64("Version", uint64(snap.router.Config().Version)).Msg("no route")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if held, ok := w.(*heldAnswer); ok && !route.Class.Idempotent() {
		held.declined = true // the configuration has changed since it was started
		return
	}
	organisation, ok := g.authenticate(w, r, snap, route)
	if !ok {
		return
	}
	token, ok := g.admitOrganisation(w, r, organisation, route, arrived)
	if !ok {
		return
	}
	deadline := arrived.Add(route.Timeout)
	patience, ok := platform.Deadline(r.Header)
	if ok && patience < route.Timeout {
		deadline = arrived.Add(patience)
	}
	held := bodyBuffer{buffers: g.buffers, conn: conn}
	defer held.free()
	request, err := g.readRequest(w, r, &held, limits.BodyBytes, deadline)
	if errors.Is(err, errNoMemory) {
		g.allotter.GiveBack(token, time.Now())
		g.refuseBody(w, r, limits.BodyBytes, time.Since(arrived))
		return
	}
	if err != nil {
		g.rejectBody(w, r, err)
		return
	}
	c := &call{
		g: g, route: route, service: snap.services[route.Next()], request: request, arrived: arrived, deadline: deadline,
		version: snap.router.Config().Version, caller: callerAddr(r.RemoteAddr), organisation: organisation, token: token,
		patience: patience,
	}
	c.fingerprints = sync.OnceValue(func() fingerprints { return newFingerprints(c.caller, request) })
	conn.passOn()
	ctx := r.Context()
	if request.Rest != nil {
		var stop context.CancelFunc
		ctx, stop = watchCaller(r)
		defer stop()
	}
	result := c.run(ctx)
	c.returnToken(result)
	c.report(result, ctx.Err() != nil)
	g.writeResult(w, r, c, result)
}

// waitReady blocks while the entry is starting. It reports whether the entry
// has a configuration and the list of targets.
func (g *Gateway) waitReady(r *http.Request) bool {
	if g.ready.Load() {
		return true
	}
	wait := startupWait
	if left, ok := platform.Deadline(r.Header); ok {
		wait = min(wait, left/startupWaitDivisor)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.readyCh:
		return true
	case <-timer.C:
	case <-r.Context().Done():
	}
	return false
}

// errTooLarge is returned for a body above the configuration's limit.
var errTooLarge = errors.New("request body is too large")

// readRequest returns the request to send to a target, without hop-by-hop
// headers. It reads up to maxBufferedBody bytes of the body into held until the
// deadline; what remains of a larger body is streamed. It returns errNoMemory if
// there is no memory for the body.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, held *bodyBuffer, limit int64, deadline time.Time) (transporter.Request, error) {
	header := r.Header.Clone()
	for _, name := range header.Values("Connection") {
		header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	request := transporter.Request{
		Method: r.Method,
		URI:    r.RequestURI,
		Host:   r.Host,
		Header: header,
		Length: r.ContentLength,
	}
	request.ID, request.IDHeader = platform.RequestID(r.Header)
	if r.Body == nil || r.Body == http.NoBody {
		return request, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return request, errTooLarge
	}
	ctrl := http.NewResponseController(w)
	if err := ctrl.SetReadDeadline(deadline); err != nil {
		return request, errors.Wrap(err, "set read deadline")
	}
	body := io.Reader(awaitedBody(r))
	if limit > 0 {
		body = http.MaxBytesReader(w, awaitedBody(r), limit)
	}
	data, err := held.read(body, r.ContentLength)
	if err != nil {
		return request, errors.Wrap(err, "read body")
	}
	request.Body = data
	if n := int64(len(data)); n < maxBufferedBody {
		// From here on the server reads the connection in the background to
		// detect a disconnect, and would take an expired deadline for one.
		request.Length = n
		return request, errors.Wrap(ctrl.SetReadDeadline(time.Time{}), "clear read deadline")
	}
	request.Rest = body
	return request, nil
}

// headerBytes returns the size of headers in bytes, as they are sent.
func headerBytes(h http.Header) int {
	const separators = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// refuseRequest refuses a request for which there is no memory.
func (g *Gateway) refuseRequest(w http.ResponseWriter, id string) {
	v := refused{reason: "no memory for the request", retryAfter: retryAfter(maxRetryAfter)}
	g.log.Warn().Str("Request", id).Str("Reason", v.reason).Dur("RetryAfter", v.retryAfter).Msg("refused")
	w.Header().Set("Connection", "close")
	writeRefusal(w, v)
}

// refuseBody refuses a request because there is no memory for its body. Many callers read
// an answer only after they have sent their body, and lose it if the connection is closed
// before; so the body is read and discarded until the read deadline. Then the connection
// is closed: the caller's next one may lead to an entry that has memory.
func (g *Gateway) refuseBody(w http.ResponseWriter, r *http.Request, limit int64, took time.Duration) {
	id, _ := platform.RequestID(r.Header)
	v := refused{reason: "no memory for the body", retryAfter: retryAfter(maxRetryAfter)}
	g.refusedBodies.Inc(1)
	g.log.Warn().Str("Request", id).Str("Reason", v.reason).Dur("RetryAfter", v.retryAfter).Dur("Took", took).Msg("refused")
	ctrl := http.NewResponseController(w)
	// Without full duplex, the server reads a part of the body before it answers.
	drains := r.Header.Get("Expect") == "" && ctrl.EnableFullDuplex() == nil
	w.Header().Set("Connection", "close")
	writeRefusal(w, v)
	if !drains || ctrl.Flush() != nil {
		return
	}
	body := io.Reader(awaitedBody(r))
	if limit > 0 {
		body = io.LimitReader(body, limit)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		g.log.Debug().Err(err).Str("Request", id).Msg("the caller of a refused request has not sent its whole body")
	}
}

// rejectBody writes the answer to a request whose body could not be read.
func (g *Gateway) rejectBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errTooLarge), errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, context.Canceled), errors.Is(err, io.ErrUnexpectedEOF):
	default:
		status = http.StatusRequestTimeout
	}
	id, _ := platform.RequestID(r.Header)
	g.log.Info().Err(err).Str("Request", id).Int("Status", status).Msg("can't read request body")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// writeResult writes the result of a call to the caller.
func (g *Gateway) writeResult(w http.ResponseWriter, r *http.Request, c *call, result callResult) {
	switch v := result.(type) {
	case answered:
		g.writeAnswer(w, r, c, v)
	case refused:
		writeRefusal(w, v)
	case failed:
		w.WriteHeader(v.status)
	}
}

// writeAnswer forwards a target's answer unchanged, except for its hop-by-hop
// headers. A status that callers take as proof that the request did not run
// becomes a 502.
func (g *Gateway) writeAnswer(w http.ResponseWriter, r *http.Request, c *call, v answered) {
	a := v.answer
	defer v.ticket.Leave()
	if platform.PromisesNotRun(a.Status) {
		// Callers take these statuses as proof that the request did not run.
		// The target has not stated that, so its answer is not forwarded.
		a.Finish(false)
		g.log.Warn().Str("Request", c.request.ID).Str("Target", string(v.target.Name)).Int("Status", a.Status).Msg("target failed with a status reserved for requests that did not run")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if g.asksToClose(r) {
		h.Set("Connection", "close")
	}
	if h.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type that the target did not send.
		h["Content-Type"] = nil
	}
	length := int64(len(a.Body))
	if a.Rest != nil {
		length = a.Length
	}
	if length >= 0 && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	conn := connectionOf(r)
	conn.hold(len(a.Body))
	defer conn.hold(-len(a.Body))
	if a.Rest != nil {
		conn.holdStream(streamHeldBytes)
		defer conn.holdStream(-streamHeldBytes)
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest != nil && err == nil {
		stop := context.AfterFunc(r.Context(), a.Cancel)
		defer stop()
		rest := &sourceReader{source: a.Rest}
		_, err = io.Copy(w, rest)
		if rest.err == nil && err == nil {
			c.noteAnswered(a.Status)
		}
		if rest.err != nil {
			c.service.placer.BreakOff(v.target, time.Now())
			c.noteUnanswered(v.target, rest.err)
			g.log.Warn().Err(rest.err).Str("Request", c.request.ID).Str("Target", string(v.target.Name)).Msg("target broke off its answer")
		}
	}
	a.Finish(err == nil)
	if err != nil {
		// Abort the connection, so that the caller doesn't take a truncated
		// answer for a whole one.
		panic(http.ErrAbortHandler)
	}
}

// sourceReader remembers the error of the reader that it reads from.
type sourceReader struct {
	source io.Reader
	// err is the first error other than io.EOF.
	err error
}

// Read implements [io.Reader].
func (r *sourceReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// writeRefusal answers 503 with a Retry-After header.
func writeRefusal(w http.ResponseWriter, v refused) {
	setRetryAfter(w, v.retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRetryAfter sets the Retry-After header.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// retryAfter returns the retry delay for a refused request: the time until a
// target is expected to have capacity, within minRetryAfter and maxRetryAfter,
// with a jitter of up to 25% in each direction.
func retryAfter(wait time.Duration) time.Duration {
	return spreadRetry(min(max(wait, minRetryAfter), maxRetryAfter))
}

// spreadRetry adds a jitter of up to 25% in each direction to a retry delay.
func spreadRetry(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}
