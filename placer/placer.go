// Package placer chooses the target of a request.
//
// Load shifts within milliseconds, so what an entry saw of a target a moment
// ago says little. The caller of this package asks a few candidates for their
// load at the moment of the choice, reports what they say, and then chooses:
//
//	for _, t := range service.Candidates(nil, demand, placer.Near, 3, now) {
//		service.Report(t, load, now)
//	}
//	choice := service.Choose(candidates, demand, now)
//	...
//	service.Finish(choice.Target, placer.Result{...}, now)
//
// It holds no goroutines and does no I/O; time and chance are given to it.
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

	"savoryroad.dev/loader"
	"savoryroad.dev/rationer"
)

// Registration is what a target says of itself.
type Registration struct {
	Name       loader.TargetName     `cbor:"0,keyasint"`
	Service    loader.ServiceName    `cbor:"1,keyasint,omitempty"`
	Address    netip.AddrPort        `cbor:"2,keyasint,omitempty"`
	DataCentre loader.DataCentreName `cbor:"3,keyasint,omitempty"`
	// Slots is the number of requests that it runs at the same time.
	Slots int                `cbor:"4,keyasint,omitempty"`
	State loader.TargetState `cbor:"5,keyasint,omitempty"`
	// WarmupLeft is how much longer it was cold when it said so.
	WarmupLeft time.Duration `cbor:"6,keyasint,omitempty"`
	// Sequence grows with each registration of one start.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	// Born is the start of the target as a Unix time in milliseconds. A
	// larger one under the same name is a new start.
	Born int64 `cbor:"8,keyasint,omitempty"`
}

// Load is what a target says of its load.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at this moment, as a multiple of the usual.
	Pace float64
}

// Demand is what a request needs.
type Demand struct {
	Route loader.RouteName
	// Objective is the time left within which an answer has its full worth;
	// it may be negative.
	Objective time.Duration
	// Deadline is the time left until nobody waits for an answer.
	Deadline time.Duration
	// KiB is the size of the request and its answer, which cost more between
	// data centres.
	KiB float64
	// Work is how long the route's requests take, until that is measured.
	Work time.Duration
	// Tried holds the targets that the request was sent to before.
	Tried []*Target
}

// Locality groups targets by their data centre.
type Locality int

// The distances.
const (
	// Near targets are in the entry's own data centre.
	Near Locality = iota
	// Far targets are in another one.
	Far
)

// Service holds what an entry knows of the targets of one service. It is safe
// for use by several goroutines.
type Service struct {
	name loader.ServiceName
	home loader.DataCentreName
	seed uint64

	mu      sync.Mutex
	rand    *rand.Rand
	targets map[loader.TargetName]*Target
	// near and far hold the targets that may get requests.
	near, far []*Target
	cold      rationer.ColdLimit
	share     rationer.Share
	// processingTimes holds the average processing time of each route at the
	// usual pace, in seconds.
	processingTimes map[loader.RouteName]float64
}

// Target is what an entry knows of one target. Its service guards the fields
// that are not exported.
type Target struct {
	Name       loader.TargetName
	Address    netip.AddrPort
	DataCentre loader.DataCentreName

	far   bool
	slots int
	born  int64
	// affinity is a hash that orders targets differently at each entry.
	// preferred is set for the lowest ones, which this entry probes first.
	affinity  uint64
	preferred bool
	// outstanding counts this entry's requests at the target.
	outstanding int
	// load is the latest report, from reportedAt. sentSinceReport counts the
	// requests that this entry has sent after it, less those that have ended.
	load            Load
	reportedAt      time.Time
	sentSinceReport int
	// coldUntil is when the target's warm-up ends.
	coldUntil time.Time
	bucket    rationer.Bucket
	// slowness is the time that requests took as a multiple of the expected
	// time, and failureRate the fraction of them that failed. Both are
	// weighted averages as of recordedAt and decay towards 1 and 0.
	slowness, failureRate float64
	recordedAt            time.Time
	// unhealthy is set while the target's health check fails.
	unhealthy bool
	// backoffUntil is when a target that could not be reached may be probed
	// again, and failures how often in a row it could not.
	backoffUntil time.Time
	failures     int
}

// New returns a service without targets. Home is the entry's data centre.
func New(name loader.ServiceName, home loader.DataCentreName, seed uint64) *Service {
	return &Service{
		name:            name,
		home:            home,
		seed:            seed,
		rand:            rand.New(rand.NewPCG(seed, 0)),
		targets:         map[loader.TargetName]*Target{},
		processingTimes: map[loader.RouteName]float64{},
	}
}

