package appender_test

import (
	"net/http"
	"testing"

	"savoryroad.dev/appender"
	"savoryroad.dev/validator/violator"
)

// logThatSends starts a log service that sends the same bytes in response to each request.
func logThatSends(t *testing.T, response string) *appender.HTTP {
	t.Helper()
	s, err := violator.NewServer(violator.Respond(response))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	log := appender.NewHTTP("http://" + s.Addr.String())
	t.Cleanup(log.Close)
	return log
}

// A response that violates the protocol leaves the outcome of an append unknown, and
// contains no records.
func TestInvalidResponsesOfTheLogProveSomething(t *testing.T) {
	for _, status := range []int{http.StatusCreated, http.StatusBadRequest} {
		for name, response := range violator.Responses(status, "", `{"Offset": 7}`) {
			t.Run(name, func(t *testing.T) {
				if o, ok := logThatSends(t, response).Append(t.Context(), "Configuration", []byte("{}")).(appender.Unknown); !ok {
					t.Errorf("status %d: outcome %+v", status, o)
				}
			})
		}
	}
	for name, response := range violator.Responses(http.StatusOK, "", `{}`) {
		t.Run(name, func(t *testing.T) {
			if page, err := logThatSends(t, response).Read(t.Context(), "Configuration", 0, 0); err == nil {
				t.Errorf("page %+v", page)
			}
		})
	}
}
