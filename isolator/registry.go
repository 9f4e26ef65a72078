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
//   - An answer shows that a request is harmless. It voids the crashes before it, and of
//     those that follow within vouchTime it allows for vouchedCrashes: when many targets
//     end at once, a request that is sent often loses its connection to several of them.
//   - A target that doesn't respond after a request may have ended, or be cut off. The
//     entry and the home entries check it until they know. Until then it counts, but only
//     while the request would otherwise go to one target after the other: it is refused
//     for provisionalBlock at a time.
//   - A request is known by two fingerprints, with its caller and without. The first one
//     finds a request that only its caller's copies of are harmful, and the second one
//     a caller that has several addresses.
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
	// firstBlockAnyCaller is the same for a request of any caller, which harms more
	// callers if it is harmless. It ends at each entry at another time, up to as much
	// later, so that the first entry that sends the request again finds out for the others.
	firstBlockAnyCaller = 1 * time.Minute
	// provisionalBlock is how long a request is refused at a time while it isn't known
	// whether the targets that it was sent to have ended.
	provisionalBlock = 1 * time.Second
	// suspectTTL is how long after its latest crash a case is kept that isn't blocked,
	// and blockedTTL one that was.
	suspectTTL = 10 * time.Minute
	blockedTTL = 2 * maxBlock
	// vouchTime is how long after an answer crashes aren't held against a request, unless
	// they are more than vouchedCrashes without a further answer. MaxAnswers is the number
	// of requests whose latest answer an entry remembers.
	vouchTime      = 10 * time.Second
	vouchedCrashes = 3
	maxAnswers     = 1 << 13
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
	// Open holds the targets that have not answered the request, and of which it isn't
	// known whether they have ended.
	Open []OpenFate `cbor:"4,keyasint,omitempty"`
}

// OpenFate is what is known of a target that has not answered a request.
type OpenFate struct {
	Target loader.TargetName `cbor:"0,keyasint"`
	// Born is the start of the target's process, as a Unix time in milliseconds.
	Born int64 `cbor:"1,keyasint,omitempty"`
	// Age is the time since the request ended without an answer.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Alive is set if the target has responded since, SeenAge ago. Otherwise it is silent.
	Alive   bool          `cbor:"3,keyasint,omitempty"`
	SeenAge time.Duration `cbor:"4,keyasint,omitempty"`
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

// answer is an answer to a request.
type answer struct {
	fingerprint Fingerprint
	at          time.Time
}

// Registry holds the cases of requests that crash targets. It is safe for concurrent use.
type Registry struct {
	random func() float64
	// suspects is the number of cases that may make a difference, and watching that of
	// targets of an open fate. They are read without the lock.
	suspects, watching atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	// watched holds the targets of an open fate, with the cases that wait for it.
	watched map[Incarnation]*watch
	// answers holds the latest answers to requests, at the place that their fingerprint
	// determines.
	answers [maxAnswers]answer
	// refreshedAt is when cases were last repeated, and expiredAt when old ones were
	// last removed.
	refreshedAt, expiredAt time.Time
}

// NewRegistry returns an empty registry. The random function returns a number from 0 to 1.
func NewRegistry(random func() float64) *Registry {
	return &Registry{random: random, records: map[Fingerprint]*record{}, watched: map[Incarnation]*watch{}}
}

// HasSuspects reports whether any request may be blocked. It takes no lock.
func (r *Registry) HasSuspects() bool { return r.suspects.Load() > 0 }

// Blocked returns for how long a request stays blocked, and false if it isn't. An entry that
// refuses a request because of silent targets checks these targets, too.
func (r *Registry) Blocked(f Fingerprint, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.records[f]
	if !ok {
		return 0, false
	}
	if left := c.blockedUntil(f).Sub(now); left > 0 {
		return left, true
	}
	if n := c.count(f); n < CrashLimit && n+c.silent() >= CrashLimit {
		c.claim()
		return provisionalBlock, true
	}
	return 0, false
}

// Crashed records that a target ended while it ran a request, and returns the number of
// crashes that count against the request.
func (r *Registry) Crashed(f Fingerprint, target loader.TargetName, born int64, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.record(f)
	if c.add(crash{target, born, now}) {
		c.changed(f)
	}
	r.settle(f, c)
	return c.count(f)
}

// Answered records that a target has answered a request.
func (r *Registry) Answered(f Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[f%maxAnswers] = answer{f, now}
	c, ok := r.records[f]
	if !ok || len(c.crashes) == 0 && len(c.open) == 0 {
		return
	}
	c.unsaved = c.count(f) >= CrashLimit
	c.unspread = c.told && (c.unspread || c.isSpread(f))
	c.untold = c.told
	c.answered(r.newAnswerID(), now)
	r.settle(f, c)
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
		before := c.blockedUntil(heard.Fingerprint).After(now)
		r.hear(c, heard, n.Direct, peers, now)
		if c.blockedUntil(heard.Fingerprint).After(now) != before {
			changes++
		}
		r.settle(heard.Fingerprint, c)
	}
	return changes
}