// SetCold sets what a cold target of the service bears.
func (s *Service) SetCold(l rationer.ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = l
}

// SetShare sets the entry's share of the fleet.
func (s *Service) SetShare(share rationer.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
}

// SetTargets replaces the targets that may get requests, and returns those
// that no longer may. A target that stays keeps what is known of it, unless it
// has started anew.
func (s *Service) SetTargets(usable []Usable) []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[loader.TargetName]*Target, len(usable))
	s.near, s.far = nil, nil
	for _, u := range usable {
		t := s.targets[u.Name]
		if t == nil || t.Address != u.Address || t.DataCentre != u.DataCentre || t.born != u.Born {
			t = &Target{Name: u.Name, Address: u.Address, DataCentre: u.DataCentre, far: u.DataCentre != s.home, born: u.Born, affinity: s.affinityHash(u.Name), slowness: 1}
		}
		t.slots = u.Slots
		if u.ColdUntil.After(t.coldUntil) {
			t.coldUntil = u.ColdUntil
		}
		next[u.Name] = t
		if t.far {
			s.far = append(s.far, t)
		} else {
			s.near = append(s.near, t)
		}
	}
	s.markPreferred(s.near, preferredNear)
	s.markPreferred(s.far, preferredFar)
	var gone []*Target
	for name, t := range s.targets {
		if next[name] != t {
			gone = append(gone, t)
		}
	}
	s.targets = next
	return gone
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
	// ColdUntil is when its warm-up ends.
	ColdUntil time.Time
}

// Report notes what a target says of itself at this moment. Warmup is how much
// longer it is cold, or negative when it doesn't say.
func (s *Service) Report(t *Target, r Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.failures, t.unhealthy = 0, r.Ill
	if r.HasLoad {
		t.load, t.reportedAt, t.sentSinceReport = r.Load, now, 0
	}
	if r.HasWarmup {
		t.coldUntil = now.Add(r.Warmup)
	}
}

// Report is the answer to a health check.
type Report struct {
	// Ill is set when the target reports that it is failing or draining.
	Ill     bool
	HasLoad bool
	Load    Load
	// HasWarmup tells whether the target said how much longer it is cold.
	HasWarmup bool
	Warmup    time.Duration
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
	// Target is nil when no candidate can take the request.
	Target *Target
	// Expected is when the answer is expected to begin, from now on.
	Expected time.Duration
	// Cost weighs the choice; below Good, looking further is not worth it.
	Cost float64
	// Wait is when room is expected, and Least the earliest answer of those
	// that were turned down, if Target is nil. Least is 0 if none was asked.
	Wait, Least time.Duration
	// Load is the target's latest report, and LoadAge how old that is; -1 if
	// there is none.
	Load    Load
	LoadAge time.Duration
	// Far is set for a target in another data centre.
	Far bool
}

// Choose chooses among targets that have just reported.
func (s *Service) Choose(from []*Target, d Demand, now time.Time) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := Choice{Wait: d.Deadline}
	for _, t := range from {
		expected := s.expectedLatency(t, d, now)
		if !s.admits(t, now) || expected > d.Deadline || (expected > d.Objective && !t.belowSaturation()) {
			best.Wait = min(best.Wait, expected/2)
			if best.Least == 0 || expected < best.Least {
				best.Least = expected
			}
			continue
		}
		if cost := s.cost(t, d, expected, now); best.Target == nil || cost < best.Cost {
			best.Target, best.Expected, best.Cost = t, expected, cost
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

// Start notes that a request is about to be sent. It tells whether the target
// still takes it, and is followed by Finish if so.
func (s *Service) Start(t *Target, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[t.Name] != t || !s.admits(t, now) {
		return false
	}
	if now.Before(t.coldUntil) {
		t.bucket.Take()
	}
	t.outstanding++
	t.sentSinceReport++
	return true
}

// Result is what became of a request at a target.
type Result struct {
	Route loader.RouteName
	// Answered tells whether the target answered with a success.
	Answered bool
	// Failed tells whether it failed, or gave no answer when one was due. A
	// request that was cancelled or did not run is neither.
	Failed bool
	// Took is the time from the send to the answer, and Expected what was
	// expected at the send.
	Took, Expected time.Duration
}

// Finish notes the end of a request.
func (s *Service) Finish(t *Target, r Result, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.outstanding--
	t.sentSinceReport = max(0, t.sentSinceReport-1)
	s.recordOutcome(t, r, now)
}

// Targets returns how many targets may get requests.
func (s *Service) Targets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}
