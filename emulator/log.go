package emulator

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/appender"
)

const (
	// maxRecordBytes is the largest record that the log takes.
	maxRecordBytes = 8 << 20
	// maxPageRecords bounds the records of one page.
	maxPageRecords = 1000
	// maxWait bounds a long poll.
	maxWait = time.Minute
)

// Faults are what a log can be made to suffer.
type Faults struct {
	// Down makes every request fail with 503, and nothing takes effect.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// LostAcks is the share of appends, from 0 to 1, that take effect while
	// their answer is lost.
	LostAcks float64
}

// Log is a stand-in for the platform's log service. It implements
// appender.Log directly, and the same over HTTP as an http.Handler.
type Log struct {
	mux *http.ServeMux

	mu sync.Mutex
	// streams holds the records; those below the head are gone.
	streams map[appender.Stream]*stream
	faults  Faults
	rng     *rand.Rand
	// retention is how long a record is kept.
	retention time.Duration
	// appends counts the records that took effect.
	appends int
}

type stream struct {
	head    appender.Offset
	records []appender.Record
	// grown is closed and replaced when a record is added.
	grown chan struct{}
}

var (
	errDown    = errors.New("log service is down")
	errLostAck = errors.New("acknowledgement was lost")
)

// NewLog returns an empty log that keeps each record for the retention time.
// The seed draws the faults.
func NewLog(retention time.Duration, seed uint64) *Log {
	l := &Log{
		streams:   map[appender.Stream]*stream{},
		retention: retention,
		rng:       rand.New(rand.NewPCG(seed, seed)),
	}
	l.mux = l.routes()
	return l
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append adds one record, unless a fault is in the way.
func (l *Log) Append(ctx context.Context, name appender.Stream, data []byte) appender.Outcome {
	if err := l.suffer(ctx); err != nil {
		if errors.Is(err, errDown) {
			return appender.Refused{Reason: err}
		}
		return appender.Unknown{Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.head + appender.Offset(len(s.records))
	s.records = append(s.records, appender.Record{Offset: offset, Time: time.Now(), Data: data})
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	if l.rng.Float64() < l.faults.LostAcks {
		return appender.Unknown{Cause: errLostAck}
	}
	return appender.Appended{Offset: offset}
}

// Read returns records from an offset on, waiting for the first.
func (l *Log) Read(ctx context.Context, name appender.Stream, from appender.Offset, wait time.Duration) (appender.Page, error) {
	if err := l.suffer(ctx); err != nil {
		return appender.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p, grown := l.page(name, from)
		if len(p.Records) > 0 {
			return p, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return p, nil
		case <-ctx.Done():
			return appender.Page{}, ctx.Err()
		}
	}
}

// page returns what there is now, and a channel that tells of more.
func (l *Log) page(name appender.Stream, from appender.Offset) (appender.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	end := s.head + appender.Offset(len(s.records))
	from = min(max(from, s.head), end)
	records := s.records[from-s.head:]
	if len(records) > maxPageRecords {
		records = records[:maxPageRecords]
	}
	next := from + appender.Offset(len(records))
	return appender.Page{Head: s.head, Next: next, End: end, Records: records}, s.grown
}

// trim forgets the records that are older than the retention time.
func (l *Log) trim(s *stream) {
	oldest := time.Now().Add(-l.retention)
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(oldest) {
		n++
	}
	s.records = s.records[n:]
	s.head += appender.Offset(n)
}

func (l *Log) stream(name appender.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// suffer waits and fails as the faults in force say.
func (l *Log) suffer(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return errDown
	}
	if f.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(f.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP serves the log, and its faults at PUT /faults.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// routes returns what the log serves.
func (l *Log) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", l.serveAppend)
	mux.HandleFunc("GET /streams/{name}", l.serveRead)
	mux.HandleFunc("PUT /faults", l.serveFaults)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "record is too large or no JSON", http.StatusBadRequest)
		return
	}
	switch o := l.Append(r.Context(), appender.Stream(r.PathValue("name")), data).(type) {
	case appender.Appended:
		writeJSON(w, http.StatusCreated, o)
	case appender.Refused:
		http.Error(w, o.Reason.Error(), http.StatusServiceUnavailable)
	case appender.Unknown:
		panic(http.ErrAbortHandler)
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	p, err := l.Read(r.Context(), appender.Stream(r.PathValue("name")), appender.Offset(from), min(wait, maxWait))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, p)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
