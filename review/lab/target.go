//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Target is a stand-in for a backend server. It works on a request for Work, sends an
// answer with a seal, and reports its load.
type Target struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// Answer, if not nil, takes the place of the usual answer.
	Answer func(c *Call)
	// Health, if not nil, takes the place of the usual answer to a health check. It reports
	// whether the connection stays open.
	Health func(c net.Conn, usual string) bool
	// ColdUntil is when the target is no longer cold, in Unix nanoseconds.
	ColdUntil atomic.Int64

	store    *Store
	born     int64
	sequence atomic.Int64
	stop     chan struct{}
	ln       net.Listener
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64

	mu       sync.Mutex
	Arrivals []Arrival
	conns    map[net.Conn]bool
}

// allTargets holds the targets of the run.
var allTargets []*Target

// Arrival is a request that a target began to run.
type Arrival struct {
	ID, URI string
	At      time.Time
}

// Call is a request at a target.
type Call struct {
	*http.Request
	Target *Target
	Conn   net.Conn
	ID     string
	Body   []byte
	// Close is set by an answer after which the connection is to be closed.
	Close bool
}

// NewTarget starts a target and registers it. It beats every 1.5 s.
func NewTarget(s *Store, ip, id, service, zone string, slots int, work time.Duration) *Target {
	t := &Target{ID: id, Service: service, Zone: zone, Slots: slots, Work: work, store: s, born: time.Now().UnixMilli(), stop: make(chan struct{}), slots: make(chan struct{}, slots), conns: map[net.Conn]bool{}}
	var err error
	if t.ln, err = net.Listen("tcp4", ip+":0"); err != nil {
		Fail("target: %v", err)
	}
	allTargets = append(allTargets, t)
	go t.accept()
	t.Register("ready")
	go func() {
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(1500 * time.Millisecond):
				t.Register("ready")
			}
		}
	}()
	return t
}

// Addr returns the address of the target.
func (t *Target) Addr() string { return t.ln.Addr().String() }

// Register writes the target's entry to the store.
func (t *Target) Register(state string) {
	left := max(0, time.Until(time.Unix(0, t.ColdUntil.Load())))
	t.store.Put("keyed.servers", t.ID, map[string]any{
		"service": t.Service, "address": t.Addr(), "zone": t.Zone, "version": "v1", "slots": t.Slots, "state": state,
		"warmupLeft": fmt.Sprintf("%dms", left.Milliseconds()), "sequence": t.sequence.Add(1), "born": t.born,
	})
}

// StopBeats ends the beats of the target.
func (t *Target) StopBeats() { close(t.stop) }

func (t *Target) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if req.URL.Path == "/health" && t.Health != nil {
			if !t.Health(c, t.health()) {
				return
			}
			continue
		}
		if req.URL.Path == "/health" {
			if _, err := io.WriteString(c, t.health()); err != nil {
				return
			}
			continue
		}
		call := &Call{Request: req, Target: t, Conn: c, ID: req.Header.Get("Request-Id")}
		if want := req.Header.Get("Expected-Instance"); want != "" && want != t.ID {
			_, _ = io.Copy(io.Discard, req.Body)
			call.Send(421, "", "Instance-Id: "+t.ID+"\r\n")
			continue
		}
		if t.Answer != nil {
			t.Answer(call)
		} else {
			call.ReadBody()
			call.Run()
			call.Send(200, call.Text(), call.Seal())
		}
		if call.Close {
			return
		}
	}
}

func (t *Target) load() string {
	return fmt.Sprintf("Server-Load: %d,%d,%d,100\r\n", t.running.Load(), t.waiting.Load(), t.Slots)
}

func (t *Target) health() string {
	warm := ""
	if left := time.Until(time.Unix(0, t.ColdUntil.Load())); left > 0 {
		warm = fmt.Sprintf("Warmup-Remaining: %dms\r\n", left.Milliseconds())
	}
	return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\nInstance-Id: " + t.ID + "\r\n" + t.load() + warm + "\r\n"
}

// ReadBody reads the whole body.
func (c *Call) ReadBody() {
	var err error
	if c.Body, err = io.ReadAll(c.Request.Body); err != nil {
		c.Close = true
	}
}

// Run works on the request, in a slot.
func (c *Call) Run() {
	t := c.Target
	t.mu.Lock()
	t.Arrivals = append(t.Arrivals, Arrival{c.ID, c.RequestURI, time.Now()})
	t.mu.Unlock()
	t.waiting.Add(1)
	t.slots <- struct{}{}
	t.waiting.Add(-1)
	t.running.Add(1)
	time.Sleep(t.Work)
	t.running.Add(-1)
	<-t.slots
}

// Runs returns the requests that the target ran.
func (t *Target) Runs() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.Arrivals...)
}

// Text is the body of the answer that belongs to a request.
func (c *Call) Text() string {
	return fmt.Sprintf("%s %s %s %d", c.Target.ID, c.ID, c.RequestURI, len(c.Body))
}

// Seal returns the header with the target's seal.
func (c *Call) Seal() string {
	return "Response-Seal: " + c.Target.ID + "." + c.ID + "\r\n"
}

// Head returns the head of an answer with a body of a length; no length if it is negative.
func (c *Call) Head(status, length int, headers string) string {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nRequest-Id: " + c.ID + "\r\nKeep-Alive: timeout=10\r\n" + c.Target.load() + headers
	if length >= 0 {
		text += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return text + "\r\n"
}

// Send sends an answer.
func (c *Call) Send(status int, body, headers string) {
	if _, err := io.WriteString(c.Conn, c.Head(status, len(body), headers)+body); err != nil {
		c.Close = true
	}
}
