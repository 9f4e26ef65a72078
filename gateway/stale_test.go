package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"savoryroad.dev/platform"
)

// repeatingTarget is a target that writes an earlier refusal once more on a connection
// that is kept.
type repeatingTarget struct {
	id string
	// withID tells whether refusals carry the ID of their request. BeforeHealth is set
	// if the refusal is repeated in the place of the answer to a health check, which then
	// is a refusal too and comes in the place of the answer to the next request;
	// otherwise it is repeated before the answer to the next request.
	withID, beforeHealth bool

	mu   sync.Mutex
	runs map[string]int
}

func (t *repeatingTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	refused := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // the caller may have disconnected
		refusal := func(id string) string {
			if !t.withID || id == "" {
				id = ""
			} else {
				id = "Request-Id: " + id + "\r\n"
			}
			return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\nServer-Load: 0,0,6\r\n\r\n"
		}
		id := req.Header.Get("Request-Id")
		switch {
		case req.URL.Path == "/health" && refused != "" && t.beforeHealth:
			_, err = io.WriteString(conn, refusal(refused))
		case req.URL.Path == "/health":
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance-Id: "+t.id+"\r\nContent-Length: 0\r\nServer-Load: 0,0,6\r\n\r\n")
		case strings.Contains(req.URL.Path, "refuse"):
			refused = id
			_, err = io.WriteString(conn, refusal(id))
		case refused != "" && t.beforeHealth:
			t.run(id)
			_, err = io.WriteString(conn, refusal(""))
		case refused != "":
			t.run(id)
			_, err = io.WriteString(conn, refusal(refused))
			fallthrough
		default:
			t.run(id)
			body := "done"
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		}
		if err != nil {
			return
		}
	}
}

func (t *repeatingTarget) run(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id] = 1
}

// An earlier refusal that targets write once more must not be taken for the answer to a
// request that runs: its caller would be told that it didn't, or it would run twice.
func TestRepeatedRefusalAnswersALaterRequest(t *testing.T) {
	for _, withID := range []bool{true, false} {
		for _, beforeHealth := range []bool{true, false} {
			t.Run(fmt.Sprint("with ID ", withID, ", before health check ", beforeHealth), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 1, 0)
				var targets []*repeatingTarget
				for i := range 2 {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { l.Close() })
					target := &repeatingTarget{id: fmt.Sprint("r", i), withID: withID, beforeHealth: beforeHealth, runs: map[string]int{}}
					targets = append(targets, target)
					go func() {
						for {
							conn, err := l.Accept()
							if err != nil {
								return
							}
							go target.serve(conn)
						}
					}()
					f.store.PutJSON(platform.TargetTopic, target.id, map[string]any{
						"service": "s", "address": l.Addr().String(), "zone": "home", "slots": 6, "state": "ready", "sequence": 1, "born": 1,
					})
				}
				e := f.entries[0]
				f.waitUntil(func() bool {
					services := e.snapshot.Load().services
					return services["s"].placer.Targets() == 2
				})
				for i := range 20 {
					f.call(e, http.MethodPost, "/unsafe/refuse", fmt.Sprint("n", i), nil)
					id := fmt.Sprint("u", i)
					got := f.call(e, http.MethodPost, "/unsafe/run", id, nil)
					runs := 0
					for _, target := range targets {
						target.mu.Lock()
						runs += target.runs[id]
						target.mu.Unlock()
					}
					if runs > 1 || runs > 0 && platform.PromisesNotRun(got.status) {
						t.Fatalf("request %d ran at %d targets and got status %d", i, runs, got.status)
					}
				}
			})
		}
	}
}