// hear merges a case that a peer has sent into its record.
func (r *Registry) hear(c *record, heard Case, direct bool, peers int, now time.Time) {
	f := heard.Fingerprint
	c.told = true
	peer := record{answer: heard.Answer, answeredAt: now.Add(-heard.AnsweredAge)}
	if heard.Answer != 0 && heard.AnsweredAge >= 0 {
		c.answered(heard.Answer, peer.answeredAt)
	}
	added := false
	for _, h := range heard.Crashes {
		k := crash{h.Target, h.Born, now.Add(-h.Age)}
		if h.Age < 0 {
			continue
		}
		peer.crashes = append(peer.crashes, k)
		r.unwatch(f, Incarnation{h.Target, h.Born})
		added = c.add(k) || added
	}
	missed := peer.count(f) > c.count(f)
	for _, h := range heard.Open {
		if h.Age < 0 || h.SeenAge < 0 {
			continue
		}
		o := open{Incarnation: Incarnation{h.Target, h.Born}, at: now.Add(-h.Age), fate: Silent, mine: direct}
		if h.Alive {
			o.fate, o.seenAt = Alive, now.Add(-h.SeenAge)
		}
		added = r.addOpen(f, c, o, now) || added
		known := c.findOpen(o.Incarnation)
		missed = missed || c.hasCrash(o.Incarnation) || known != nil && known.fate > o.fate && known.seenAt.After(o.at) || c.isVouched(o.at) && !peer.isVouched(o.at)
	}
	switch {
	case direct && added:
		c.unspread = c.unspread || c.isSpread(f)
		c.unsaved = c.unsaved || c.count(f) >= CrashLimit
	case missed && now.After(c.refreshAt):
		// The peer has missed an answer, or what became of a target.
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
			c.untold, c.told = false, true
		}
		due := c.unspread || mayRefresh && c.isSpread(f) && !now.Before(c.refreshAt)
		if !due || len(all.Cases) >= MaxCasesPerMessage {
			continue
		}
		if !c.unspread {
			r.refreshedAt = now
		}
		all.Cases = append(all.Cases, c.encode(f, now))
		c.unspread, c.told, c.refreshAt = false, true, now.Add(refreshInterval)
	}
	return home, all
}

// Cases returns up to n cases that are broadcast, the latest first.
func (r *Registry) Cases(n int, now time.Time) []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cases []Case
	for f, c := range r.records {
		if c.isSpread(f) {
			cases = append(cases, c.encode(f, now))
		}
	}
	slices.SortFunc(cases, func(a, b Case) int { return cmp.Compare(a.latestAge(), b.latestAge()) })
	return cases[:min(n, len(cases))]
}

// Unsaved returns the cases that this entry should save, once. A case without crashes should
// be removed from where it was saved.
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
		c = &record{jitter: r.random()}
		r.records[f] = c
	}
	if a := r.answers[f%maxAnswers]; a.fingerprint == f && a.at.After(c.answeredAt) {
		c.answered(r.newAnswerID(), a.at)
	}
	return c
}

// settle updates the number of suspects after a change of a case, which it removes if it
// holds nothing.
func (r *Registry) settle(f Fingerprint, c *record) {
	if len(c.crashes) == 0 && len(c.open) == 0 && c.answer == 0 {
		r.remove(f, c)
		return
	}
	if is := c.isSuspect(f); is != c.counted {
		c.counted = is
		r.suspects.Add(map[bool]int64{true: 1, false: -1}[is])
	}
}

// remove removes a case.
func (r *Registry) remove(f Fingerprint, c *record) {
	for _, o := range c.open {
		r.unwatch(f, o.Incarnation)
	}
	if c.counted {
		c.counted = false
		r.suspects.Add(-1)
	}
	delete(r.records, f)
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
	r.remove(least, found)
}

// expire removes the cases that are too old to count, and targets that are no longer
// watched.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	for f, c := range r.records {
		c.open = slices.DeleteFunc(c.open, func(o open) bool { return o.isStale(now) })
		ttl := suspectTTL
		if c.count(f) >= CrashLimit {
			ttl = blockedTTL
		}
		if now.Sub(c.latest()) > ttl {
			r.remove(f, c)
			continue
		}
		r.settle(f, c)
	}
	for target, w := range r.watched {
		for f := range w.cases {
			if c := r.records[f]; c == nil || c.findOpen(target) == nil {
				r.unwatch(f, target)
			}
		}
	}
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
