package placer

import (
	"math"
	"time"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
)

// A target in need names in its answers the rate of requests that it takes from the
// whole fleet. Most entries of a large fleet send too seldom to one target to be told
// by its answers in time, so the entries that were told spread it among their peers:
// at once if it changes, and again from time to time as long as the target says so, or
// for some time after its end.
// All entries keep to it, each within the quotas that its share of the fleet gives it,
// until an answer or a peer says that it has ended. An entry that hears nothing for long
// asks with a single request.
const (
	// limitRefresh is the time after which an entry that is still told spreads a
	// limit again, unless another entry has.
	limitRefresh = 1500 * time.Millisecond
	// endTime is how long after the end of a limit it is spread, by entries that are
	// still told.
	endTime = 3 * limitRefresh
	// maxToldAge is how long after an answer its limit may be spread.
	maxToldAge = 1 * time.Second
	// limitRecheck is the time without any confirmation after which an entry probes a
	// target that it may not send to, and the time between two such probes.
	limitRecheck = 3 * time.Second
	// minTrialDelay is the least time without confirmation after which an entry asks
	// with a request that its quotas don't allow, and trialRequests the number of
	// requests at the rate of the limit for which it waits, if they take longer. Each
	// entry adds up to trialSpread times as much, so that the first one can tell the
	// others before they ask too.
	minTrialDelay = 10 * time.Second
	maxTrialDelay = 30 * time.Second
	trialSpread   = 4
	trialRequests = 3
)

// LimitReport is what an answer of a target says of its limit.
type LimitReport struct {
	// Named is set if the answer names a limit, and PerSecond is its rate.
	Named     bool
	PerSecond limiter.NamedLimit
	// Conclusive is set if an answer that names none shows that there is none any
	// more.
	Conclusive bool
	// AskedAt is when the request was sent.
	AskedAt time.Time
}

// LimitNews tells other entries of the limit of a target.
type LimitNews struct {
	Service loader.ServiceName `cbor:"0,keyasint"`
	Target  loader.TargetName  `cbor:"1,keyasint"`
	// Born identifies the start of the target.
	Born int64 `cbor:"2,keyasint"`
	// Named is unset if the target no longer names a limit.
	Named     bool               `cbor:"3,keyasint,omitempty"`
	PerSecond limiter.NamedLimit `cbor:"4,keyasint,omitempty"`
	// Asking is set if the entry that sends it has heard nothing for long and asks the
	// target, so that others need not. It says nothing of the limit.
	Asking bool `cbor:"5,keyasint,omitempty"`
	// Changed is set if the entry that sends it was told of a change.
	Changed bool `cbor:"-"`
}

// targetLimit is the limit that a target names, as far as an entry knows.
type targetLimit struct {
	// named is set while the target is known to name a limit.
	named     bool
	perSecond limiter.NamedLimit
	bucket    limiter.TokenBucket
	// confirmedAt is when an answer or a peer last told of the limit, toldAt when an
	// answer last did, spreadAt when this entry or a peer last spread it, and probedAt
	// when the target last answered a health check.
	confirmedAt, toldAt, spreadAt, probedAt time.Time
	// endedAt is when this entry learned of the end of the limit.
	endedAt time.Time
	// inHealth is set once an answer to a health check has named the limit.
	inHealth bool
	// changed is set if an answer has told of a change since spreadAt.
	changed bool
	// trial is set if one request may be sent beyond the quotas. It counts as a
	// confirmation, so that the next trial is due after the same time.
	trial bool
}

// trialDelay returns the time without confirmation after which a request is sent as a
// trial. The fraction, from 0 to 1, differs between entries.
func (l *targetLimit) trialDelay(fraction float64) time.Duration {
	d := maxTrialDelay
	if float64(l.perSecond)*maxTrialDelay.Seconds() > trialRequests {
		d = max(minTrialDelay, time.Duration(trialRequests/float64(l.perSecond)*float64(time.Second)))
	}
	return d + time.Duration(trialSpread*fraction*float64(d))
}

// set applies what is known of the limit. A limit that is new begins without tokens.
func (l *targetLimit) set(named bool, perSecond limiter.NamedLimit, now time.Time) {
	if named && !l.named {
		l.bucket = limiter.NewEmptyBucket(now)
	}
	if l.named && !named {
		l.endedAt = now
	}
	l.named, l.perSecond, l.confirmedAt, l.trial = named, perSecond, now, false
}

// restoreLimit applies the limit that a target is known to name that is listed again.
func (s *Service) restoreLimit(t *Target, limit targetLimit, now time.Time) {
	t.limit = limit
	// Counts as a confirmation, so that the entries don't all send a trial at once.
	t.limit.confirmedAt = now
	s.limited[t] = true
}

