package admitter

import (
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/loader"
)

const (
	// pressureWindow is how long the load that a target reports counts.
	pressureWindow = 300 * time.Millisecond
	// maxReports is the largest number of reports that count.
	maxReports = 32
	// minReports is the number of reports from which an entry has a view of its own.
	minReports = 4
	// newsAge is how long the news of a peer counts. A level falls back to what the
	// entry sees itself within this time.
	newsAge = 400 * time.Millisecond
	// maxNews is the largest number of peers whose news counts, and minNews the
	// smallest: the median of fewer is what a single one says.
	maxNews = 16
	minNews = 3
	// maxPressure bounds what a report or the news of a peer says.
	maxPressure = 4
)

// Pressure is what an entry tells its peers of a service.
type Pressure struct {
	Service loader.ServiceName `cbor:"0,keyasint"`
	// Pressure is the load of the targets as a multiple of that from which they slow
	// down.
	Pressure float64 `cbor:"1,keyasint"`
	// Share is the share of the requested work that the entry admits.
	Share float64 `cbor:"2,keyasint"`
}

// valid reports whether the news can be true. NaN fails each comparison.
func (p Pressure) valid() bool {
	return p.Pressure >= 0 && p.Pressure <= maxPressure && p.Share >= minShare && p.Share <= 1
}

// Origin identifies the news of a peer. News of the same start arrives in any order; the
// one with the highest sequence number is the latest.
type Origin struct {
	// Start is the start of the peer's process, as a Unix time in milliseconds.
	Start    int64  `cbor:"0,keyasint"`
	Sequence uint64 `cbor:"1,keyasint"`
}

// before reports whether news of o is older than that of other.
func (o Origin) before(other Origin) bool {
	return o.Start < other.Start || o.Start == other.Start && o.Sequence < other.Sequence
}

// PressureNews is the message in which an entry tells its peers of its services.
type PressureNews struct {
	Origin   Origin     `cbor:"0,keyasint"`
	Services []Pressure `cbor:"1,keyasint"`
}

// reports holds the latest loads that targets have reported.
type reports struct {
	loads [maxReports]timed
	next  int
}

type timed struct {
	value float64
	at    time.Time
}

// add records a report.
func (r *reports) add(load float64, now time.Time) {
	r.loads[r.next%maxReports] = timed{min(max(load, 0), maxPressure), now}
	r.next++
}

// middle returns the mean of the middle half of the reports, which a few idle or jammed
// targets don't move; false if there are too few.
func (r *reports) middle(now time.Time) (float64, bool) {
	var recent [maxReports]float64
	n := 0
	for _, l := range r.loads {
		if !l.at.IsZero() && now.Sub(l.at) <= pressureWindow {
			recent[n] = l.value
			n++
		}
	}
	if n < minReports {
		return 0, false
	}
	slices.Sort(recent[:n])
	sum := 0.0
	for _, v := range recent[n/4 : n-n/4] {
		sum += v
	}
	return sum / float64(n-2*(n/4)), true
}

// peers holds the latest news of peers.
type peers struct {
	news [maxNews]peerNews
}

type peerNews struct {
	peer   netip.Addr
	origin Origin
	Pressure
	at time.Time
}

// hear records the news of a peer in place of its earlier one, or of the oldest. News
// that is older than what was heard of late is ignored.
func (p *peers) hear(peer netip.Addr, o Origin, news Pressure, now time.Time) {
	place := &p.news[0]
	for i := range p.news {
		n := &p.news[i]
		if n.peer == peer {
			if now.Sub(n.at) <= newsAge && !n.origin.before(o) {
				return
			}
			place = n
			break
		}
		if n.at.Before(place.at) {
			place = n
		}
	}
	*place = peerNews{peer, o, news, now}
}

// median returns the median pressure and share of the peers that were heard of, and of
// the entry itself. If they are fewer than minNews, heard is 0.
func (p *peers) median(own Pressure, hasOwn bool, now time.Time) (median Pressure, heard int) {
	var pressures, shares [maxNews + 1]float64
	n := 0
	for _, news := range p.news {
		if !news.at.IsZero() && now.Sub(news.at) <= newsAge {
			pressures[n], shares[n] = news.Pressure.Pressure, news.Share
			n++
		}
	}
	if n < minNews {
		return Pressure{}, 0
	}
	heard = n
	if hasOwn {
		pressures[n], shares[n] = own.Pressure, own.Share
		n++
	}
	slices.Sort(pressures[:n])
	slices.Sort(shares[:n])
	return Pressure{Pressure: pressures[n/2], Share: shares[n/2]}, heard
}

// pressing reports whether a peer has lately told that it refuses requests.
func (p *peers) pressing(now time.Time) bool {
	return slices.ContainsFunc(p.news[:], func(n peerNews) bool {
		return !n.at.IsZero() && now.Sub(n.at) <= newsAge && n.Share < 1
	})
}
