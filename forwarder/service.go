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
	// maxRepeatTokens bounds how many repeats a quiet service can save up.
	maxRepeatTokens = 20
	// penaltyFrom is the number of failures in a row from which on a target's
	// room is given back late.
	penaltyFrom = 3
	// firstPenalty and lastPenalty bound that delay; it doubles in between.
	firstPenalty = 10 * time.Millisecond
	lastPenalty  = time.Second
)

var (
	errQueueFull = errors.New("the queue is full")
	errWaitOver  = errors.New("no backend server had room in time")
	errNoTarget  = errors.New("no backend server takes new work")
)

// service is what an entry knows of one service. It outlives configurations.
type service struct {
	name  loader.ServiceName
	rec   *recorder.Recorder
	stats serviceStats

	// mu guards all below. Traffic holds it for one choice at a time.
	mu       sync.Mutex
	settings loader.Service
	pool     *picker.Pool
	// backends holds the targets in the order of the pool's members.
	backends []*backend
	rng      *rand.Rand
	// waiters are the calls that wait for room, the oldest first. None waits
	// while a member has room.
	waiters []*waiter
	// fleet is the entry's part in the fleet; nil means that it is alone.
	fleet *fleetView
	// tell passes news of warmth on; it must not block.
	tell func(warmer.News)
	// askLoan borrows permits and gives them back; it must not block.
	askLoan func(warmer.Loan)
	// loansWaiting counts the pending loans of all backends.
	loansWaiting int
	// asking counts the loans asked for and not yet answered.
	asking int
	// returned holds the latest permits that came back.
	returned []warmer.PermitID
	// repeatTokens is the number of repeats that the budget still allows.
	repeatTokens float64
}

// serviceStats are the metrics of one service.
type serviceStats struct {
	outcomes [Cancelled + 1]metrics.Counter
	wait     metrics.Histogram
	latency  metrics.Histogram
	repeats  metrics.Counter
	waiting  metrics.Gauge
}

// waiter is one call that waits for room.
type waiter struct {
	// granted receives the backend, once; its capacity is 1.
	granted chan *backend
	// since is when it began to wait.
	since time.Time
}

func newService(name loader.ServiceName, f *Forwarder) *service {
	s := &service{
		fleet:        f.fleet,
		tell:         f.tellWarmth,
		askLoan:      f.askLoan,
		name:         name,
		rec:          f.rec,
		rng:          rand.New(rand.NewPCG(f.seed, uint64(len(name)))),
		repeatTokens: maxRepeatTokens,
	}
	rec := f.rec
	label := recorder.Label{Name: "service", Value: string(name)}
	for o := range s.stats.outcomes {
		s.stats.outcomes[o] = rec.Counter("calls_total", label, recorder.Label{Name: "outcome", Value: Outcome(o).String()})
	}
	s.stats.wait = rec.Histogram("call_wait_us", label)
	s.stats.latency = rec.Histogram("call_latency_us", label)
	s.stats.repeats = rec.Counter("call_repeats_total", label)
	s.stats.waiting = rec.Gauge("calls_waiting", label)
	return s
}

// configure takes over a new configuration. Targets at the same address with
// the same limits keep their connections and their outstanding calls.
func (s *service) configure(cfg loader.Config, settings loader.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := map[loader.TargetName]*backend{}
	for _, b := range s.backends {
		b.index = -1
		old[b.name] = b
	}
	sameDefaults := s.settings.Defaults == settings.Defaults
	s.backends = nil
	var members []picker.Member
	for _, name := range slices.Sorted(maps.Keys(settings.Targets)) {
		t := settings.Targets[name]
		share := max(t.Connections/cfg.Entries, 1)
		b, ok := old[name]
		if ok && sameDefaults && sameBackend(b.target, t) {
			delete(old, name)
			b.target = t
		} else {
			b = newBackend(s.name, name, t, settings.Defaults, share, s.rec)
			b.ramp = warmer.New(warmLimits(t, settings))
		}
		b.index = picker.Index(len(members))
		b.base = memberLimit(cfg, t, share)
		b.ramp.Configure(warmLimits(t, settings))
		s.settleRamp(b)
		s.backends = append(s.backends, b)
		members = append(members, picker.Member{
			Limit:       s.limit(b),
			Outstanding: b.outstanding,
		})
	}
	s.loansWaiting = 0
	for _, b := range s.backends {
		s.loansWaiting += len(b.pending)
	}
	s.settings = settings
	s.pool = picker.New(settings.Policy, s.rng, members)
	for _, b := range old {
		b.close()
	}
	s.grantWaiters()
}

// sameBackend tells whether a target's connections can be kept.
func sameBackend(a, b loader.Target) bool {
	a.State = b.State
	return a == b
}

// memberLimit is 0 where operators want no new work.
func memberLimit(cfg loader.Config, t loader.Target, share int) int {
	if t.State == loader.Draining || cfg.DataCentres[t.DataCentre].State == loader.Out {
		return 0
	}
	return callLimit(t, share)
}

// drop ends the service; calls in flight go on, and those that wait are told.
func (s *service) drop() {
	s.configure(loader.Config{Entries: 1}, loader.Service{})
}

// release counts a call as no longer outstanding, and lets the oldest waiter
// have the room. A target that fails time and again gets its room back later
// and later, so that it does not attract work by failing fast.
func (s *service) release(b *backend, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if good {
		b.failures = 0
	} else {
		b.failures++
	}
	if d := penalty(b.failures); d > 0 {
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.leave(b)
		})
		return
	}
	s.leave(b)
}

// leave gives a call's room back, and with it permits that are of no more use;
// the caller holds the lock.
func (s *service) leave(b *backend) {
	s.free(b)
	s.giveBack(b)
}

// penalty is how long the room of a failed call stays taken, after that many
// failures in a row.
func penalty(failures int) time.Duration {
	if failures < penaltyFrom {
		return 0
	}
	return min(firstPenalty<<min(failures-penaltyFrom, 10), lastPenalty)
}

// free gives room back, and lets the oldest waiter have it; the caller holds
// the lock.
func (s *service) free(b *backend) {
	b.outstanding--
	if b.index >= 0 {
		s.pool.Release(b.index)
	}
	s.grantWaiters()
}

// pick chooses a backend; the caller holds the lock.
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

// inService tells whether operators want new work at any target; the caller
// holds the lock.
func (s *service) inService() bool {
	return slices.ContainsFunc(s.backends, func(b *backend) bool { return b.base > 0 })
}