// noteLimit records what an answer of a target says of its limit.
func (s *Service) noteLimit(t *Target, r LimitReport, fromHealth bool, now time.Time) {
	l := &t.limit
	if fromHealth {
		l.probedAt = now
	}
	switch {
	case r.Named:
		l.inHealth = l.inHealth || fromHealth
	case !s.limited[t], !r.Conclusive, fromHealth && !l.inHealth, r.AskedAt.Before(l.confirmedAt):
		return
	case !l.named:
		l.toldAt = now
		return
	}
	l.toldAt = now
	l.changed = l.changed || l.named != r.Named || l.perSecond != r.PerSecond
	l.set(r.Named, r.PerSecond, now)
	s.limited[t] = true
}

// HearLimit records what a peer tells of the limit of a target. It returns false if
// that was known.
func (s *Service) HearLimit(n LimitNews, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[n.Target]
	if t == nil || t.startedMs != n.Born || !(n.PerSecond >= 0) {
		return false
	}
	l := &t.limit
	if n.Asking {
		l.confirmedAt = now
		return false
	}
	changed := l.named != n.Named || l.perSecond != n.PerSecond
	if !l.named && !n.Named {
		l.spreadAt = now
		return false
	}
	l.set(n.Named, n.PerSecond, now)
	l.spreadAt, l.changed = now, false
	s.limited[t] = true
	return changed
}

// LimitNews returns what peers should be told of the limits of targets, and allows the
// trials that are due.
func (s *Service) LimitNews(now time.Time) []LimitNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []LimitNews
	for t := range s.limited {
		l := &t.limit
		// A process that was paused doesn't spread what it was told before.
		fresh := now.Sub(l.toldAt) <= maxToldAge && l.toldAt.After(l.spreadAt)
		if fresh && (l.changed || now.Sub(l.spreadAt) >= limitRefresh) {
			news = append(news, LimitNews{Service: s.name, Target: t.Name, Born: t.startedMs, Named: l.named, PerSecond: l.perSecond, Changed: l.changed})
			l.spreadAt, l.changed = now, false
		}
		if l.named && now.Sub(l.confirmedAt) >= l.trialDelay(float64(t.affinity)/math.MaxUint64) {
			news = append(news, LimitNews{Service: s.name, Target: t.Name, Born: t.startedMs, Asking: true})
			l.trial, l.confirmedAt = true, now
		}
		if !l.named && now.Sub(l.endedAt) >= endTime || s.targets[t.Name] != t {
			delete(s.limited, t)
		}
	}
	return news
}

// limitAllows tells whether the limit of a target allows one more request of this
// entry now.
func (s *Service) limitAllows(t *Target, now time.Time) bool {
	if !t.limit.named || t.limit.trial {
		return true
	}
	t.limit.bucket.Refill(t.limit.perSecond, s.limitQuotas(t, now), now)
	return t.limit.bucket.HasToken()
}

// take counts a request for which limitAllows returned true.
func (l *targetLimit) take() {
	switch {
	case !l.named:
	case l.trial:
		l.trial = false
	default:
		l.bucket.Take()
	}
}

// limitQuotas returns the quotas of a target's limit that the entry may use.
func (s *Service) limitQuotas(t *Target, now time.Time) limiter.Quotas {
	return s.share.Quotas(string(t.Name), t.limit.perSecond, now)
}

// isWithheld tells whether a target isn't worth a health check, because its limit
// allows no request of this entry, and was confirmed or asked for lately.
func (s *Service) isWithheld(t *Target, now time.Time) bool {
	l := &t.limit
	return !s.limitAllows(t, now) && (now.Sub(l.confirmedAt) < limitRecheck || now.Sub(l.probedAt) < limitRecheck)
}

// LimitDelay returns the time until the limits of the targets allow a request of this
// entry; 0 if a target has none. It returns false if they never will while the entry
// has the same share of the fleet.
func (s *Service) LimitDelay(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLimited() {
		return 0, true
	}
	var least time.Duration
	allowed := false
	for _, t := range s.targets {
		if s.limitAllows(t, now) {
			return 0, true
		}
		if d, ok := t.limit.bucket.NextToken(t.limit.perSecond, s.limitQuotas(t, now)); ok && (!allowed || d < least) {
			least, allowed = d, true
		}
	}
	return least, allowed
}

// Allowance returns how many requests of this entry the limits of the targets allow
// within a time. It returns false if a target has no limit.
func (s *Service) Allowance(within time.Duration, now time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLimited() {
		return 0, false
	}
	n := 0
	for _, t := range s.targets {
		if s.limitAllows(t, now) && t.limit.trial {
			n++
			continue
		}
		n += t.limit.bucket.TokensIn(within, t.limit.perSecond, s.limitQuotas(t, now))
	}
	return n, true
}

// isLimited tells whether all targets are known to name limits.
func (s *Service) isLimited() bool {
	if len(s.limited) < len(s.targets) || len(s.targets) == 0 {
		return false
	}
	for _, t := range s.targets {
		if !t.limit.named {
			return false
		}
	}
	return true
}
