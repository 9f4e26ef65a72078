// Package promoter moves a service from one version of its targets to another, and back
// if the new version is bad.
//
// Every entry decides for itself, by the evidence of the fleet that it knows by gossip.
// What must hold for all of them, the outcome, is written to the store once. The Model
// does no I/O. One goroutine owns it, passes messages to Update and executes the commands
// that Update returns. Requests are assigned to versions by the Gate of their service.
package promoter

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service   loader.ServiceName   `cbor:"0,keyasint"`
	ToVersion loader.TargetVersion `cbor:"1,keyasint,omitempty"`
	// Ramp is the time in which the service is to be moved.
	Ramp time.Duration `cbor:"2,keyasint,omitempty"`
}

// Phase is how far a roll-out is at an entry.
type Phase int

//go:generate go tool stringer -type=Phase -linecomment -output=phase_string.go

// The phases, in their order. An entry never goes back to an earlier one.
const (
	// Unknown means that the entry has started during or after a roll-out and doesn't
	// know yet how far it is.
	Unknown Phase = iota // unknown
	// Trial means that the new version gets at most the exposed share.
	Trial // trial
	// Shift means that the new version is proved and its share grows.
	Shift // shift
	// Moved means that no request is sent to the old version any more.
	Moved // moved
	// Stopped means that no request is sent to the new version any more.
	Stopped // stopped
	// Completed and RolledBack are outcomes that the store holds.
	Completed  // completed
	RolledBack // rolled back
)

// IsOutcome reports whether the phase is the end of a roll-out.
func (p Phase) IsOutcome() bool { return p >= Completed }

// Msg is an event that may change the model.
type Msg interface{ msg() }

// OrderMsg carries an operator's order, or its withdrawal if it names no version.
type OrderMsg struct {
	Order Order
	// Fresh is set if the order was written while the entry ran.
	Fresh bool
}

// TargetsMsg carries the active targets of a service, by name.
type TargetsMsg struct {
	Service loader.ServiceName
	Targets map[loader.TargetName]loader.TargetVersion
}

// ReportMsg carries the report of a peer.
type ReportMsg struct {
	Peer   netip.Addr
	Report Report
}

// StatusMsg carries what the store holds of a roll-out. Phase is Trial if it is under
// way, and Unknown if the store holds nothing.
type StatusMsg struct {
	Service   loader.ServiceName
	ToVersion loader.TargetVersion
	Phase     Phase
}

// StatusFailedMsg reports that a StatusCmd could not be carried out.
type StatusFailedMsg struct {
	Service   loader.ServiceName
	ToVersion loader.TargetVersion
}

// TickMsg is sent at regular intervals.
type TickMsg struct {
	// Peers is the number of other entries that this entry knows.
	Peers int
	// Part is the entry's part of sums over the fleet, from 0 to 1.
	Part float64
}

func (OrderMsg) msg()        {}
func (TargetsMsg) msg()      {}
func (ReportMsg) msg()       {}
func (StatusMsg) msg()       {}
func (StatusFailedMsg) msg() {}
func (TickMsg) msg()         {}

// Cmd is an effect that the owner of the model executes.
type Cmd interface{ cmd() }

// PlaceCmd asks for the targets of a service to be divided anew, by Cohort, and for its
// Gate to be put into force.
type PlaceCmd struct{ Service loader.ServiceName }

// StatusCmd reads what the store holds of a roll-out, and reports it by a StatusMsg. If
// Write is set, and the store holds neither an outcome of the roll-out nor anything later,
// Write is written first: Trial, Completed or RolledBack.
type StatusCmd struct {
	Service   loader.ServiceName
	ToVersion loader.TargetVersion
	Write     Phase
}

// SpreadCmd sends a report to all peers, and TellCmd to one.
type SpreadCmd struct{ Report Report }

// TellCmd sends a report to the peer that has asked.
type TellCmd struct {
	Peer   netip.Addr
	Report Report
}

// AskCmd asks one peer for its report.
type AskCmd struct{ Report Report }

// LogCmd writes a log line.
type LogCmd struct {
	Level  zerolog.Level
	Text   string
	Fields map[string]any
}

