package promoter

import (
	"math"
	"time"

	"savoryroad.dev/loader"
)

// Dumped is the state of one roll-out in the state dump for operators.
type Dumped struct {
	ToVersion loader.TargetVersion
	Phase     string
	// Reason says why the phase was entered, and After is the time since the order.
	Reason string `json:",omitempty"`
	After  string
	// Share is the part of the requests that the new version gets.
	Share float64
	// New and Old are the answers of the versions, of all entries that were heard of.
	New, Old Tally
	// Fault and Route name the test that speaks most against the new version, Evidence
	// and Robust what it says, and Needed from where on it is a verdict.
	Fault                    string           `json:",omitempty"`
	Route                    loader.RouteName `json:",omitempty"`
	Evidence, Robust, Needed float64          `json:",omitempty"`
	// Peers is the number of other entries in touch, and Drained that of those that send
	// nothing to the old version any more.
	Peers, Drained int
}

// Dump returns the state of the roll-outs.
func (m *Model) Dump(now time.Time) map[loader.ServiceName]Dumped {
	dump := map[loader.ServiceName]Dumped{}
	for service, r := range m.rollouts {
		d := Dumped{
			ToVersion: r.order.ToVersion, Phase: r.phase.String(), Reason: r.reason, After: now.Sub(r.since).String(),
			Share: r.share, New: r.ledger.total(loader.Canary), Old: r.ledger.total(loader.Baseline),
		}
		if f := r.finding; !math.IsInf(f.robust, 0) {
			d.Fault, d.Route, d.Evidence, d.Robust, d.Needed = f.fault.String(), f.route, f.evidence, f.robust, f.needed
		}
		for _, p := range r.peers {
			if now.Sub(p.heardAt) < freshness {
				d.Peers++
				if p.drained {
					d.Drained++
				}
			}
		}
		dump[service] = d
	}
	return dump
}
