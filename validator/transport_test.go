package validator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/validator/violator"
)

// get sends a request and returns the body of its response.
func get(t *testing.T, client *http.Client, url string) (string, error) {
	t.Helper()
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Valid responses pass on a connection that carries several, with and without TLS.
func TestTransportRejectsValidResponses(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, r.RemoteAddr)
	})
	for name, server := range map[string]*httptest.Server{"plain": httptest.NewServer(handler), "TLS": httptest.NewTLSServer(handler)} {
		t.Run(name, func(t *testing.T) {
			defer server.Close()
			tr := &http.Transport{}
			if ours, ok := server.Client().Transport.(*http.Transport); ok && ours.TLSClientConfig != nil {
				tr.TLSClientConfig = ours.TLSClientConfig
			}
			client := &http.Client{Transport: NewTransport(tr)}
			defer client.CloseIdleConnections()
			first, err := get(t, client, server.URL)
			if err != nil {
				t.Fatal(err)
			}
			for range 3 {
				if next, err := get(t, client, server.URL); err != nil || next != first {
					t.Errorf("from %s, %v, want the connection %s", next, err, first)
				}
			}
		})
	}
}

// An invalid response fails the request, also on a connection that has carried valid ones,
// and ends the connection, although the server keeps it open.
func TestTransportPassesInvalidResponses(t *testing.T) {
	leftToParser := violator.InvalidValues(http.StatusOK, "", "body")
	for name, response := range violator.Responses(http.StatusOK, "", "body") {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/" {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, response)
				_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
				close(closed)
			}))
			defer server.Close()
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			if _, err := get(t, client, server.URL+"/"); err != nil {
				t.Fatal(err)
			}
			body, err := get(t, client, server.URL+"/invalid")
			if _, ok := leftToParser[name]; err == nil || !ok && !errors.Is(err, ErrInvalid) {
				t.Fatalf("body %q, %v", body, err)
			}
			<-closed
		})
	}
}