func (PlaceCmd) cmd()  {}
func (StatusCmd) cmd() {}
func (SpreadCmd) cmd() {}
func (TellCmd) cmd()   {}
func (AskCmd) cmd()    {}
func (LogCmd) cmd()    {}

// Model is an entry's view of the roll-outs. It is not safe for concurrent use.
type Model struct {
	self Incarnation
	// exposure is the part of a service's requests that an unproved version may get.
	exposure float64
	// random returns a number from 0 to 1.
	random   func() float64
	rollouts map[loader.ServiceName]*rollout
	targets  map[loader.ServiceName]map[loader.TargetName]loader.TargetVersion
	// versions holds the versions of each service that had targets, and when the entry
	// first saw them; zero for those that it found when it started.
	versions map[loader.ServiceName]map[loader.TargetVersion]time.Time
	// held holds the services of which targets are held back.
	held  map[loader.ServiceName]bool
	peers int
	// part is the entry's part of sums over the fleet, from 0 to 1.
	part float64
}

// New returns a model without roll-outs. Exposure is the part of a service's requests
// that an unproved version may get.
func New(self Incarnation, exposure float64, random func() float64) *Model {
	return &Model{
		self: self, exposure: exposure, random: random,
		rollouts: map[loader.ServiceName]*rollout{},
		targets:  map[loader.ServiceName]map[loader.TargetName]loader.TargetVersion{},
		versions: map[loader.ServiceName]map[loader.TargetVersion]time.Time{},
		held:     map[loader.ServiceName]bool{},
	}
}

// versionHold is how long targets of a version that appears while the entry runs are held
// back: an order to move the service to that version may be on its way.
const versionHold = 1500 * time.Millisecond

// Update applies a message to the model and returns the commands to execute.
func (m *Model) Update(msg Msg, now time.Time) []Cmd {
	switch msg := msg.(type) {
	case OrderMsg:
		return m.order(msg, now)
	case TargetsMsg:
		m.setTargets(msg, now)
	case ReportMsg:
		return m.hear(msg, now)
	case StatusMsg:
		if r := m.find(msg.Service, msg.ToVersion); r != nil {
			return r.status(msg.Phase, now)
		}
	case StatusFailedMsg:
		if r := m.find(msg.Service, msg.ToVersion); r != nil {
			r.storeFailed(now)
		}
	case TickMsg:
		m.peers, m.part = msg.Peers, msg.Part
		return m.tick(now)
	}
	return nil
}

// find returns the roll-out of a service to a version, if it is the latest.
func (m *Model) find(service loader.ServiceName, to loader.TargetVersion) *rollout {
	if r := m.rollouts[service]; r != nil && r.order.ToVersion == to {
		return r
	}
	return nil
}

// order starts a roll-out. An order that is repeated changes nothing. One that is
// withdrawn before its outcome stops the new version.
func (m *Model) order(msg OrderMsg, now time.Time) []Cmd {
	o := msg.Order
	former := m.rollouts[o.Service]
	switch {
	case o.ToVersion == "":
		if former == nil {
			return nil
		}
		return former.stop("order withdrawn", finding{}, now)
	case former != nil && former.order.ToVersion == o.ToVersion:
		return nil
	}
	r := newRollout(m, o, msg.Fresh, now)
	switch {
	case former == nil:
		r.base = m.present(o.Service, o.ToVersion)
	case former.phase == Completed:
		r.base = map[loader.TargetVersion]bool{former.order.ToVersion: true}
	default:
		r.base = maps.Clone(former.base)
		delete(r.base, o.ToVersion)
	}
	m.rollouts[o.Service] = r
	fields := r.fields()
	fields["Ramp"], fields["From"], fields["Fresh"] = o.Ramp.String(), slices.Sorted(maps.Keys(r.base)), msg.Fresh
	cmds := []Cmd{LogCmd{zerolog.InfoLevel, "roll-out ordered", fields}}
	if r.phase == Trial && len(r.base) == 0 && m.has(o.Service, map[loader.TargetVersion]bool{o.ToVersion: true}) {
		// The version is the one in service: there is nothing to compare it with.
		return append(cmds, r.enter(Moved, "no other version is in service", now)...)
	}
	return append(cmds, r.placeCmd())
}

