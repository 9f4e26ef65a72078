package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"savoryroad.dev/forwarder"
	"savoryroad.dev/validator/violator"
)

// startRaw starts a server that answers as a function does, and returns its address.
func startRaw(t *testing.T, respond func(*net.TCPConn, *http.Request, io.Reader)) string {
	t.Helper()
	s, err := violator.NewServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr.String()
}

// An answer that violates the protocol is none: the caller learns that the outcome is
// unknown, and the backend server's capacity is free again.
func TestInvalidAnswersReachCallers(t *testing.T) {
	for name, response := range violator.Responses(http.StatusOK, "X-Answer: 1\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "", startRaw(t, violator.Respond(response)))
			// Three calls are more than a target of unknown size has room for at once.
			for range 3 {
				resp, body, err := do(t, http.MethodPost, f.url+"/buy", "")
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.Header.Get(forwarder.OutcomeHeader); resp.StatusCode != http.StatusBadGateway || got != forwarder.OutcomeUnknown.String() {
					t.Errorf("got %d %s %q %v", resp.StatusCode, got, body, resp.Header)
				}
			}
		})
	}
}
