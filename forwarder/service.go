package forwarder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"savoryroad.dev/loader"
	"savoryroad.dev/picker"
	"savoryroad.dev/recorder"
	"savoryroad.dev/warmer"
)

const (
	// maxRetryTokens limits the retries that a service can save up.
	maxRetryTokens = 20
	// releaseDelayThreshold is the number of consecutive failures from which on
	// the release of a target's capacity is delayed.
	releaseDelayThreshold = 3
	// minReleaseDelay and maxReleaseDelay bound the delay, which doubles with
	// each failure.
	minReleaseDelay = 10 * time.Millisecond
	maxReleaseDelay = time.Second
)

var (
	errQueueFull     = errors.New("the queue is full")
	errWaitTimeout   = errors.New("no backend server had room in time")
	errNoneInService = errors.New("no backend server takes new work")
)

// service is this entry's state of one service. It is kept across
// configurations.
type service struct {
	name  loader.ServiceName
	rec   *recorder.Recorder
	stats serviceStats

	// mu guards all fields below. A call holds it only for short operations.
	mu       sync.Mutex
	settings loader.Service
	pool     *picker.Pool
	// backends holds the targets in the order of the pool's members.
	backends []*backend
	rng      *rand.Rand
	// waiters is the queue of calls, oldest first. It is empty while a member
	// of the pool has capacity.
	waiters []*waiter
	// ownership is the entry's view of the owners of shares; nil means that it
	// is the only entry.
	ownership *ownership
	// announceLevel sends a warm-up level to other entries; it must not block.
	announceLevel func(warmer.News)
	// sendLoan sends a loan request or a return to the target's owner; it must
	// not block.
	sendLoan func(warmer.Loan)
	// pendingLoans counts the pending loans of all backends.
	pendingLoans int
	// loanRequests counts this entry's loan requests without a reply.
	loanRequests int
	// returnedPermits holds the ids of the permits that were returned last.
	returnedPermits []warmer.PermitID
	// retryTokens is the number of retries in the retry budget.
	retryTokens float64
}

// serviceStats are the metrics of one service.
type serviceStats struct {
	outcomes [Cancelled + 1]metrics.Counter
	wait     metrics.Histogram
	latency  metrics.Histogram
	retries  metrics.Counter
	waiting  metrics.Gauge
}

// waiter is a queued call.
type waiter struct {
	// granted receives the backend once. Its capacity is 1, so that the sender
	// doesn't block.
	granted chan *backend
	// queuedAt is when the call was queued.
	queuedAt time.Time
}

func newService(name loader.ServiceName, f *Forwarder) *service {
	s := &service{
		ownership:     f.ownership,
		announceLevel: f.announceLevel,
		sendLoan:      f.sendLoan,
		name:          name,
		rec:           f.rec,
		rng:           rand.New(rand.NewPCG(f.seed, uint64(len(name)))),
		retryTokens:   maxRetryTokens,
	}
	rec := f.rec
	label := recorder.Label{Name: "service", Value: string(name)}
	for o := range s.stats.outcomes {
		s.stats.outcomes[o] = rec.Counter("calls_total", label, recorder.Label{Name: "outcome", Value: Outcome(o).String()})
	}
	s.stats.wait = rec.Histogram("call_wait_us", label)
	s.stats.latency = rec.Histogram("call_latency_us", label)
	s.stats.retries = rec.Counter("call_repeats_total", label)
	s.stats.waiting = rec.Gauge("calls_waiting", label)
	return s
}

