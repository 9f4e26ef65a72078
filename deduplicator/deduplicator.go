// Package deduplicator lets each call that carries an idempotency key be
// dispatched at most once.
//
// A Memory belongs to the owner of some shares of the keys. Whoever wants to
// dispatch a call asks the owner first and dispatches only when it is granted:
//
//	switch v := m.Claim(claim, now).(type) {
//	case deduplicator.Granted:  // dispatch, then Settle
//	case deduplicator.Repeated: // answer as the first time
//	case deduplicator.Pending:  // the first dispatch is still running
//	case deduplicator.Refused:  // not dispatched; v.Reason says why
//	}
//
// A key is granted once. Whether a grant is used late, lost on its way, or
// never used does not matter for that: nobody else gets one.
package deduplicator

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/registrar"
)

const (
	// MaxSkew is how far a caller's clock may be ahead of an entry's.
	MaxSkew = 5 * time.Second
	// clockError bounds the difference between the clocks of entries and of
	// the log service.
	clockError = 2 * time.Second
	// Window is how long a key is remembered after the time that it carries.
	Window = 15 * time.Minute
	// maxBodyBytes is the largest answer body that is kept for repeats.
	maxBodyBytes = 1 << 10
	// maxKeys bounds the keys that one entry remembers.
	maxKeys = 1 << 20
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason says why a claim was refused.
type Reason int

// The reasons.
const (
	// NotOwner means that another entry owns the key's share.
	NotOwner Reason = iota // another entry owns the key
	// BadKey means that the key is no UUID of version 7.
	BadKey // the key is not a UUID of version 7 (RFC 9562)
	// Future means that the key's time is too far ahead.
	Future // the key's time lies in the future
	// TooOld means that the key may have been dispatched and forgotten.
	TooOld // the key is too old to know whether it ran
	// OtherCall means that the key came with another call before.
	OtherCall // the key belongs to another call
	// Full means that no more keys can be remembered.
	Full // too many keys are remembered
	// Unreachable means that the key's owner did not answer.
	Unreachable // the owner of the key can't be reached
)

// RunUnknown tells whether a call refused for the reason may have run before.
func (r Reason) RunUnknown() bool {
	switch r {
	case NotOwner, TooOld, Unreachable:
		return true
	}
	return false
}

// Attempt names one call's arrival at one entry.
type Attempt string

// Claim asks for the right to dispatch a call.
type Claim struct {
	// Key is the caller's idempotency key.
	Key string
	// Attempt tells a repeated claim from another call with the same key.
	Attempt Attempt
	// Fingerprint is a hash of the call, to tell calls with the same key.
	Fingerprint uint64
	// Deadline is when the dispatch will be over.
	Deadline time.Time
}

// Result is what is known of a dispatch when it is over.
type Result struct {
	// NotRun means that the call provably did not run; the key is free again.
	NotRun bool
	// Known means that the answer is known; Status and Body hold it.
	Known bool
	// Status is the HTTP status of the answer.
	Status int
	// ContentType is that of the body.
	ContentType string
	// Body is the answer's body.
	Body []byte
	// Cut is set when the body was too large to keep, and Body is empty.
	Cut bool
}

// MaxBody returns the size, in bytes, up to which a Result holds a body.
func MaxBody() int { return maxBodyBytes }

// Verdict is the answer to a claim: Granted, Repeated, Pending or Refused.
type Verdict interface{ verdict() }

// Granted allows one dispatch.
type Granted struct{}

// Repeated says that the call was dispatched before and is over.
type Repeated struct{ Result Result }

// Pending says that the call is being dispatched.
type Pending struct{}

// Refused says that the call must not be dispatched.
type Refused struct{ Reason Reason }

func (Granted) verdict()  {}
func (Repeated) verdict() {}
func (Pending) verdict()  {}
func (Refused) verdict()  {}

// Known is what is remembered of one key.
type Known struct {
	Key         string
	Attempt     Attempt
	Fingerprint uint64
	Deadline    time.Time
	// Done is set once Result counts.
	Done   bool
	Result Result
}

// Memory is the memory of the keys of some shares. It is safe for use by
// several goroutines.
type Memory struct {
	mu sync.Mutex
	// owned holds, for each share owned, the time up to which keys may have
	// been dispatched by an owner whose memory is lost.
	owned map[registrar.Share]time.Time
	// frozen holds the owned shares that are being given away.
	frozen map[registrar.Share]bool
	// keys holds the keys of the owned shares.
	keys map[string]*Known
	// received holds keys that came ahead of the shares they belong to.
	received map[registrar.Share][]Known
	// latest is the latest time that was acted on. A goroutine that slept
	// between reading the clock and taking the lock goes by it.
	latest time.Time
}

// New returns the memory of an entry that owns nothing yet.
func New() *Memory {
	return &Memory{
		owned:    map[registrar.Share]time.Time{},
		frozen:   map[registrar.Share]bool{},
		keys:     map[string]*Known{},
		received: map[registrar.Share][]Known{},
	}
}

// Own takes over the shares that the table gives to the incarnation, and drops
// all others.
func (m *Memory) Own(t registrar.Table, self registrar.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := map[registrar.Share]time.Time{}
	for _, s := range t.OwnedBy(self) {
		owned[s] = t.Held[s].ForgottenAt
		if _, had := m.owned[s]; had {
			continue
		}
		for _, k := range m.received[s] {
			m.keys[k.Key] = &k
		}
		delete(m.received, s)
	}
	m.owned = owned
	for s := range m.frozen {
		if _, ok := owned[s]; !ok {
			delete(m.frozen, s)
		}
	}
	for key := range m.keys {
		if _, ok := owned[registrar.ShareOf(key)]; !ok {
			delete(m.keys, key)
		}
	}
}

// KeyTime returns the time that a key carries. It reports false for anything
// but a UUID of version 7.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || len(key) != len(uuid.Nil.String()) {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// Canonical returns the one spelling of a key, or false for a bad key.
func Canonical(key string) (string, bool) {
	if _, ok := KeyTime(key); !ok {
		return "", false
	}
	u, _ := uuid.Parse(key)
	return u.String(), true
}

// Claim decides whether the call may be dispatched.
func (m *Memory) Claim(c Claim, now time.Time) Verdict {
	at, ok := KeyTime(c.Key)
	if !ok {
		return Refused{Reason: BadKey}
	}
	share := registrar.ShareOf(c.Key)
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advance(now)
	forgotten, ok := m.owned[share]
	if !ok || m.frozen[share] {
		return Refused{Reason: NotOwner}
	}
	if k, ok := m.keys[c.Key]; ok {
		return k.answer(c, now)
	}
	switch {
	case at.After(now.Add(MaxSkew)):
		return Refused{Reason: Future}
	case at.Before(now.Add(-Window)):
		return Refused{Reason: TooOld}
	case !forgotten.IsZero() && !at.After(forgotten.Add(MaxSkew+clockError)):
		return Refused{Reason: TooOld}
	case len(m.keys) >= maxKeys:
		return Refused{Reason: Full}
	}
	m.keys[c.Key] = &Known{Key: c.Key, Attempt: c.Attempt, Fingerprint: c.Fingerprint, Deadline: c.Deadline}
	return Granted{}
}

// advance returns the later of now and the latest time acted on; the caller
// holds the lock.
func (m *Memory) advance(now time.Time) time.Time {
	if now.After(m.latest) {
		m.latest = now
	}
	return m.latest
}

// answer is the verdict on a claim of a key that was granted before.
func (k *Known) answer(c Claim, now time.Time) Verdict {
	switch {
	case k.Fingerprint != c.Fingerprint:
		return Refused{Reason: OtherCall}
	case k.Done:
		return Repeated{Result: k.Result}
	case k.Attempt == c.Attempt:
		return Granted{}
	case now.Before(k.Deadline):
		return Pending{}
	default:
		return Repeated{}
	}
}

// Settle notes the result of a dispatch. It reports false when the key belongs
// to another owner.
func (m *Memory) Settle(key string, a Attempt, r Result) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := registrar.ShareOf(key)
	if _, ok := m.owned[share]; !ok || m.frozen[share] {
		return false
	}
	k, ok := m.keys[key]
	if !ok || k.Attempt != a || k.Done {
		return true
	}
	if r.NotRun {
		delete(m.keys, key)
		return true
	}
	if len(r.Body) > maxBodyBytes {
		r.Body, r.Cut = nil, true
	}
	k.Done, k.Result = true, r
	return true
}

