package admitter

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"savoryroad.dev/loader"
)

const (
	// minShare is the least share that a level admits, of all requests and of each
	// class, so that none is shut out for good.
	minShare = 0.05
	// pressureAim is the pressure at which a level stays as it is, and above which it
	// begins to refuse: a little less than that from which targets slow down, since some are
	// busier than others.
	pressureAim = 0.9
	// fallRate and riseRate are how fast the share follows a pressure that differs from its
	// aim by one: by a factor of e in 1/fallRate or 1/riseRate seconds. The reports lag
	// behind by about the work of a request; a level that rises as fast as it falls swings.
	fallRate = 3
	riseRate = 1.5
	// lead is how much less of the work is admitted at once while the pressure exceeds its
	// aim by one, and how much more while it is less.
	lead = 0.7
	// agreement is the part of the way to the median share of the peers that a level
	// goes in a second. Without it the levels of entries drift apart.
	agreement = 4
	// idlePressure is the pressure below which an entry sees itself that targets have
	// room, whatever its peers tell.
	idlePressure = 0.6
	// maxDisagreement is by how much the pressure that peers tell may exceed what the entry
	// sees itself at pressureAim; at idlePressure they can't raise it. It sees a random part
	// of the targets, those of its own data centre first.
	maxDisagreement = 0.5
	// ownAge is how long the entry goes by what it saw itself last.
	ownAge = 1 * time.Second
	// calmTime is how long after a level has admitted all requests again late ones may
	// look for targets.
	calmTime = 1 * time.Second
	// levelInterval is the time between two adjustments.
	levelInterval = 50 * time.Millisecond
)

// Level decides which requests of a service are refused, or wait, before they look for a
// target, while the targets of the fleet have too little room for all.
//
// An entry sees too few requests to tell what the fleet asks for, and holds too few
// waiting ones to put them in order. So the entries agree on the share of the requested
// work that the targets take: each raises or lowers it by the load that targets report in
// health checks, and by the median of what its peers tell. Of the work that is asked for,
// the most urgent part is admitted, in the order of mostLost. Without pressure all are admitted.
// It is safe for concurrent use.
type Level struct {
	random  func() float64
	service loader.ServiceName

	mu sync.Mutex
	// share is the share of the requested work that is admitted, from minShare to 1.
	share      float64
	adjustedAt time.Time
	reports    reports
	peers      peers
	demand     demand
	// own is what the entry saw itself last, at ownAt.
	own   float64
	ownAt time.Time
	// pressure is the latest one that the share follows.
	pressure float64
	// pressedAt is when the level last refused requests.
	pressedAt time.Time
	// heard is the number of peers whose news counts.
	heard int
}

// NewLevel returns a level that admits all requests. The random numbers are from 0 to 1.
func NewLevel(service loader.ServiceName, random func() float64) *Level {
	return &Level{service: service, random: random, share: 1, demand: demand{before: mostLost}}
}

// Observe records the pressure of a target, from its answer to a health check.
func (l *Level) Observe(pressure float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports.add(pressure, now)
	l.adjust(now)
}

// Hear records the news of a peer. It reports whether it can be true.
func (l *Level) Hear(peer netip.Addr, o Origin, news Pressure, now time.Time) bool {
	if !news.valid() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.hear(peer, o, news, now)
	l.adjust(now)
	return true
}

// Admit counts a request and reports whether it is admitted, and whether its caller comes
// back too late for an answer to be on time.
func (l *Level) Admit(r Request, now time.Time) (admitted, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now)
	c := l.demand.count(r, l.share < 1, l.random(), now)
	return l.draw(c), c.late
}

// AdmitHeld reports whether a request is admitted that was not on its arrival, and has
// waited since.
func (l *Level) AdmitHeld(r Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now)
	return l.draw(l.demand.ask(r, false, false, now))
}

// draw reports whether a request of a class is admitted.
func (l *Level) draw(c *class) bool {
	if l.share >= 1 {
		return true
	}
	ahead, own := l.demand.position(c)
	admitted := l.share * math.Exp(lead*(pressureAim-l.pressure))
	return l.random() < max((admitted-ahead)/own, minShare)
}

// Pressed reports whether the level refuses requests, so that hedges and retries are
// held back.
func (l *Level) Pressed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now)
	return l.pressed(now)
}

// pressed reports whether the level refuses requests, or did within calmTime.
func (l *Level) pressed(now time.Time) bool {
	return l.share < 1 || !l.pressedAt.IsZero() && now.Sub(l.pressedAt) < calmTime
}

// News returns what peers are to be told; false while neither this entry nor one of
// which it has heard refuses requests.
func (l *Level) News(now time.Time) (Pressure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now)
	own, ok := l.reports.middle(now)
	if !ok || own <= pressureAim && l.share >= 1 && !l.peers.pressing(now) {
		return Pressure{}, false
	}
	return Pressure{Service: l.service, Pressure: own, Share: l.share}, true
}

// LevelState describes a level.
type LevelState struct {
	// Pressure is what the share follows.
	Pressure, Share float64
	// Peers is the number of peers whose news counts.
	Peers int
}

// State returns the state of the level.
func (l *Level) State(now time.Time) LevelState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now)
	return LevelState{Pressure: l.pressure, Share: l.share, Peers: l.heard}
}

// adjust lets the share follow the pressure since the last adjustment.
func (l *Level) adjust(now time.Time) {
	elapsed := now.Sub(l.adjustedAt)
	if elapsed < levelInterval {
		return
	}
	l.adjustedAt = now
	seconds := min(elapsed, newsAge).Seconds()
	own, hasOwn := l.view(now)
	pressure := own
	fleet, heard := l.peers.median(Pressure{Pressure: own, Share: l.share}, hasOwn, now)
	l.heard = heard
	switch {
	case heard > 0 && hasOwn:
		pressure = (own + min(fleet.Pressure, own+maxDisagreement*trust(own))) / 2
	case heard > 0:
		// News alone doesn't close a service.
		pressure = min(fleet.Pressure, pressureAim)
	}
	switch {
	case !hasOwn && heard == 0:
		// Nothing is known of the targets: nobody is refused for it.
		pressure = 0
	case l.share >= 1 && pressure < pressureAim:
		l.pressure = pressure
		return
	}
	l.pressure = pressure
	rate := float64(riseRate)
	if pressure > pressureAim {
		rate = fallRate
	}
	l.share *= math.Exp(rate * seconds * (pressureAim - pressure))
	if heard > 0 && hasOwn {
		l.share += (fleet.Share - l.share) * min(1, agreement*seconds*trust(own))
	}
	if l.share = min(max(l.share, minShare), 1); l.share < 1 {
		l.pressedAt = now
	}
}

// view returns the pressure that the entry sees itself; false if it has seen too little of
// late.
func (l *Level) view(now time.Time) (float64, bool) {
	if own, ok := l.reports.middle(now); ok {
		l.own, l.ownAt = own, now
	}
	return l.own, !l.ownAt.IsZero() && now.Sub(l.ownAt) <= ownAge
}

// trust returns how far an entry that sees a pressure itself goes by what peers tell of a
// higher one, from 0 to 1. In a data centre whose targets have room nobody is refused because
// those of another one have none.
func trust(own float64) float64 {
	return min(1, max(0, (own-idlePressure)/(pressureAim-idlePressure)))
}
