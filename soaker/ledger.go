package soaker

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
)

// Violation is a promise that was broken.
type Violation struct {
	// Promise is which one.
	Promise string
	// At is when, since the start of the run.
	At time.Duration
	// Detail says what was seen.
	Detail string
}

// String writes the violation in a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Promise, v.At.Seconds(), v.Detail)
}

// reply is what a caller saw of one request.
type reply struct {
	id   string
	safe bool
	// status is 0 when the connection ended without a whole answer.
	status int
	// entry is who took the request.
	entry string
	// stopped is set when the entry was leaving at the end, nothing else
	// troubled it, and the caller had not given up.
	stopped bool
	sent    time.Time
}

// ledger holds what callers and targets saw.
type ledger struct {
	start time.Time

	mu         sync.Mutex
	replies    []reply
	violations []Violation
	// statuses counts the replies by status.
	statuses map[int]int
}

func newLedger() *ledger { return &ledger{start: time.Now(), statuses: map[int]int{}} }

// note adds a reply.
func (l *ledger) note(r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, r)
	l.statuses[r.status]++
}

// broken adds a violation.
func (l *ledger) broken(promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{promise, time.Since(l.start), fmt.Sprintf(format, args...)})
}

// wholeBody tells whether a body is that of a target's answer to a request.
func wholeBody(body, id, uri string, length int) bool {
	return strings.HasSuffix(body, standin.AnswerBody("", id, uri, length))
}

// settle checks what can be told once everything has ended.
func (l *ledger) settle(targets []*target) {
	runs := map[string]int{}
	for _, t := range targets {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	l.mu.Lock()
	replies := slices.Clone(l.replies)
	l.mu.Unlock()
	for _, r := range replies {
		n := runs[r.id]
		switch {
		case !r.safe && n > 1:
			l.broken("at most once", "request %s ran %d times; its caller got %d from %s", r.id, n, r.status, r.entry)
		case !r.safe && n > 0 && platform.PromisesNotRun(r.status):
			l.broken("true refusals", "request %s ran, though %s answered %d", r.id, r.entry, r.status)
		case r.stopped && r.status == 0 && n > 0:
			l.broken("graceful stop", "request %s, sent at %.3f s to %s, ran and was cut off", r.id, r.sent.Sub(l.start).Seconds(), r.entry)
		}
	}
	for _, t := range targets {
		l.checkCold(t)
	}
	l.checkRepeats(targets, replies)
}

// checkCold checks what a target got while it was cold, in any second.
func (l *ledger) checkCold(t *target) {
	peak := standin.ColdRate*bounds.WarmupExcess + bounds.WarmupSlack
	var cold []time.Time
	for _, at := range t.Starts() {
		if at.Before(t.coldUntil) {
			cold = append(cold, at)
		}
	}
	slices.SortFunc(cold, time.Time.Compare)
	for i := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at.Sub(cold[i]) >= time.Second {
				break
			}
			n++
		}
		if float64(n) > peak {
			l.broken("cold rate", "%s got %d requests in the second from %.3f s, of %.1f", t.ID, n, cold[i].Sub(l.start).Seconds(), peak)
			return
		}
	}
}

// checkRepeats checks the repeats of all entries together in any window.
func (l *ledger) checkRepeats(targets []*target, replies []reply) {
	var requests, repeats []time.Time
	for _, r := range replies {
		requests = append(requests, r.sent)
	}
	seen := map[string]bool{}
	for _, a := range arrivals(targets) {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	slices.SortFunc(requests, time.Time.Compare)
	for i, first := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Sub(first) > bounds.RetryWindow {
				break
			}
			n++
		}
		allowed := bounds.RetrySlack
		for _, at := range requests {
			// Requests count in the window or in the one before it.
			if d := at.Sub(first); d > -bounds.RetryWindow && d <= bounds.RetryWindow {
				allowed += bounds.RetryRatio
			}
		}
		if float64(n) > allowed {
			l.broken("retry budget", "%d repeats in the 10 s from %.3f s, of %.0f", n, first.Sub(l.start).Seconds(), allowed)
			return
		}
	}
}

// arrivals returns what arrived at all targets, in the order of time.
func arrivals(targets []*target) []standin.Arrival {
	var all []standin.Arrival
	for _, t := range targets {
		all = append(all, t.Arrivals()...)
	}
	slices.SortFunc(all, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	return all
}
