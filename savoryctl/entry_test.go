package main

import (
	"net/http"
	"strings"
	"testing"

	"savoryroad.dev/validator/violator"
)

// A response that violates the protocol is no status of an entry.
func TestInvalidResponseIsStatus(t *testing.T) {
	for name, response := range violator.Responses(http.StatusOK, "", `{"Entry": "entry-01"}`) {
		t.Run(name, func(t *testing.T) {
			s, err := violator.NewServer(violator.Respond(response))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if code, out := runCtl(t, "status", "--entries", s.Addr.String()); code != exitFailed || !strings.Contains(out, "1 of 1 entries did not return their status") {
				t.Errorf("status: %d %s", code, out)
			}
		})
	}
}
