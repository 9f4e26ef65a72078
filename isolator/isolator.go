// Package isolator stops calls that crash the servers that run them.
//
// A call whose connection breaks before its answer begins gets a strike. With
// strikes from two targets it is refused for a while, at every entry that has
// heard of them:
//
//	if i.Suspects() && i.Blocked(f, now) { … }
//	if broke && i.Strike(isolator.Strike{Fingerprint: f, Target: name}, now) { … tell the others }
//
// A single strike blocks nothing, since a server that goes down by itself
// breaks every call that it runs; an answer takes a call's strikes away.
package isolator

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Limit is the number of crashes after which a call is refused.
	Limit = 2
	// window is how long a strike counts.
	window = 10 * time.Minute
	// retrial is how long a call is kept from a target at which it broke off;
	// a strike there after that counts again.
	retrial = 30 * time.Second
	// maxSuspects bounds the calls with strikes that are remembered.
	maxSuspects = 10_000
)

// Fingerprint tells a call that is sent again from other calls.
type Fingerprint uint64

// Strike says that a call broke off at a target.
type Strike struct {
	Fingerprint Fingerprint
	// Target names the target, with its service.
	Target string
}

// suspect is what is remembered of one call.
type suspect struct {
	targets []string
	// latest is when the latest strike came.
	latest time.Time
}

// Isolator remembers strikes. It is safe for use by several goroutines.
type Isolator struct {
	// count is the number of suspects, to be read without the lock.
	count    atomic.Int64
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// New returns an Isolator without suspects.
func New() *Isolator { return &Isolator{suspects: map[Fingerprint]*suspect{}} }

// Suspects tells whether any call has a strike.
func (i *Isolator) Suspects() bool { return i.count.Load() > 0 }

// Blocked tells whether a call is to be refused.
func (i *Isolator) Blocked(f Fingerprint, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, ok := i.suspects[f]
	return ok && len(s.targets) >= Limit && now.Sub(s.latest) < window
}

// Struck lists the targets at which a call broke off lately. It is not sent
// there, so that its next strike is not one more of the same crash.
func (i *Isolator) Struck(f Fingerprint, now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	s, ok := i.suspects[f]
	if !ok || now.Sub(s.latest) >= retrial {
		return nil
	}
	return slices.Clone(s.targets)
}

// Strike notes a strike, and tells whether it was news. Once too many calls
// are suspected, strikes of further ones are not noted.
func (i *Isolator) Strike(s Strike, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, ok := i.suspects[s.Fingerprint]
	if ok && now.Sub(known.latest) >= window {
		known.targets = nil
	}
	if !ok {
		if len(i.suspects) >= maxSuspects && !i.expire(now) {
			return false
		}
		known = &suspect{}
		i.suspects[s.Fingerprint] = known
	}
	news := !slices.Contains(known.targets, s.Target) || now.Sub(known.latest) >= retrial
	known.latest = now
	if news {
		known.targets = append(known.targets, s.Target)
	}
	i.count.Store(int64(len(i.suspects)))
	return news
}

// Clear takes the strikes of a call away, unless it is blocked already.
func (i *Isolator) Clear(f Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s, ok := i.suspects[f]; ok && len(s.targets) < Limit {
		delete(i.suspects, f)
		i.count.Store(int64(len(i.suspects)))
	}
}

// expire drops the suspects whose strikes no longer count, and tells whether
// there were any; the caller holds the lock.
func (i *Isolator) expire(now time.Time) bool {
	before := len(i.suspects)
	for f, s := range i.suspects {
		if now.Sub(s.latest) >= window {
			delete(i.suspects, f)
		}
	}
	return len(i.suspects) < before
}
