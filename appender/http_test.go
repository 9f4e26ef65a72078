package appender_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"savoryroad.dev/appender"
)

// Whoever hands shares over keeps them when the append of the record was
// refused, and must leave them with nobody when its outcome is unknown. So what
// the service has certainly not done must not count as unknown.
func TestAppendTellsRefusedFromUnknown(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		want   string
	}{
		{"taken", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(`{"Offset":7}`))
		}, "appended"},
		{"not valid", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, "refused"},
		{"down", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "refused"},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, "unknown"},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(c.answer)
			defer srv.Close()
			log := appender.NewHTTP(srv.URL)
			defer log.Close()
			got := ""
			switch o := log.Append(t.Context(), "Configuration", []byte("{}")).(type) {
			case appender.Appended:
				got = "appended"
				if o.Offset != 7 {
					t.Errorf("offset %d", o.Offset)
				}
			case appender.Refused:
				got = "refused"
			case appender.Unknown:
				got = "unknown"
			}
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
