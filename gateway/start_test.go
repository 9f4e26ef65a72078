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

// A request that arrives while an entry is starting waits for the configuration.
// It is routed once the configuration arrives, and refused with 503 after the
// startup wait or a quarter of the caller's deadline.
func TestStartingEntryHoldsRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		// configuredAfter is the time until the configuration arrives; 0 for never.
		configuredAfter, deadline time.Duration
		status                    int
		took                      time.Duration
	}{
		{"configured soon", 300 * time.Millisecond, 8 * time.Second, http.StatusNotFound, 300 * time.Millisecond},
		{"never configured", 0, 8 * time.Second, http.StatusServiceUnavailable, startupWait},
		{"never configured, short deadline", 0, 2 * time.Second, http.StatusServiceUnavailable, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(platform.Settings{})
				if c.configuredAfter > 0 {
					time.AfterFunc(c.configuredAfter, func() {
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
