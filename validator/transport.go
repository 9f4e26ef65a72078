package validator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// Transport is an [http.Transport] that checks the responses it receives.
type Transport struct{ *http.Transport }

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport with the settings of another one, which must not be
// used any more. It speaks HTTP/1.1 only.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = checked(dial)
	t.DialTLSContext = checked(dialTLS(dial, t.TLSClientConfig))
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	return &Transport{t}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			// The transport fails a request on a connection on which it has received
			// bytes before, so there are none to check.
			_ = c.ExpectResponse(nil)
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// checked returns a function that opens connections which check responses.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// dialTLS returns a function that opens connections over TLS.
func dialTLS(dial dialFunc, cfg *tls.Config) dialFunc {
	if cfg == nil {
		cfg = &tls.Config{}
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "TLS address")
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cfg := cfg.Clone()
		if cfg.ServerName == "" {
			cfg.ServerName = host
		}
		secure := tls.Client(conn, cfg)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		return secure, nil
	}
}
