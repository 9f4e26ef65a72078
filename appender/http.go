package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/validator"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// readSlack is added to the wait of a read for the answer to arrive.
	readSlack = 5 * time.Second
	// maxPageBytes bounds an answer of the log service.
	maxPageBytes = 64 << 20
	// maxErrorBytes bounds the text kept of an error answer.
	maxErrorBytes = 512
)

// HTTP is a Log reached over HTTP:
//
//	POST /streams/NAME               body: the record; 201 {"Offset": 7}
//	GET  /streams/NAME?from=7&wait=10s   200 a Page
//
// A 4xx or 503 answer to an append means that the record was refused: the
// service answers 503 only when it has done nothing.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns the log at a URL such as http://10.0.0.7:7000.
func NewHTTP(base string) *HTTP {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &HTTP{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: validator.NewTransport(tr)}}
}

// Close drops the idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Append adds one record. Only a refused connection and an answer that says so
// prove that the record is not in the log.
func (h *HTTP) Append(ctx context.Context, s Stream, data []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(s), bytes.NewReader(data))
	if err != nil {
		return Refused{Reason: err}
	}
	// Without GetBody the transport can't send the record a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return failedAppend(err)
	}
	defer resp.Body.Close()
	if err := statusError(resp, http.StatusCreated); err != nil {
		if resp.StatusCode >= 400 && resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
			return Refused{Reason: err}
		}
		return Unknown{Cause: err}
	}
	var done Appended
	if err := json.NewDecoder(resp.Body).Decode(&done); err != nil {
		return Unknown{Cause: errors.Wrap(err, "answer of the log service")}
	}
	return done
}

// failedAppend tells a connection that was never opened from one that broke.
func failedAppend(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Refused{Reason: err}
	}
	return Unknown{Cause: err}
}

// Read returns a page from an offset on.
func (h *HTTP) Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	q := url.Values{
		"from": {strconv.FormatInt(int64(from), 10)},
		"wait": {wait.String()},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(s)+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "read of the log")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Page{}, errors.Wrap(err, "read of the log")
	}
	defer resp.Body.Close()
	if err := statusError(resp, http.StatusOK); err != nil {
		return Page{}, err
	}
	var p Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&p); err != nil {
		return Page{}, errors.Wrap(err, "answer of the log service")
	}
	return p, nil
}

func (h *HTTP) url(s Stream) string { return h.base + "/streams/" + url.PathEscape(string(s)) }

// statusError returns nil when the answer has the status wanted.
func statusError(resp *http.Response, want int) error {
	if resp.StatusCode == want {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return &StatusError{Status: resp.StatusCode, Text: strings.TrimSpace(string(text))}
}
