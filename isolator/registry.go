package isolator

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryroad.dev/loader"
)

// A request that crashes the targets that run it comes again at any entry, under a new
// ID. No entry sees enough of it alone, so the entries exchange the crashes that they
// observe:
//
//   - The entry that observes a crash tells it to a few home entries of the request, which
//     its fingerprint determines. A target that crashes for another reason breaks off
//     several harmless requests, so that one crash isn't worth a broadcast.
//   - An entry that knows of spreadFrom crashes broadcasts the case, and again from time
//     to time, so that entries that were cut off or have restarted hear of it. The entry
//     that made the latest broadcast makes the next one; if it falls silent, another one
//     takes over after a random delay.
//   - From CrashLimit crashes on, the request is blocked at all entries, for longer with
//     each further crash.
//   - An answer shows that a request is harmless. It voids the crashes before it and those
//     that follow within vouchTime: when many targets end at once, a request that is sent
//     often loses its connection to several of them.
const (
	// CrashLimit is the number of targets that a request ends before it is blocked.
	CrashLimit = 3
	// spreadFrom is the number of crashes from which on a case is broadcast.
	spreadFrom = 2
	// firstBlock is how long a request is blocked after CrashLimit crashes. Each
	// further one multiplies the time by blockGrowth, up to maxBlock, so that a request
	// that is sent for a whole day ends few targets.
	firstBlock  = 10 * time.Minute
	blockGrowth = 8
	maxBlock    = 24 * time.Hour
	// suspectTTL is how long after its latest crash a case is kept that isn't blocked,
	// and blockedTTL one that was.
	suspectTTL = 10 * time.Minute
	blockedTTL = 2 * maxBlock
	// vouchTime is how long after an answer crashes aren't held against a request, and
	// maxAnswers the number of requests whose latest answer an entry remembers.
	vouchTime  = 10 * time.Second
	maxAnswers = 1 << 13
	// maxCrashes is the number of crashes that are kept of a case, and maxCases the
	// number of cases that are kept.
	maxCrashes = 8
	maxCases   = 10_000
	// refreshInterval is the time between two broadcasts of a case. An entry that
	// didn't make the latest one waits for takeoverDelay more, and for a random time of
	// up to jitterPerPeer for each peer: the first broadcast reaches the others before
	// more than a few have begun theirs.
	refreshInterval = 1200 * time.Millisecond
	takeoverDelay   = 200 * time.Millisecond
	jitterPerPeer   = 17 * time.Millisecond
	// refreshPause is the least time between two messages that only repeat cases, and
	// MaxCasesPerMessage the number of cases in a message.
	refreshPause       = 200 * time.Millisecond
	MaxCasesPerMessage = 12
	// expiryInterval is the time between two removals of old cases.
	expiryInterval = time.Second
)

