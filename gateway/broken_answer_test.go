package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
	"savoryroad.dev/validator/violator"
)

// An answer that violates the protocol is none: the caller gets a failure that bears no
// seal and promises nothing, and a call that isn't idempotent isn't sent again, although
// other targets are free.
func TestInvalidAnswersReachCallers(t *testing.T) {
	f := newFleet(t, 1, 3)
	invalid := func(id string) map[string]string {
		return violator.Responses(http.StatusOK, fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: t0.%s\r\n", id, id), "body")
	}
	for name := range invalid("") {
		for _, target := range f.targets {
			target.SetRawResponse(func(r *http.Request) string {
				if r.URL.Path == "/health" {
					return ""
				}
				return invalid(r.Header.Get("Request-Id"))[name]
			})
		}
		for _, path := range []string{"/safe/", "/unsafe/", "/upload/"} {
			var id string
			var got reply
			// While the entry spares the target after the failures, it refuses calls.
			for n := 0; f.runCount(id) == 0; n++ {
				id = fmt.Sprint(name, path, n)
				got = f.call(f.entries[0], http.MethodPost, path, id, []byte("b"))
			}
			if got.status < 500 || platform.PromisesNotRun(got.status) || standin.Seal(got.header) != "" || got.body != "" {
				t.Errorf("%s: %+v", id, got)
			}
			if path != "/safe/" && f.runCount(id) != 1 {
				t.Errorf("%s ran %d times", id, f.runCount(id))
			}
		}
	}
}

// A health check whose answer violates the protocol has failed: it says nothing of the
// target's load, and no call follows it.
func TestInvalidAnswerToHealthCheckPasses(t *testing.T) {
	f := newFleet(t, 1, 1)
	s := f.entries[0].snapshot.Load().services["s"]
	target := s.placer.Find("t0")
	passes := func() bool {
		conn, err := f.entries[0].probe(s, target)
		if err == nil {
			conn.Release()
		}
		return err == nil
	}
	f.waitUntil(passes)
	for name, response := range violator.Responses(http.StatusOK, "Instance-Id: t0\r\nServer-Load: 0,0,6\r\n", "") {
		f.targets[0].SetRawResponse(func(*http.Request) string { return response })
		if passes() {
			t.Errorf("%s: the health check passes", name)
		}
	}
}

// A target that answers a long upload without a length and resets the connection has not
// answered it: the body may be incomplete. It may have run, so it isn't sent again, nor
// refused as one that has not.
func TestUploadResetMidwayLooksComplete(t *testing.T) {
	const uploads = 40
	f := newFleet(t, 1, 3)
	f.setBehaviour(standin.ResetMidway)
	for _, size := range []int{900 << 10, 6 << 20} {
		body := bytes.Repeat([]byte("b"), size)
		for i := range uploads {
			id := fmt.Sprintf("r-%d-%d", size, i)
			got := f.call(f.entries[0], http.MethodPost, "/upload/", id, body)
			if got.status == http.StatusOK && got.err == nil {
				t.Errorf("%s: a part of an answer looks complete: %+v", id, got)
			}
			if n := f.runCount(id); n > 1 || n == 1 && platform.PromisesNotRun(got.status) {
				t.Errorf("%s ran %d times: %+v", id, n, got)
			}
		}
	}
}
