package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/carrier"
	"savoryroad.dev/platform"
)

const (
	// maxBuffered bounds the part of a request's body that is read before it
	// is sent, in bytes. Up to this size it can be sent again.
	maxBuffered = 1 << 20
	// minRetryAfter and maxRetryAfter bound when a refused caller returns.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 1 * time.Second
	// startPatience is how long a request waits for an entry that has just
	// started: 115 entries that start together have read a configuration of 460
	// routes 0.1 s to 0.8 s after the first request. startPart is the part of
	// the caller's time that this may take, as a divisor.
	startPatience = 800 * time.Millisecond
	startPart     = 4
	// startRetryAfter is when a caller may ask an entry again that still knows
	// nothing.
	startRetryAfter = 250 * time.Millisecond
	// writeTimeout bounds a request with its answer, so that a caller that
	// doesn't read can't hold a connection for ever.
	writeTimeout = 60 * time.Second
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ServeHTTP takes a request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := http.NewResponseController(w).SetWriteDeadline(arrived.Add(writeTimeout)); err != nil {
		g.log.Error().Err(err).Msg("write deadline")
	}
	if !g.awaitReady(r) {
		id, _ := platform.RequestID(r.Header)
		g.log.Warn().Str("Request", id).Str("Reason", "no configuration yet").Dur("Took", time.Since(arrived)).Msg("refused")
		refuse(w, refused{retryAfter: retryAfter(startRetryAfter)})
		return
	}
	b := g.snapshot.Load()
	route, ok := b.router.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		id, _ := platform.RequestID(r.Header)
		g.log.Info().Str("Request", id).Str("Host", r.Host).Str("Path", r.URL.Path).
			Uint64("Version", uint64(b.router.Config().Version)).Msg("no route")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	end := arrived.Add(route.Timeout)
	if left, ok := platform.Deadline(r.Header); ok && left < route.Timeout {
		end = arrived.Add(left)
	}
	request, err := g.readRequest(w, r, b.router.Config().Limits.BodyBytes, end)
	if err != nil {
		g.rejectBody(w, r, err)
		return
	}
	c := &call{
		g: g, route: route, service: b.services[route.Next()], request: request, arrived: arrived, deadline: end,
		version: b.router.Config().Version,
	}
	v := c.run(r.Context())
	c.report(v, r.Context().Err() != nil)
	g.finish(w, r, c, v)
}

// awaitReady holds a request while the entry starts. It tells whether the entry
// knows a configuration and its targets.
func (g *Gateway) awaitReady(r *http.Request) bool {
	if g.ready.Load() {
		return true
	}
	patience := startPatience
	if left, ok := platform.Deadline(r.Header); ok {
		patience = min(patience, left/startPart)
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-g.readyCh:
		return true
	case <-timer.C:
	case <-r.Context().Done():
	}
	return false
}

// errTooLarge says that a body is larger than the configuration allows.
var errTooLarge = errors.New("the body is too large")

// readRequest reads a request, with its body as far as it is buffered.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, limit int64, end time.Time) (carrier.Request, error) {
	header := r.Header.Clone()
	for _, name := range header.Values("Connection") {
		header.Del(name)
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	out := carrier.Request{
		Method: r.Method,
		URI:    r.RequestURI,
		Host:   r.Host,
		Header: header,
		Length: r.ContentLength,
	}
	out.ID, out.IDHeader = platform.RequestID(r.Header)
	if r.Body == nil || r.Body == http.NoBody {
		return out, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return out, errTooLarge
	}
	ctrl := http.NewResponseController(w)
	if err := ctrl.SetReadDeadline(end); err != nil {
		return out, errors.Wrap(err, "read deadline")
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(body, maxBuffered))
	if err != nil {
		return out, errors.Wrap(err, "read body")
	}
	out.Body = buf.Bytes()
	if n < maxBuffered {
		// The server watches the connection from here on; a deadline left in
		// place would look like a caller that is gone.
		out.Length = n
		return out, errors.Wrap(ctrl.SetReadDeadline(time.Time{}), "read deadline")
	}
	out.Rest = body
	return out, nil
}

// rejectBody answers a request whose body could not be read.
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
	g.log.Info().Err(err).Str("Request", id).Int("Status", status).Msg("request could not be read")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// finish answers the caller.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, c *call, v callResult) {
	switch v := v.(type) {
	case answered:
		g.passOn(w, r, c, v)
	case refused:
		refuse(w, v)
	case failed:
		w.WriteHeader(v.status)
	}
}

// passOn passes a target's answer on, unchanged.
func (g *Gateway) passOn(w http.ResponseWriter, r *http.Request, c *call, v answered) {
	a := v.answer
	if platform.PromisesNotRun(a.Status) {
		// These statuses say that a request did not run. The target has not
		// said so, and what it did say stays between it and this entry.
		a.Finish(false)
		g.log.Warn().Str("Request", c.request.ID).Str("Target", string(v.target.Name)).Int("Status", a.Status).Msg("target failed with a status that promises too much")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	length := int64(len(a.Body))
	if a.Rest != nil {
		length = a.Length
	}
	if length >= 0 && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			_, err = io.Copy(w, a.Rest)
		}
		a.Finish(err == nil)
		if err != nil {
			// The caller must not take what it has for the whole answer.
			panic(http.ErrAbortHandler)
		}
	}
}

// refuse tells a caller that its request did not run, and when to come back.
func refuse(w http.ResponseWriter, v refused) {
	w.Header().Set("Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// retryAfter spreads the return of refused callers around the moment at which
// room is expected.
func retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(wait) * (0.75 + 0.5*rand.Float64()))
}
