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

// Violation is a violated guarantee.
type Violation struct {
	// Promise names the guarantee. It is "soak" if the run itself failed.
	Promise string
	// At is the time of detection, since the start of the run.
	At time.Duration
	// Detail describes what was observed.
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Promise, v.At.Seconds(), v.Detail)
}

// outcome is the outcome of one request as its caller observed it.
type outcome struct {
	id string
	// safe is set for a request that may run more than once.
	safe bool
	// status is the HTTP status, or 0 without a complete response.
	status int
	// entry is the name of the entry that the request was sent to.
	entry string
	// duringStop is set if the entry was terminating when the request ended, had
	// been stable and not restarted since it was sent, and the caller's timeout
	// had not expired.
	duringStop bool
	// stable is set if the entry had been without a fault and a restart for settleTime
	// when the request was sent, and until it ended.
	stable bool
	// streamed is set if entries forward the response while it arrives. If the target
	// breaks it off, the entry can only do the same.
	streamed        bool
	sentAt, endedAt time.Time
}

// checker records the outcomes of requests and collects violations.
type checker struct {
	start time.Time

	mu         sync.Mutex
	outcomes   []outcome
	violations []Violation
	// statusCounts counts the outcomes by status.
	statusCounts map[int]int
}

func newChecker() *checker { return &checker{start: time.Now(), statusCounts: map[int]int{}} }

// record adds the outcome of a request.
func (c *checker) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	c.statusCounts[o.status]++
}

// addViolation adds a violation that was detected now.
func (c *checker) addViolation(guarantee, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{guarantee, time.Since(c.start), fmt.Sprintf(format, args...)})
}

// matchesRequest reports whether body is a target's complete response to the
// request with the given ID, URI and body size.
func matchesRequest(body, id, uri string, requestBytes int) bool {
	return strings.HasSuffix(body, standin.AnswerBody("", id, uri, requestBytes))
}

// check checks the guarantees that need the outcomes of all requests. It is called
// after the callers have returned.
func (c *checker) check(targets []*target) {
	runs := map[string]int{}
	ranAt := map[string]*target{}
	for _, t := range targets {
		for id, n := range t.Runs() {
			runs[id] += n
			ranAt[id] = t
		}
	}
	c.mu.Lock()
	outcomes := slices.Clone(c.outcomes)
	c.mu.Unlock()
	for _, o := range outcomes {
		n := runs[o.id]
		switch {
		case !o.safe && n > 1:
			c.addViolation("at most once", "request %s ran %d times; its caller got status %d from %s", o.id, n, o.status, o.entry)
		case !o.safe && n > 0 && platform.PromisesNotRun(o.status):
			c.addViolation("rejected requests do not run", "request %s ran, although %s rejected it with status %d", o.id, o.entry, o.status)
		case o.streamed && n == 1 && ranAt[o.id].mayHaveBrokenOff(o.sentAt, o.endedAt):
		case o.duringStop && o.status == 0 && n > 0:
			c.addViolation("graceful shutdown", "request %s, sent at %.3f s to %s, ran, but its caller got no complete response", o.id, o.sentAt.Sub(c.start).Seconds(), o.entry)
		}
	}
	for _, t := range targets {
		c.checkColdRate(t)
		c.checkLimits(t, outcomes)
	}
	c.checkRetryBudget(targets, outcomes)
}

// checkColdRate checks that a cold target never ran more requests within a second
// than the platform's bounds allow.
func (c *checker) checkColdRate(t *target) {
	maxRequests := standin.ColdRate*bounds.WarmupExcess + bounds.WarmupSlack
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
		if float64(n) > maxRequests {
			c.addViolation("cold rate", "%s started %d requests in the second from %.3f s; the limit is %.1f", t.ID, n, cold[i].Sub(c.start).Seconds(), maxRequests)
			return
		}
	}
}

// checkLimits checks that no target got more requests of stable entries than the
// platform's bounds allow at the limit that it named.
func (c *checker) checkLimits(t *target, outcomes []outcome) {
	periods := t.limitPeriods()
	if len(periods) == 0 {
		return
	}
	stable := map[string]bool{}
	for _, o := range outcomes {
		stable[o.id] = o.stable
	}
	var counted []time.Time
	for _, a := range t.Arrivals() {
		if stable[a.ID] {
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	for _, l := range periods {
		for i, first := range counted {
			if first.Before(l.from.Add(limitContact)) || first.Add(limitWindow).After(l.until) {
				continue
			}
			n := 0
			for _, at := range counted[i:] {
				if at.Sub(first) >= limitWindow {
					break
				}
				n++
			}
			if maxRequests := limitExcess*l.perSecond*limitWindow.Seconds() + limitSlack; float64(n) > maxRequests {
				c.addViolation("limits of targets", "%s got %d requests in the %v from %.3f s at a limit of %.1f a second; at most %.1f are allowed",
					t.ID, n, limitWindow, first.Sub(c.start).Seconds(), l.perSecond, maxRequests)
				return
			}
		}
	}
}

// checkRetryBudget checks that the retries of all entries together stay within the
// retry budget in every window. Each further arrival of a request counts as a
// retry.
func (c *checker) checkRetryBudget(targets []*target, outcomes []outcome) {
	var requests, retries []time.Time
	for _, o := range outcomes {
		requests = append(requests, o.sentAt)
	}
	seen := map[string]bool{}
	for _, a := range arrivals(targets) {
		if seen[a.ID] {
			retries = append(retries, a.At)
		}
		seen[a.ID] = true
	}
	slices.SortFunc(requests, time.Time.Compare)
	for i, first := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Sub(first) > bounds.RetryWindow {
				break
			}
			n++
		}
		maxRetries := bounds.RetrySlack
		for _, at := range requests {
			// Counts the requests of this window and of the one before it.
			if d := at.Sub(first); d > -bounds.RetryWindow && d <= bounds.RetryWindow {
				maxRetries += bounds.RetryRatio
			}
		}
		if float64(n) > maxRetries {
			c.addViolation("retry budget", "%d retries in the 10 s from %.3f s; the limit is %.0f", n, first.Sub(c.start).Seconds(), maxRetries)
			return
		}
	}
}

// arrivals returns the requests that reached the targets, in order of time.
func arrivals(targets []*target) []standin.Arrival {
	var all []standin.Arrival
	for _, t := range targets {
		all = append(all, t.Arrivals()...)
	}
	slices.SortFunc(all, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	return all
}