// configure applies a new configuration. Targets whose address and limits
// haven't changed keep their connections and outstanding calls.
func (s *service) configure(cfg loader.Config, settings loader.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := map[loader.TargetName]*backend{}
	for _, b := range s.backends {
		b.index = -1
		previous[b.name] = b
	}
	sameDefaults := s.settings.Defaults == settings.Defaults
	s.backends = nil
	var members []picker.Member
	for _, name := range slices.Sorted(maps.Keys(settings.Targets)) {
		t := settings.Targets[name]
		maxConns := max(t.Connections/cfg.Entries, 1)
		b, ok := previous[name]
		if ok && sameDefaults && canReuseBackend(b.target, t) {
			delete(previous, name)
			b.target = t
		} else {
			b = newBackend(s.name, name, t, settings.Defaults, maxConns, s.rec)
			b.ramp = warmer.New(warmupLimits(t, settings))
		}
		b.index = picker.Index(len(members))
		b.baseLimit = baseLimit(cfg, t, maxConns)
		b.ramp.Configure(warmupLimits(t, settings))
		s.updateRampOwner(b)
		s.backends = append(s.backends, b)
		members = append(members, picker.Member{
			Limit:       s.limit(b),
			Outstanding: b.outstanding,
		})
	}
	s.pendingLoans = 0
	for _, b := range s.backends {
		s.pendingLoans += len(b.pending)
	}
	s.settings = settings
	s.pool = picker.New(settings.Policy, s.rng, members)
	for _, b := range previous {
		b.close()
	}
	s.grantWaiters()
}

// canReuseBackend reports whether the targets differ at most in their state, so
// that connections can be kept.
func canReuseBackend(a, b loader.Target) bool {
	a.State = b.State
	return a == b
}

// baseLimit returns the maximum of outstanding calls at a target, or 0 if the
// operator has taken the target or its data centre out of service.
func baseLimit(cfg loader.Config, t loader.Target, maxConns int) int {
	if t.State == loader.Draining || cfg.DataCentres[t.DataCentre].State == loader.Out {
		return 0
	}
	return callLimit(t, maxConns)
}

// shutdown removes all targets. Queued calls are not granted a backend any
// more; calls in flight are not affected.
func (s *service) shutdown() {
	s.configure(loader.Config{Entries: 1}, loader.Service{})
}

// release ends a call's use of a backend and assigns the capacity to the oldest
// waiter. After consecutive failures the release is delayed with exponential
// backoff, so that a target doesn't attract calls by failing fast.
func (s *service) release(b *backend, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if good {
		b.failures = 0
	} else {
		b.failures++
	}
	if d := releaseDelay(b.failures); d > 0 {
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.releaseNow(b)
		})
		return
	}
	s.releaseNow(b)
}

// releaseNow releases a call's capacity and returns a borrowed permit if it
// isn't needed any more. The caller must hold the lock.
func (s *service) releaseNow(b *backend) {
	s.decrementOutstanding(b)
	s.returnPermit(b)
}

// releaseDelay returns the delay of a release after a number of consecutive
// failures.
func releaseDelay(failures int) time.Duration {
	if failures < releaseDelayThreshold {
		return 0
	}
	return min(minReleaseDelay<<min(failures-releaseDelayThreshold, 10), maxReleaseDelay)
}

// decrementOutstanding releases capacity at a backend and assigns it to the
// oldest waiter. The caller must hold the lock.
func (s *service) decrementOutstanding(b *backend) {
	b.outstanding--
	if b.index >= 0 {
		s.pool.Release(b.index)
	}
	s.grantWaiters()
}

// pick selects a backend with capacity and counts a call as outstanding there.
// It selects one of those to avoid only if no other has capacity. The caller
// must hold the lock.
func (s *service) pick(avoid []*backend) (*backend, bool) {
	var indexes []picker.Index
	for _, b := range avoid {
		if b.index >= 0 {
			indexes = append(indexes, b.index)
		}
	}
	i, ok := s.pool.Pick(indexes)
	if !ok && len(indexes) > 0 {
		i, ok = s.pool.Pick(nil)
	}
	if !ok {
		return nil, false
	}
	b := s.backends[i]
	b.outstanding++
	return b, true
}

// anyInService reports whether any target accepts new calls. The caller must
// hold the lock.
func (s *service) anyInService() bool {
	return slices.ContainsFunc(s.backends, func(b *backend) bool { return b.baseLimit > 0 })
}