// present returns the versions of a service that are in service without an order, other
// than one that is ordered.
func (m *Model) present(service loader.ServiceName, to loader.TargetVersion) map[loader.TargetVersion]bool {
	base := map[loader.TargetVersion]bool{}
	for _, v := range m.targets[service] {
		if v != to {
			base[v] = true
		}
	}
	return base
}

// setTargets notes the versions of a service's targets.
func (m *Model) setTargets(msg TargetsMsg, now time.Time) {
	known := m.versions[msg.Service]
	first := len(known) == 0
	if first {
		known = map[loader.TargetVersion]time.Time{}
		m.versions[msg.Service] = known
	}
	for _, v := range msg.Targets {
		if _, ok := known[v]; !ok && first {
			known[v] = time.Time{}
		} else if !ok {
			known[v] = now
			m.held[msg.Service] = true
		}
	}
	m.targets[msg.Service] = msg.Targets
	if r := m.rollouts[msg.Service]; r != nil && len(r.base) == 0 {
		r.base = m.present(msg.Service, r.order.ToVersion)
	}
}

// Cohort returns the cohort of a service's target of a version. It reports false if the
// target may get no requests.
func (m *Model) Cohort(service loader.ServiceName, v loader.TargetVersion, now time.Time) (loader.Cohort, bool) {
	r := m.rollouts[service]
	if r == nil {
		return loader.Whole, !m.isHeld(service, v, now)
	}
	to := r.order.ToVersion
	switch r.phase {
	case Completed:
		return loader.Whole, v == to || v != to && !m.has(service, map[loader.TargetVersion]bool{to: true})
	case RolledBack:
		return loader.Whole, r.base[v] || !m.has(service, r.base)
	case Stopped, Unknown:
		// If the old version has no targets, its outcome was Completed.
		return loader.Baseline, r.base[v] || v == to && !m.has(service, r.base)
	default:
		if v == to && (r.phase == Moved || m.has(service, r.base)) {
			return loader.Canary, true
		}
		if v == to {
			return loader.Baseline, true // the old version has no targets left
		}
		return loader.Baseline, r.base[v]
	}
}

// has reports whether a service has targets of one of the versions.
func (m *Model) has(service loader.ServiceName, versions map[loader.TargetVersion]bool) bool {
	for _, v := range m.targets[service] {
		if versions[v] {
			return true
		}
	}
	return false
}

// isHeld reports whether targets of a version are held back, while others are there.
func (m *Model) isHeld(service loader.ServiceName, v loader.TargetVersion, now time.Time) bool {
	if !m.held[service] || !now.Before(m.versions[service][v].Add(versionHold)) {
		return false
	}
	for _, other := range m.targets[service] {
		if !now.Before(m.versions[service][other].Add(versionHold)) {
			return true
		}
	}
	return false
}

// hear applies the report of a peer, and answers it if the peer asks.
func (m *Model) hear(msg ReportMsg, now time.Time) []Cmd {
	report := msg.Report
	r := m.find(report.Service, report.ToVersion)
	if r == nil || report.From == m.self.Entry || report.Phase < Unknown || report.Phase > RolledBack {
		return nil
	}
	var cmds []Cmd
	if report.Ask && r.phase != Unknown {
		cmds = append(cmds, TellCmd{msg.Peer, r.report(now)})
	}
	return append(cmds, r.hear(report, now)...)
}

// tick advances the roll-outs and places targets whose hold has ended.
func (m *Model) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for service := range m.held {
		over := true
		for _, since := range m.versions[service] {
			over = over && !now.Before(since.Add(versionHold))
		}
		if over {
			delete(m.held, service)
			cmds = append(cmds, PlaceCmd{service})
		}
	}
	for _, r := range m.rollouts {
		cmds = append(cmds, r.tick(now)...)
	}
	return cmds
}

// Gate returns the gate of a service; nil if its requests are not divided.
func (m *Model) Gate(service loader.ServiceName) *Gate {
	if r := m.rollouts[service]; r != nil && !r.phase.IsOutcome() {
		return r.gate
	}
	return nil
}