// Crash is the end of a target that ran a request.
type Crash struct {
	Target loader.TargetName `cbor:"0,keyasint"`
	// Born is the start of the target's process, as a Unix time in milliseconds.
	Born int64 `cbor:"1,keyasint,omitempty"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Case is what an entry knows of the crashes of a request.
type Case struct {
	Fingerprint Fingerprint `cbor:"0,keyasint"`
	Crashes     []Crash     `cbor:"1,keyasint,omitempty"`
	// Answer is a random number that identifies the latest answer of a target to the
	// request, AnsweredAge ago; 0 if there was none. Crashes until vouchTime after it
	// don't count.
	Answer      uint64        `cbor:"2,keyasint,omitempty"`
	AnsweredAge time.Duration `cbor:"3,keyasint,omitempty"`
}

// News is a message about cases.
type News struct {
	Cases []Case `cbor:"0,keyasint,omitempty"`
	// Direct is set in a message to the home entries, which broadcast what they know
	// more.
	Direct bool `cbor:"1,keyasint,omitempty"`
	// Loaded is set if the sender knows the cases of earlier times, and Ask if it asks
	// for them.
	Loaded bool `cbor:"2,keyasint,omitempty"`
	Ask    bool `cbor:"3,keyasint,omitempty"`
}

// crash is a Crash at a point in time.
type crash struct {
	target loader.TargetName
	born   int64
	at     time.Time
}

// answer is an answer to a request.
type answer struct {
	fingerprint Fingerprint
	at          time.Time
}

// record is the state of a case.
type record struct {
	// crashes are in order of their times, at most maxCrashes.
	crashes []crash
	// answer identifies the latest answer, and answeredAt is its time; 0 and zero if
	// there was none. All crashes are later than vouchTime after it. An answer that is
	// heard again keeps its time, which would otherwise move on with each message.
	answer     uint64
	answeredAt time.Time
	// untold is set if something has changed that the home entries have not been told,
	// and unspread if something has that has not been broadcast.
	untold, unspread bool
	// unsaved is set if the case has been blocked by a crash that this entry has
	// observed or was told directly.
	unsaved bool
	// refreshAt is when the case is broadcast again.
	refreshAt time.Time
}

// Registry holds the cases of requests that crash targets. It is safe for concurrent use.
type Registry struct {
	random func() float64
	// suspects is the number of cases with crashes, which is read without the lock.
	suspects atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	// answers holds the latest answers to requests, at the place that their fingerprint
	// determines.
	answers [maxAnswers]answer
	// refreshedAt is when cases were last repeated, and expiredAt when old ones were
	// last removed.
	refreshedAt, expiredAt time.Time
}

// NewRegistry returns an empty registry. The random function returns a number from 0 to 1.
func NewRegistry(random func() float64) *Registry {
	return &Registry{random: random, records: map[Fingerprint]*record{}}
}

// HasSuspects reports whether any request is known to have crashed a target. It takes no
// lock.
func (r *Registry) HasSuspects() bool { return r.suspects.Load() > 0 }

// Blocked returns for how long a request stays blocked, and false if it isn't.
func (r *Registry) Blocked(f Fingerprint, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.records[f]
	if !ok {
		return 0, false
	}
	left := c.blockedUntil().Sub(now)
	return left, left > 0
}

// Crashed records that a target ended while it ran a request, and returns the number of
// crashes that are known of the request.
func (r *Registry) Crashed(f Fingerprint, target loader.TargetName, born int64, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.record(f)
	if c.add(crash{target, born, now}) {
		c.changed()
	}
	r.count()
	return len(c.crashes)
}

// Answered records that a target has answered a request.
func (r *Registry) Answered(f Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[f%maxAnswers] = answer{f, now}
	c, ok := r.records[f]
	if !ok || len(c.crashes) == 0 {
		return
	}
	c.unspread = len(c.crashes) >= spreadFrom
	c.untold = true
	c.answered(r.newAnswerID(), now)
	r.count()
}

// newAnswerID returns a random number that identifies an answer.
func (r *Registry) newAnswerID() uint64 { return 1 + uint64(r.random()*(1<<53)) }

// Hear applies a message of a peer and returns the number of requests that it blocks or
// unblocks.
func (r *Registry) Hear(n News, peers int, now time.Time) (changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, heard := range n.Cases {
		c := r.record(heard.Fingerprint)
		before := c.blockedUntil().After(now)
		r.hear(c, heard, n.Direct, peers, now)
		if c.blockedUntil().After(now) != before {
			changes++
		}
		if len(c.crashes) == 0 && c.answer == 0 {
			delete(r.records, heard.Fingerprint)
		}
	}
	r.count()
	return changes
}

// hear merges a case that a peer has sent into its record.
func (r *Registry) hear(c *record, heard Case, direct bool, peers int, now time.Time) {
	if heard.Answer != 0 && heard.AnsweredAge >= 0 {
		c.answered(heard.Answer, now.Add(-heard.AnsweredAge))
	}
	added := false
	for _, h := range heard.Crashes {
		if h.Age >= 0 && c.add(crash{h.Target, h.Born, now.Add(-h.Age)}) {
			added = true
		}
	}
	switch {
	case direct && added:
		c.unspread = c.unspread || len(c.crashes) >= spreadFrom
		c.unsaved = c.unsaved || len(c.crashes) >= CrashLimit
	case len(heard.Crashes) > len(c.crashes) && c.answer != 0 && now.After(c.refreshAt):
		// The peer has missed the answer.
		c.unspread = true
	case !direct && len(heard.Crashes) >= len(c.crashes):
		c.refreshAt = now.Add(refreshInterval + takeoverDelay + time.Duration(r.random()*float64(peers)*float64(jitterPerPeer)))
	}
}

// News returns the messages that are due: one for each case to its home entries, and one
// for all peers.
func (r *Registry) News(now time.Time) (home []Case, all News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	mayRefresh := now.Sub(r.refreshedAt) >= refreshPause
	for f, c := range r.records {
		if c.untold {
			home = append(home, c.encode(f, now))
			c.untold = false
		}
		due := c.unspread || mayRefresh && len(c.crashes) >= spreadFrom && !now.Before(c.refreshAt)
		if !due || len(all.Cases) >= MaxCasesPerMessage {
			continue
		}
		if !c.unspread {
			r.refreshedAt = now
		}
		all.Cases = append(all.Cases, c.encode(f, now))
		c.unspread, c.refreshAt = false, now.Add(refreshInterval)
	}
	return home, all
}

// Cases returns up to n cases that are broadcast, the latest first.
func (r *Registry) Cases(n int, now time.Time) []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cases []Case
	for f, c := range r.records {
		if len(c.crashes) >= spreadFrom {
			cases = append(cases, c.encode(f, now))
		}
	}
	slices.SortFunc(cases, func(a, b Case) int { return cmp.Compare(a.latestAge(), b.latestAge()) })
	return cases[:min(n, len(cases))]
}

// Unsaved returns the cases that this entry should save, once.
func (r *Registry) Unsaved(now time.Time) []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cases []Case
	for f, c := range r.records {
		if c.unsaved {
			c.unsaved = false
			cases = append(cases, c.encode(f, now))
		}
	}
	return cases
}

// record returns the record of a request, which it adds if there is none, with the latest
// answer that is remembered.
func (r *Registry) record(f Fingerprint) *record {
	c, ok := r.records[f]
	if !ok {
		r.makeRoom()
		c = &record{}
		r.records[f] = c
	}
	if a := r.answers[f%maxAnswers]; a.fingerprint == f && a.at.After(c.answeredAt) {
		c.answered(r.newAnswerID(), a.at)
	}
	return c
}

// makeRoom removes the case that is the least loss if there are maxCases: the one with
// the fewest crashes, and of those the oldest.
func (r *Registry) makeRoom() {
	if len(r.records) < maxCases {
		return
	}
	var least Fingerprint
	var found *record
	for f, c := range r.records {
		if found == nil || cmp.Or(cmp.Compare(len(c.crashes), len(found.crashes)), c.latest().Compare(found.latest())) < 0 {
			least, found = f, c
		}
	}
	delete(r.records, least)
}

// expire removes the cases that are too old to count.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	for f, c := range r.records {
		ttl := suspectTTL
		if len(c.crashes) >= CrashLimit {
			ttl = blockedTTL
		}
		if now.Sub(c.latest()) > ttl {
			delete(r.records, f)
		}
	}
	r.count()
}

// count updates the number of suspects.
func (r *Registry) count() {
	n := 0
	for _, c := range r.records {
		if len(c.crashes) > 0 {
			n++
		}
	}
	r.suspects.Store(int64(n))
}

// add adds a crash unless it is known or from before an answer.
func (c *record) add(added crash) bool {
	known := slices.ContainsFunc(c.crashes, func(k crash) bool { return k.target == added.target && k.born == added.born })
	if known || c.isVoid(added) {
		return false
	}
	c.crashes = append(c.crashes, added)
	slices.SortFunc(c.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(c.crashes) > maxCrashes {
		oldest := c.crashes[0]
		c.crashes = slices.Delete(c.crashes, 0, 1)
		return oldest != added
	}
	return true
}

// isVoid reports whether an answer voids a crash.
func (c *record) isVoid(k crash) bool {
	return c.answer != 0 && !k.at.After(c.answeredAt.Add(vouchTime))
}

// changed notes that this entry has observed a crash.
func (c *record) changed() {
	c.untold = true
	c.unspread = c.unspread || len(c.crashes) >= spreadFrom
	c.unsaved = c.unsaved || len(c.crashes) >= CrashLimit
}

// answered removes the crashes before an answer.
func (c *record) answered(id uint64, at time.Time) {
	if id != c.answer && at.After(c.answeredAt) {
		c.answer, c.answeredAt = id, at
	}
	c.crashes = slices.DeleteFunc(c.crashes, c.isVoid)
}

// latest returns the time of the latest crash or answer.
func (c *record) latest() time.Time {
	if n := len(c.crashes); n > 0 {
		return c.crashes[n-1].at
	}
	return c.answeredAt
}

// blockedUntil returns the end of the time for which the request is blocked; zero if it
// never was.
func (c *record) blockedUntil() time.Time {
	n := len(c.crashes)
	if n < CrashLimit {
		return time.Time{}
	}
	d := firstBlock
	for range n - CrashLimit {
		d = min(d*blockGrowth, maxBlock)
	}
	return c.latest().Add(d)
}

// encode returns the case for a message.
func (c *record) encode(f Fingerprint, now time.Time) Case {
	out := Case{Fingerprint: f}
	for _, k := range c.crashes {
		out.Crashes = append(out.Crashes, Crash{Target: k.target, Born: k.born, Age: now.Sub(k.at)})
	}
	if c.answer != 0 {
		out.Answer, out.AnsweredAge = c.answer, now.Sub(c.answeredAt)
	}
	return out
}

// IsExpired reports whether the case is too old to count, also if it was blocked.
func (c Case) IsExpired() bool { return c.latestAge() >= blockedTTL }

// latestAge returns the age of the latest crash.
func (c Case) latestAge() time.Duration {
	if len(c.Crashes) == 0 {
		return blockedTTL
	}
	return c.Crashes[len(c.Crashes)-1].Age
}
