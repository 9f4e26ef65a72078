package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// The dose of the disruption, as in the list of kinds: a share of the targets of a
	// service break off a part of their answers, for a time.
	garbleShare, garblePart = 0.5, 0.02
	garbleTime              = 5 * time.Second
	garbles                 = 4
	// statementBytes is the size of a long answer.
	statementBytes = 1536 << 10
	// lookups is the number of requests that a client sends behind one for a long answer.
	lookups = 3
)

// runPipeline sends safe requests behind one whose answer is long, while targets break off
// some of the long ones.
func runPipeline(rec *record, trouble bool) (bool, error) {
	l := newLedger(rec)
	f, err := newFleet(rec, options{entries: 3, memoryMB: 284, routes: map[string]map[string]any{
		"r-read": route("/balance/", "safe", "balances", 1500*time.Millisecond, 300*time.Millisecond),
		"r-list": route("/statement/", "safe", "records", 2500*time.Millisecond, 500*time.Millisecond),
	}})
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.add("balances", 18, 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := f.add("records", 8, 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	for _, t := range f.targets {
		t.ran = l.ran
	}
	if err := f.start(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 18 {
		wg.Go(func() { l.runPipelining(f.entries[i%len(f.entries)], done) })
	}
	time.Sleep(5 * time.Second)
	for range garbles {
		n := 0
		for _, t := range f.targets {
			if t.service == "records" && trouble && n < int(garbleShare*8) {
				n++
				g := breakOff(rec, t)
				t.garble.Store(&g)
			}
		}
		time.Sleep(garbleTime)
		for _, t := range f.targets {
			t.garble.Store(nil)
		}
		time.Sleep(3 * time.Second)
	}
	close(done)
	wg.Wait()
	l.summary()
	rec.say("lost requests at sound targets: %d (more than three are too many)", l.lost)
	if l.answered[http.StatusOK] < 1000 {
		return false, errors.New("too few answers")
	}
	return l.lost > 3, nil
}

// breakOff makes a target break off a part of its answers in the middle.
func breakOff(rec *record, t *target) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if rand.Float64() >= garblePart {
			return false
		}
		id := r.Header.Get("Request-Id")
		rec.note("break off %s at %s", id, t.id)
		w.Header().Set("Response-Seal", t.id+"."+id)
		w.Header().Set("Content-Length", strconv.Itoa(statementBytes))
		for range statementBytes * 4 / 5 / len(filler) {
			_, _ = w.Write(filler)
		}
		panic(http.ErrAbortHandler)
	}
}

// runPipelining sends a request for a long answer and lookups behind it, again and again, on
// a kept connection to an entry, until done is closed.
func (l *ledger) runPipelining(e *entry, done <-chan struct{}) {
	var c *conn
	rounds := 0
	for {
		select {
		case <-done:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = dial(e); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			rounds = 0
		}
		ids := []string{l.newID()}
		sent := head(http.MethodGet, host, fmt.Sprintf("/statement/7?bytes=%d", statementBytes), ids[0], readDeadline)
		for range lookups {
			ids = append(ids, l.newID())
			sent += head(http.MethodGet, host, "/balance/7", ids[len(ids)-1], readDeadline)
		}
		l.rec.note("send %v to %s", ids, e.name)
		_, err := c.Write([]byte(sent))
		deadline := time.Now().Add(readDeadline)
		answers := 0
		for err == nil && answers < len(ids) {
			var a answer
			if a, err = c.read(http.MethodGet, deadline); err == nil || errors.Is(err, errClosing) {
				l.note(a.status)
				answers++
			}
		}
		switch {
		case err == nil:
			l.rec.note("answers to %v", ids)
			rounds++
		case isTimeout(err):
			l.rec.note("timeout %v", ids[answers:])
		case errors.Is(err, errClosing):
			// What is behind it counts as not read.
			l.rec.note("closing behind %d of %v", answers, ids)
		default:
			l.rec.note("closed after %d of %v: %v", answers, ids, err)
			// The first that isn't answered may be the one that its target broke off.
			l.note(0)
			for _, id := range ids[min(len(ids), answers+1):] {
				l.unanswered(id, e, rounds > 0, err)
			}
		}
		if err != nil {
			_ = c.Close()
			c = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}
