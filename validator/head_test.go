package validator

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/validator/violator"
)

// checkHead checks bytes that are received in parts of a size.
func checkHead(data string, size int) (head, error) {
	h := head{state: inVersion}
	for len(data) > 0 {
		n := min(size, len(data))
		if err := h.check([]byte(data[:n])); err != nil {
			return h, err
		}
		data = data[n:]
	}
	return h, nil
}

// A head is valid or not however its bytes are split into reads.
func TestHeadDependsOnReads(t *testing.T) {
	tests := map[string]struct {
		data  string
		valid bool
	}{
		"response":             {"HTTP/1.1 200 OK\r\nA: b\r\nC-d:  e f \r\n\r\n\x00 body:\n \x01:", true},
		"no reason phrase":     {"HTTP/1.1 204\r\n\r\n", true},
		"largest status":       {"HTTP/1.1 599 \r\n\r\n", true},
		"lines without CR":     {"HTTP/1.1 200 OK\nA: b\n\nbody", true},
		"spaces before status": {"HTTP/1.1   404 Not Found\r\n\r\n", true},
		"informational ones":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		"short status":         {"HTTP/1.1 20 OK\r\n\r\n", false},
		"long status":          {"HTTP/1.1 2000 OK\r\n\r\n", false},
		"no status":            {"HTTP/1.1\r\n\r\n", false},
		"status -00":           {"HTTP/1.1 -00 OK\r\n\r\n", false},
		"text behind the head": {"HTTP/1.1 200 OK\r\n\rA", false},
	}
	leftToParser := violator.InvalidValues(http.StatusOK, "A: b\r\n", "body")
	for name, data := range violator.Responses(http.StatusOK, "A: b\r\n", "body") {
		if _, ok := leftToParser[name]; ok {
			continue
		}
		tests[name] = struct {
			data  string
			valid bool
		}{data, false}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 7, len(test.data)} {
				h, err := checkHead(test.data, size)
				if (err == nil) != test.valid || err != nil && !errors.Is(err, ErrInvalid) {
					t.Errorf("reads of %d bytes: %v", size, err)
				}
				if test.valid && h.state != headEnded {
					t.Errorf("reads of %d bytes: the head is %s", size, h.state)
				}
			}
		})
	}
}

// Every status that is no number from 100 to 599 is invalid, and so is a switch of
// protocols: nobody asks for one.
func TestInvalidStatusPasses(t *testing.T) {
	for status := range 1000 {
		_, err := checkHead(fmt.Sprintf("HTTP/1.1 %03d \r\n\r\n", status), 100)
		if valid := status >= 100 && status < 600 && status != http.StatusSwitchingProtocols; (err == nil) != valid {
			t.Errorf("status %03d: %v", status, err)
		}
	}
}
