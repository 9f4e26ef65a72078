// Package placer chooses the target of a request.
//
// The load of a target changes within milliseconds, so earlier reports are of
// little use. The caller probes a few candidates for each request, reports
// their answers, and then chooses among them:
//
//	candidates := service.Candidates(nil, demand, placer.Near, 3, now)
//	for _, t := range candidates {
//		service.Report(t, report, now) // the answer to the health check of t
//	}
//	choice := service.Choose(candidates, demand, now)
//	if choice.Target != nil && service.Start(choice.Target, now) {
//		... // send the request
//		service.Finish(choice.Target, placer.Result{...}, now)
//	}
//
// The package starts no goroutines and does no I/O. The current time and the
// random seed are passed in.
package placer

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
)

// Registration is the record by which a target announces itself.
type Registration struct {
	Name       loader.TargetName     `cbor:"0,keyasint"`
	Service    loader.ServiceName    `cbor:"1,keyasint,omitempty"`
	Address    netip.AddrPort        `cbor:"2,keyasint,omitempty"`
	DataCentre loader.DataCentreName `cbor:"3,keyasint,omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int                `cbor:"4,keyasint,omitempty"`
	State loader.TargetState `cbor:"5,keyasint,omitempty"`
	// WarmupLeft is the rest of the warm-up at the time of the registration.
	WarmupLeft time.Duration `cbor:"6,keyasint,omitempty"`
	// Sequence increases with each registration of the same start.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	// Born is the time at which the target's process started, as a Unix time
	// in milliseconds. A later one under the same name is a restart.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Version is the version of the target's software.
	Version loader.TargetVersion `cbor:"9,keyasint,omitempty"`
}

// Load is the load that a target reports in its answers.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the current processing time of requests as a multiple of the
	// usual one.
	Pace float64
}

// Demand describes the requirements of a request.
type Demand struct {
	Route loader.RouteName
	// Objective is the time left until the answer is late; it may be negative.
	Objective time.Duration
	// Deadline is the time left until the caller stops waiting.
	Deadline time.Duration
	// KiB is the size of the request and its answer together. It adds to the
	// cost of targets in other data centres.
	KiB float64
	// Work is the assumed processing time of the route's requests, used until
	// there are measurements.
	Work time.Duration
	// Yields is set if the request leaves the room beyond the saturation of targets to
	// others.
	Yields bool
	// Tried holds the targets of earlier attempts, which are no candidates.
	Tried []*Target
	// Cohort is the cohort of the targets that are candidates.
	Cohort loader.Cohort
}

// Locality groups targets by their data centre.
type Locality int

// The localities.
const (
	// Near targets are in the entry's own data centre.
	Near Locality = iota
	// Far targets are in another data centre.
	Far
)

// Service holds an entry's state of the targets of one service. It is safe for
// concurrent use.
type Service struct {
	name       loader.ServiceName
	dataCentre loader.DataCentreName
	seed       uint64

	mu      sync.Mutex
	rand    *rand.Rand
	targets map[loader.TargetName]*Target
	// limited holds all targets that are known to name a limit, and for endTime those
	// that no longer do.
	limited map[*Target]bool
	// away holds what targets have said that are no longer listed, until awayTTL
	// has passed.
	away map[loader.TargetName]awayTarget
	// newlyLeaving holds the targets that peers are to be told of.
	newlyLeaving []Leaving
	// near and far hold the targets that may get requests, by locality.
	near, far []*Target
	coldLimit limiter.ColdLimit
	share     limiter.Share
	// estimates holds the average processing time of each route with answers.
	estimates map[loader.RouteName]estimate
}

// Target is an entry's state of one target. The unexported fields are guarded
// by the mutex of its service.
type Target struct {
	Name       loader.TargetName
	Address    netip.AddrPort
	DataCentre loader.DataCentreName

	cohort    loader.Cohort
	far       bool
	slots     int
	startedMs int64
	// affinity is a hash that orders targets differently at each entry.
	// preferred is set for the lowest ones, which this entry probes first.
	affinity  uint64
	preferred bool
	// outstanding counts this entry's unfinished requests at the target.
	outstanding int
	// load is the latest report, from reportedAt. sentSinceReport counts the
	// requests that this entry has sent after it, less those that have ended.
	load            Load
	reportedAt      time.Time
	sentSinceReport int
	// coldUntil is the time at which the target's warm-up ends.
	coldUntil time.Time
	bucket    limiter.TokenBucket
	limit     targetLimit
	// slowness is the time that requests took as a multiple of the expected
	// time, and failureRate the fraction of them that failed. Both are
	// weighted averages as of recordedAt and decay towards 1 and 0.
	slowness, failureRate float64
	recordedAt            time.Time
	// leaving is set once the target has said that it is about to leave. It stays so
	// until the target restarts.
	leaving bool
	// pausedUntil is the time until which the target wants no requests of this entry.
	pausedUntil time.Time
	// heardAt is when the target last responded to a health check.
	heardAt time.Time
	// unhealthy is set if the latest health check reported a failure.
	unhealthy bool
	// backoffUntil is when a target that could not be reached may be probed
	// again, and failures the number of times in a row that it could not.
	backoffUntil time.Time
	failures     int
}

// Born returns the start of the target's process, as a Unix time in milliseconds.
func (t *Target) Born() int64 { return t.startedMs }

// New returns a service without targets. dataCentre is the entry's own, and
// seed determines both its preferred targets and its random choices.
func New(name loader.ServiceName, dataCentre loader.DataCentreName, seed uint64) *Service {
	return &Service{
		name:       name,
		dataCentre: dataCentre,
		seed:       seed,
		rand:       rand.New(rand.NewPCG(seed, 0)),
		targets:    map[loader.TargetName]*Target{},
		limited:    map[*Target]bool{},
		away:       map[loader.TargetName]awayTarget{},
		estimates:  map[loader.RouteName]estimate{},
	}
}

// SetCold sets the fleet-wide limit for requests to a cold target of the
// service.
func (s *Service) SetCold(l limiter.ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLimit = l
}

// SetShare sets the entry's share of the fleet.
func (s *Service) SetShare(share limiter.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
}

// SetTargets replaces the targets that may get requests and returns those that
// no longer may. A target that stays keeps its state, unless it has restarted
// or moved to another address or data centre. Until it restarts, what it has said of its
// limit and of leaving is kept also if it moves or is away for some time.
func (s *Service) SetTargets(usable []Usable, now time.Time) []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make(map[loader.TargetName]*Target, len(usable))
	s.near, s.far = nil, nil
	for _, u := range usable {
		t := s.targets[u.Name]
		if t == nil || t.Address != u.Address || t.DataCentre != u.DataCentre || t.startedMs != u.Born {
			t = &Target{Name: u.Name, Address: u.Address, DataCentre: u.DataCentre, far: u.DataCentre != s.dataCentre, startedMs: u.Born, affinity: s.affinityHash(u.Name), slowness: 1}
			s.restore(t, now)
		}
		t.slots, t.cohort = u.Slots, u.Cohort
		if u.ColdUntil.After(t.coldUntil) {
			t.coldUntil = u.ColdUntil
		}
		current[u.Name] = t
		if t.far {
			s.far = append(s.far, t)
		} else {
			s.near = append(s.near, t)
		}
	}
	s.markPreferred(s.near, preferredNear)
	s.markPreferred(s.far, preferredFar)
	var removed []*Target
	for name, t := range s.targets {
		if current[name] != t {
			removed = append(removed, t)
		}
		if current[name] == nil {
			s.keep(t, now)
		}
	}
	s.targets = current
	return removed
}

// markPreferred marks the n targets with the lowest affinity as preferred. This
// is rendezvous hashing: each entry gets a subset of its own, and adding or
// removing a target changes at most one other member of it.
func (s *Service) markPreferred(targets []*Target, n int) {
	byAffinity := slices.Clone(targets)
	slices.SortFunc(byAffinity, func(a, b *Target) int { return cmp.Compare(a.affinity, b.affinity) })
	for i, t := range byAffinity {
		t.preferred = i < n
	}
}

// affinityHash returns the hash of a target's name and the entry's seed.
func (s *Service) affinityHash(name loader.TargetName) uint64 {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(nil, s.seed))
	h.Write([]byte(name))
	return h.Sum64()
}

// Usable is a target that may get requests.
type Usable struct {
	Registration
	// ColdUntil is the time at which its warm-up ends.
	ColdUntil time.Time
	// Cohort is the cohort of the target while the service is moved to a new version.
	Cohort loader.Cohort
}

// Report records a target's answer to a health check.
func (s *Service) Report(t *Target, r Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.failures, t.unhealthy, t.heardAt = 0, r.Ill, now
	if r.HasLoad {
		t.load, t.reportedAt, t.sentSinceReport = r.Load, now, 0
	}
	if r.HasWarmup {
		t.coldUntil = now.Add(r.Warmup)
	}
	s.noteLimit(t, r.Limit, true, now)
	if r.Leaving {
		s.noteLeaving(t)
	}
	t.notePause(r.Pause, now)
}

// Find returns the target with a name that may get requests, or nil.
func (s *Service) Find(name loader.TargetName) *Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[name]
}

// IsCold reports whether a target is in its warm-up.
func (s *Service) IsCold(t *Target, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(t.coldUntil)
}

// HeardAt returns when a target last responded to a health check; zero if it never did.
func (s *Service) HeardAt(t *Target) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.heardAt
}

// Report is the answer to a health check.
type Report struct {
	// Ill is set when the target reports that it is failing or draining.
	Ill     bool
	HasLoad bool
	Load    Load
	// HasWarmup tells whether the answer says how long the warm-up still takes.
	HasWarmup bool
	// Warmup is the rest of the warm-up.
	Warmup time.Duration
	Limit  LimitReport
	// Leaving is set if the target says that it is about to leave.
	Leaving bool
	// Pause is the time for which the target wants no requests of this entry.
	Pause time.Duration
}

// Miss records that a target did not answer a health check or could not be
// reached. It is no candidate until an exponential backoff has passed.
func (s *Service) Miss(t *Target, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.backoffUntil = now.Add(min(minBackoff<<min(t.failures, maxBackoffShift), maxBackoff))
	t.failures++
}

// Choice is a chosen target, or the reason why there is none.
type Choice struct {
	// Target is nil if no candidate can take the request.
	Target *Target
	// Expected is the time until the answer is expected to begin.
	Expected time.Duration
	// Basis is what Expected was derived from, for the result of the request.
	Basis Basis
	// Cost is the cost of the target, in lost answers. Below Good, probing
	// further targets is not worth it.
	Cost float64
	// RoomIn is the estimated time until a rejected candidate has room, and Least the
	// least expected latency of the rejected candidates, if Target is nil. Both are
	// 0 if there were no candidates.
	RoomIn, Least time.Duration
	// Load is the target's latest report and LoadAge its age, or -1 if there
	// is none.
	Load    Load
	LoadAge time.Duration
	// Far is set for a target in another data centre.
	Far bool
}

// Choose chooses the target with the lowest cost among candidates that have
// just reported. It rejects those without room, those that would answer after
// the deadline, and, if the answer would be late, those near saturation, or all if
// one of the candidates has no room.
func (s *Service) Choose(candidates []*Target, d Demand, now time.Time) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best Choice
	roomForLate := s.hasRoomForLate(candidates, now)
	for _, t := range candidates {
		expected, basis := s.expectedLatency(t, d, now)
		late := expected > d.Objective
		if !s.admits(t, now) || s.exceedsDeadline(t, d, expected, basis, now) || (late && !(roomForLate && t.belowSaturation())) || (d.Yields && !t.belowSaturation()) {
			// A slot of a busy target becomes free as often as it finishes a request.
			processing, _ := s.processingTime(t, d, now)
			roomIn := processing / time.Duration(max(1, t.slots))
			if best.Least == 0 || roomIn < best.RoomIn {
				best.RoomIn = roomIn
			}
			if best.Least == 0 || expected < best.Least {
				best.Least = expected
			}
			continue
		}
		if cost := s.cost(t, d, expected, now); best.Target == nil || cost < best.Cost {
			best.Target, best.Expected, best.Basis, best.Cost = t, expected, basis, cost
		}
	}
	if t := best.Target; t != nil {
		best.Load, best.LoadAge, best.Far = t.load, -1, t.far
		if !t.reportedAt.IsZero() {
			best.LoadAge = now.Sub(t.reportedAt)
		}
	}
	return best
}

// Start records that a request is about to be sent to a target. It returns
// false if the target was removed or has no room any more; otherwise Finish
// must follow.
func (s *Service) Start(t *Target, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[t.Name] != t || !s.admits(t, now) {
		return false
	}
	if now.Before(t.coldUntil) {
		t.bucket.Take()
	}
	t.limit.take()
	t.outstanding++
	t.sentSinceReport++
	return true
}

// Result is the outcome of a request at a target.
type Result struct {
	Route loader.RouteName
	// Answered is set if the target answered successfully.
	Answered bool
	// Failed is set if the target failed or didn't answer by the deadline. A
	// request that was cancelled or did not run is neither answered nor failed.
	Failed bool
	// Took is the time from the send to the answer, and Expected the one that
	// was predicted at the send, from Basis.
	Took, Expected time.Duration
	Basis          Basis
	Limit          LimitReport
	// Leaving is set if the target's answer says that it is about to leave.
	Leaving bool
	// Pause is the time for which the target wants no requests of this entry.
	Pause time.Duration
}

// Finish records the end of a request for which Start returned true.
func (s *Service) Finish(t *Target, r Result, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.outstanding--
	t.sentSinceReport = max(0, t.sentSinceReport-1)
	s.noteLimit(t, r.Limit, false, now)
	if r.Leaving {
		s.noteLeaving(t)
	}
	t.notePause(r.Pause, now)
	s.recordOutcome(t, r, now)
}

// BreakOff records that a target broke off an answer that Finish has recorded as
// begun.
func (s *Service) BreakOff(t *Target, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordOutcome(t, Result{Failed: true}, now)
}

// Work returns the average processing time of a request at a target without other
// load or a noisy neighbour.
func (s *Service) Work(d Demand, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.average(d, now) * float64(time.Second))
}

// Targets returns the number of targets that may get requests.
func (s *Service) Targets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}
