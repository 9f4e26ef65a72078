// Package isolator blocks calls that crash the backend servers that run them.
//
// A call whose connection breaks before the response begins gets a strike. A
// call with strikes from two targets is blocked for a limited time, at every
// entry that has received these strikes:
//
//	if i.HasSuspects() && i.Blocked(f, now) { … }
//	if broken && i.Add(isolator.Strike{Fingerprint: f, Target: name}, now) { … send it to the other entries }
//
// A single strike blocks nothing, because a server that fails for another
// reason breaks the connections of all the calls that it runs. A response to a
// call removes its strikes.
//
// The Isolator serves the entry with its own log; gateway uses the Registry, which
// counts only targets that have ended and exchanges its cases by gossip.
package isolator

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Limit is the number of strikes at which a call is blocked.
	Limit = 2
	// strikeTTL is how long the strikes of a call count after the latest one.
	strikeTTL = 10 * time.Minute
	// avoidDuration is how long a call isn't sent to the targets of its
	// strikes. A further strike from the same target counts again after that
	// time.
	avoidDuration = 30 * time.Second
	// maxSuspects bounds the number of calls whose strikes are stored.
	maxSuspects = 10_000
)

// Fingerprint is a hash that identifies a call. A retry of the call has the
// same fingerprint.
type Fingerprint uint64

// anyCaller is set in the fingerprints of requests of any caller.
const anyCaller Fingerprint = 1 << 63

// OfCaller returns the fingerprint as one of a request of a certain caller.
func (f Fingerprint) OfCaller() Fingerprint { return f &^ anyCaller }

// OfAnyCaller returns the fingerprint as one of a request of any caller.
func (f Fingerprint) OfAnyCaller() Fingerprint { return f | anyCaller }

// isAnyCaller reports whether the fingerprint is one of a request of any caller.
func (f Fingerprint) isAnyCaller() bool { return f&anyCaller != 0 }

// String formats the fingerprint as a hexadecimal number.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Strike reports that the connection of a call broke at a target before the
// response began.
type Strike struct {
	Fingerprint Fingerprint
	// Target is the name of the target, qualified by its service.
	Target string
}

// suspect is a call that has strikes.
type suspect struct {
	targets []string
	// latest is the time of the latest strike.
	latest time.Time
}

// Isolator stores the strikes of calls. It is safe for concurrent use.
type Isolator struct {
	// count is the number of suspects, which is read without the lock.
	count    atomic.Int64
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// New returns an Isolator without strikes.
func New() *Isolator { return &Isolator{suspects: map[Fingerprint]*suspect{}} }

// HasSuspects reports whether any call has a strike. It takes no lock.
func (i *Isolator) HasSuspects() bool { return i.count.Load() > 0 }

// Blocked reports whether a call is blocked.
func (i *Isolator) Blocked(f Fingerprint, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, ok := i.suspects[f]
	return ok && len(s.targets) >= Limit && now.Sub(s.latest) < strikeTTL
}

// StruckTargets returns the targets from which a call has strikes, if the
// latest strike is younger than avoidDuration. The call isn't sent there, so
// that each further strike comes from another server.
func (i *Isolator) StruckTargets(f Fingerprint, now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, ok := i.suspects[f]
	if !ok || now.Sub(s.latest) >= avoidDuration {
		return nil
	}
	return slices.Clone(s.targets)
}

// Add stores a strike and reports whether it counts, which a repeated strike
// from the same target doesn't within avoidDuration. When maxSuspects calls
// have strikes, those of other calls are discarded.
func (i *Isolator) Add(s Strike, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	suspected, ok := i.suspects[s.Fingerprint]
	if ok && now.Sub(suspected.latest) >= strikeTTL {
		suspected.targets = nil
	}
	if !ok {
		if len(i.suspects) >= maxSuspects && !i.expire(now) {
			return false
		}
		suspected = &suspect{}
		i.suspects[s.Fingerprint] = suspected
	}
	counts := !slices.Contains(suspected.targets, s.Target) || now.Sub(suspected.latest) >= avoidDuration
	suspected.latest = now
	if counts {
		suspected.targets = append(suspected.targets, s.Target)
	}
	i.count.Store(int64(len(i.suspects)))
	return counts
}

// Clear removes the strikes of a call, unless it has as many as Limit.
func (i *Isolator) Clear(f Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s, ok := i.suspects[f]; ok && len(s.targets) < Limit {
		delete(i.suspects, f)
		i.count.Store(int64(len(i.suspects)))
	}
}

// expire removes the calls whose strikes no longer count and reports whether
// there were any. The caller must hold the lock.
func (i *Isolator) expire(now time.Time) bool {
	before := len(i.suspects)
	for f, s := range i.suspects {
		if now.Sub(s.latest) >= strikeTTL {
			delete(i.suspects, f)
		}
	}
	return len(i.suspects) < before
}