// Freeze stops granting keys of the shares and returns what is remembered of
// them, to be received by their next owner.
func (m *Memory) Freeze(shares []registrar.Share) []Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range shares {
		if _, ok := m.owned[s]; ok {
			m.frozen[s] = true
		}
	}
	var all []Known
	for _, k := range m.keys {
		if slices.Contains(shares, registrar.ShareOf(k.Key)) {
			all = append(all, *k)
		}
	}
	return all
}

// Thaw grants keys of the shares again, after it is certain that they were not
// given away.
func (m *Memory) Thaw(shares []registrar.Share) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range shares {
		delete(m.frozen, s)
	}
}

// Receive keeps the keys of shares that are about to be owned.
func (m *Memory) Receive(shares []registrar.Share, keys []Known) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range shares {
		m.received[s] = nil
	}
	for _, k := range keys {
		s := registrar.ShareOf(k.Key)
		m.received[s] = append(m.received[s], k)
	}
}

// Forget drops the keys whose time is past the window.
func (m *Memory) Forget(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := m.advance(now).Add(-Window - MaxSkew)
	for key := range m.keys {
		if at, _ := KeyTime(key); at.Before(oldest) {
			delete(m.keys, key)
		}
	}
}

// Len returns the number of keys remembered.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.keys)
}
