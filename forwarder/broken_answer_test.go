package forwarder_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"savoryroad.dev/forwarder"
	"savoryroad.dev/loader"
	"savoryroad.dev/validator/violator"
)

// startRaw starts a server that answers as a function does, and returns its address.
func startRaw(t *testing.T, respond violator.Responder) string {
	t.Helper()
	s, err := violator.NewServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr.String()
}

// An answer that violates the protocol is none: the caller learns that the outcome is
// unknown, the call isn't sent again, although another backend server is free, and the
// capacity of the one that has sent the answer is free again.
func TestInvalidAnswersReachCallers(t *testing.T) {
	for name, response := range violator.Responses(http.StatusOK, "X-Answer: 1\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64
			respond := func(conn *net.TCPConn, r *http.Request) {
				sends.Add(1)
				violator.Respond(response)(conn, r)
			}
			f := newFixture(t, "", startRaw(t, respond), startRaw(t, respond))
			// These calls are more than two targets of unknown size have room for at once.
			for i := range int64(6) {
				resp, body, err := do(t, http.MethodPost, f.url+"/buy", "")
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.Header.Get(forwarder.OutcomeHeader); resp.StatusCode != http.StatusBadGateway || got != forwarder.OutcomeUnknown.String() {
					t.Errorf("got %d %s %q %v", resp.StatusCode, got, body, resp.Header)
				}
				if sends.Load() != i+1 {
					t.Errorf("%d calls were sent %d times", i+1, sends.Load())
				}
			}
		})
	}
}

// A backend server that answers a long upload without a length and resets the connection
// has not answered it: the body may be incomplete.
func TestUploadResetMidwayLooksComplete(t *testing.T) {
	const uploads = 40
	f := newFixture(t, "")
	address := startRaw(t, violator.ResetMidway("HTTP/1.1 200 OK\r\n\r\npart"))
	// Unlike that of the fixture, this configuration has room for a body that fills the
	// buffers of a connection.
	cfg, findings := loader.Render(loader.MustParse("base", "Entries: 1\nDataCentres: {Here: {}}\nServices:\n  S:"+routes+
		"    Targets: {t: {Address: \""+address+"\", DataCentre: Here}}\n"), loader.Document{})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	f.Install(2, cfg)
	body := strings.Repeat("b", 16<<20)
	complete := 0
	for range uploads {
		resp, _, err := do(t, http.MethodPut, f.url+"/put", body)
		if err == nil && resp.StatusCode == http.StatusOK {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d parts of an answer look complete", complete, uploads)
	}
}
