package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
	"savoryroad.dev/router"
)

// A request that reaches an entry while it starts is held for a moment: it is
// served once the configuration is there, and told that it did not run if that
// takes too long.
func TestStartingEntryHoldsRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		// known is when the configuration is there; 0 for never.
		known, deadline time.Duration
		status          int
		took            time.Duration
	}{
		{"known soon", 300 * time.Millisecond, 8 * time.Second, http.StatusNotFound, 300 * time.Millisecond},
		{"never known", 0, 8 * time.Second, http.StatusServiceUnavailable, startupWait},
		{"never known, and the caller is in a hurry", 0, 2 * time.Second, http.StatusServiceUnavailable, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(platform.Settings{})
				if c.known > 0 {
					time.AfterFunc(c.known, func() {
						g.install(router.Config{Version: 1, Services: map[loader.ServiceName]router.Service{}})
						g.markReady()
					})
				}
				r, err := standin.NewRequest(t.Context(), http.MethodGet, "http://entry/unknown/", "a.example", "1", c.deadline, nil)
				if err != nil {
					t.Fatal(err)
				}
				start, w := time.Now(), httptest.NewRecorder()
				g.ServeHTTP(w, r)
				if took := time.Since(start); w.Code != c.status || took != c.took {
					t.Errorf("status %d after %v, want %d after %v", w.Code, took, c.status, c.took)
				}
			})
		})
	}
}
