// Package tracker maintains an entry's view of the fleet: the configuration in
// force, the data centres taken out of service, the targets, and the entry's
// share of the fleet's limits.
//
// The Model does no I/O. One goroutine owns it, passes messages to Update and
// executes the commands that Update returns:
//
//	cmds := model.Update(tracker.ConfigMsg{Config: cfg}, now)
package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/promoter"
	"savoryroad.dev/router"
)

const (
	// reregistrationGrace is how long, after an outage of the store, targets whose
	// registrations expired during the outage may take to register again.
	reregistrationGrace = 2 * time.Second
	// tombstoneTTL is how long an unregistered target is kept, so that an old
	// registration that arrives late doesn't restore it.
	tombstoneTTL = 60 * time.Second
	// rewriteTime is how long, after the store was restored from an older copy,
	// operators and targets may take to write again what it has lost.
	rewriteTime = reregistrationGrace
)

// Model is an entry's view of the fleet. It is not safe for concurrent use.
type Model struct {
	// Config is the configuration in force. Its Version is 0 until the first one
	// has been received.
	Config router.Config
	// Out holds the data centres that get no new requests.
	Out map[loader.DataCentreName]bool
	// Targets holds the targets by name, including unregistered ones until their
	// tombstones expire.
	Targets map[loader.TargetName]Target
	// Share is the entry's share of the fleet's limits.
	Share limiter.Share
	// Listed is set once the first list of all targets has been received.
	Listed bool
	// Rollouts holds the orders to move a service to a version, and OrdersKnown is set
	// once the first complete state of the operators' topic has been received.
	Rollouts    map[loader.ServiceName]promoter.Order
	OrdersKnown bool
	// Views holds the replication state of each topic.
	Views [topics]View
	// ReturnedAt is when the last outage of the store ended, as seen by this entry;
	// zero if there was none.
	ReturnedAt time.Time
	// RestoredAt is when this entry learned that the store was restored from an older
	// copy; zero if it never was. RecheckOutAt is when data centres out of service of
	// which that copy had no record are to be looked up again; zero if there are none.
	RestoredAt, RecheckOutAt time.Time
	// Away is set while this entry detects an outage of the store.
	Away bool
	// Peers is the number of other entries that this entry knows.
	Peers int

	// placementChanges counts changes to the set of targets that are eligible for
	// requests, and to their cold starts.
	placementChanges int
	// recentChanges holds the changes of each topic within its gossip window.
	recentChanges [topics][]Change
	// random returns a number from 0 to 1.
	random func() float64
}

// Target is the state of a target, as derived from its registrations.
type Target struct {
	placer.Registration
	// ColdUntil is when the target's cold start ends.
	ColdUntil time.Time
	// LostAt is when the target's registration was found missing; zero while the
	// target is registered.
	LostAt time.Time
	// Gone is set when the target is no longer eligible for requests because its
	// registration is missing. An unregistered target stays eligible during the
	// grace period after an outage of the store.
	Gone bool
}

// New returns an empty model. The random function returns a number from 0 to 1.
func New(random func() float64) *Model {
	return &Model{Out: map[loader.DataCentreName]bool{}, Targets: map[loader.TargetName]Target{}, Rollouts: map[loader.ServiceName]promoter.Order{}, random: random}
}

// Msg is an event that may change the model.
type Msg interface{ msg() }

// ConfigMsg carries a configuration.
type ConfigMsg struct{ Config router.Config }

// EvacuateMsg takes a data centre out of service, or puts it back in service.
type EvacuateMsg struct {
	DataCentre loader.DataCentreName
	Out        bool
}

// EvacuatedMsg carries the set of all data centres that are out of service.
type EvacuatedMsg struct {
	DataCentres map[loader.DataCentreName]bool
}

// RolloutMsg carries an order to move a service to a version, or its withdrawal if it
// names no version.
type RolloutMsg struct {
	Order promoter.Order `cbor:"0,keyasint"`
}

// RolloutsMsg carries all orders to move services.
type RolloutsMsg struct {
	Orders []promoter.Order
	// Incomplete is set if there are orders that can't be read: the last valid ones stay.
	Incomplete bool
}

// RegisterMsg carries the registration of a target.
type RegisterMsg struct{ Registration placer.Registration }

// UnregisterMsg reports that the registration of a target was deleted, or that
// its record no longer describes a target.
type UnregisterMsg struct{ Name loader.TargetName }

// ListMsg carries the registrations of all targets.
type ListMsg struct{ Registrations []placer.Registration }

// ShareMsg carries the partitions that the entry may use.
type ShareMsg struct {
	// Total is the number of partitions of the fleet, Owned holds the numbers of those
	// that the entry may use, and Assigned is how many the store has assigned to it.
	Total    int
	Owned    []int
	Assigned int
	// Until is when the ownership expires.
	Until time.Time
}

// SuspendedMsg reports that the machine was suspended for a time that the clock of the
// process doesn't count.
type SuspendedMsg struct{ For time.Duration }

// TickMsg is sent at regular intervals. It starts the reads that are due and
// expires state.
type TickMsg struct {
	// Peers is the number of other entries that this entry knows.
	Peers int
}

func (ConfigMsg) msg()     {}
func (EvacuateMsg) msg()   {}
func (EvacuatedMsg) msg()  {}
func (RolloutMsg) msg()    {}
func (RolloutsMsg) msg()   {}
func (RegisterMsg) msg()   {}
func (UnregisterMsg) msg() {}
func (ListMsg) msg()       {}
func (ShareMsg) msg()      {}
func (SuspendedMsg) msg()  {}
func (TickMsg) msg()       {}

// Cmd is an effect that the owner of the model executes.
type Cmd interface{ cmd() }

// InstallCmd puts a configuration into force.
type InstallCmd struct{ Config router.Config }

// PlaceCmd replaces the eligible targets of all services. Targets has a key for
// every service, also for those without eligible targets.
type PlaceCmd struct {
	Targets map[loader.ServiceName][]placer.Usable
}

// RolloutCmd reports an order to move a service to a version, or its withdrawal if it
// names no version.
type RolloutCmd struct {
	Order promoter.Order
	// Fresh is set if the order was written since the model was first complete.
	Fresh bool
}

// ShareCmd replaces the entry's share of the fleet's limits.
type ShareCmd struct{ Share limiter.Share }

// RestoredCmd reports that the store was restored from an older copy.
type RestoredCmd struct {
	Topic Topic
	Era   Era
}

// LogCmd writes a log line.
type LogCmd struct {
	Level  zerolog.Level
	Text   string
	Fields map[string]any
}

func (InstallCmd) cmd()  {}
func (PlaceCmd) cmd()    {}
func (RolloutCmd) cmd()  {}
func (ShareCmd) cmd()    {}
func (RestoredCmd) cmd() {}
func (LogCmd) cmd()      {}

// Update applies a message to the model and returns the commands to execute. It
// returns at most one PlaceCmd, as the last command: building one takes time in
// proportion to the number of targets, and a single read may carry as many
// changes as there are targets.
func (m *Model) Update(msg Msg, now time.Time) []Cmd {
	before := m.placementChanges
	cmds := m.update(msg, now)
	if m.placementChanges > before {
		cmds = append(cmds, m.placeCmd())
	}
	return cmds
}

// update applies a message to the model. It increments placementChanges if a new
// PlaceCmd is needed.
func (m *Model) update(msg Msg, now time.Time) []Cmd {
	switch msg := msg.(type) {
	case ConfigMsg:
		return m.applyConfig(msg.Config)
	case PatchMsg:
		if cfg, ok := m.Config.Apply(msg.Patch); ok {
			return m.applyConfig(cfg)
		}
	case EvacuateMsg:
		return m.setEvacuated(msg.DataCentre, msg.Out)
	case EvacuatedMsg:
		return m.setAllEvacuated(msg.DataCentres, now)
	case RolloutMsg:
		return m.setRollout(msg.Order)
	case RolloutsMsg:
		return m.setAllRollouts(msg, now)
	case RegisterMsg:
		if cmd := m.register(msg.Registration, now); cmd != nil {
			return []Cmd{cmd}
		}
	case UnregisterMsg:
		return m.unregister(msg.Name, now)
	case ListMsg:
		return m.reconcileTargets(msg.Registrations, now)
	case ShareMsg:
		return m.updateShare(msg, now)
	case SuspendedMsg:
		return m.endShareEarlier(msg.For)
	case ReadMsg:
		return m.applyRead(msg, now)
	case ReadFailedMsg:
		return m.handleReadFailure(msg, now)
	case NewsMsg:
		return m.applyGossip(msg.News, now)
	case AskMsg:
		return m.replyWithSnapshot(msg, now)
	case TickMsg:
		m.Peers = msg.Peers
		return append(m.tick(now), m.startDueReads(now)...)
	}
	return nil
}

// applyConfig puts a configuration into force unless one of the same or a later
// version already is.
func (m *Model) applyConfig(cfg router.Config) []Cmd {
	if cfg.Version <= m.Config.Version {
		return nil
	}
	former := m.Config.Version
	m.Config = cfg
	m.placementChanges++
	cmds := []Cmd{InstallCmd{Config: cfg}, infoCmd("configuration in force", map[string]any{
		"Version": cfg.Version, "Former": former, "Routes": len(cfg.Routes), "Services": len(cfg.Services),
	})}
	if len(cfg.UnknownKinds) > 0 {
		cmds = append(cmds, LogCmd{Level: zerolog.WarnLevel, Text: "routes of unknown kinds run at most once", Fields: map[string]any{
			"Version": cfg.Version, "Kinds": cfg.UnknownKinds,
		}})
	}
	return cmds
}

func (m *Model) setEvacuated(dc loader.DataCentreName, out bool) []Cmd {
	if m.Out[dc] == out {
		return nil
	}
	m.Out = maps.Clone(m.Out)
	if out {
		m.Out[dc] = true
	} else {
		delete(m.Out, dc)
	}
	m.placementChanges++
	return []Cmd{infoCmd("data centre changed", map[string]any{"DataCentre": dc, "Out": out})}
}

// setAllEvacuated replaces the data centres that are out of service. Soon after the store
// was restored, those that were out before stay so: their records may be missing.
func (m *Model) setAllEvacuated(out map[loader.DataCentreName]bool, now time.Time) []Cmd {
	if settled := m.RestoredAt.Add(rewriteTime); !m.RestoredAt.IsZero() && now.Before(settled) {
		out = maps.Clone(out)
		for dc := range m.Out {
			if !out[dc] {
				out[dc], m.RecheckOutAt = true, settled
			}
		}
	}
	if maps.Equal(m.Out, out) {
		return nil
	}
	m.Out = maps.Clone(out)
	m.placementChanges++
	return []Cmd{infoCmd("data centres changed", map[string]any{"Out": slices.Sorted(maps.Keys(out))})}
}

// setRollout applies an order to move a service, or its withdrawal.
func (m *Model) setRollout(o promoter.Order) []Cmd {
	if m.Rollouts[o.Service] == o || m.Rollouts[o.Service].ToVersion == o.ToVersion {
		return nil
	}
	if o.ToVersion == "" {
		delete(m.Rollouts, o.Service)
	} else {
		m.Rollouts[o.Service] = o
	}
	return []Cmd{RolloutCmd{Order: o, Fresh: m.OrdersKnown}}
}

// setAllRollouts replaces all orders to move services. Soon after the store was restored,
// records of some may be missing.
func (m *Model) setAllRollouts(msg RolloutsMsg, now time.Time) []Cmd {
	var cmds []Cmd
	listed := map[loader.ServiceName]bool{}
	for _, o := range msg.Orders {
		listed[o.Service] = true
		cmds = append(cmds, m.setRollout(o)...)
	}
	m.OrdersKnown = true
	if msg.Incomplete || !m.RestoredAt.IsZero() && now.Before(m.RestoredAt.Add(rewriteTime)) {
		return cmds
	}
	for service := range m.Rollouts {
		if !listed[service] {
			cmds = append(cmds, m.setRollout(promoter.Order{Service: service})...)
		}
	}
	return cmds
}

// register applies a registration unless it is older than the current one of the
// same target. It returns a command that logs the change, or nil if at most the
// end of the cold start has changed.
func (m *Model) register(r placer.Registration, now time.Time) Cmd {
	current, ok := m.Targets[r.Name]
	sameIncarnation := ok && r.Born == current.Born
	switch {
	case ok && r.Born < current.Born,
		sameIncarnation && r.Sequence < current.Sequence,
		sameIncarnation && current.Gone && r.Sequence == current.Sequence:
		return nil
	}
	t := Target{Registration: r}
	if sameIncarnation {
		t.ColdUntil = current.ColdUntil
	}
	if r.WarmupLeft > 0 {
		t.ColdUntil = now.Add(r.WarmupLeft)
	}
	m.Targets[r.Name] = t
	unchanged := sameIncarnation && current.LostAt.IsZero() && current.State == r.State && current.Service == r.Service &&
		current.Address == r.Address && current.DataCentre == r.DataCentre && current.Slots == r.Slots && current.Version == r.Version
	if unchanged {
		if t.ColdUntil.After(current.ColdUntil) {
			m.placementChanges++
		}
		return nil
	}
	m.placementChanges++
	return infoCmd("target changed", map[string]any{
		"Target": r.Name, "Service": r.Service, "DataCentre": r.DataCentre, "State": r.State.String(),
		"Sequence": r.Sequence, "Born": r.Born, "WarmupLeft": r.WarmupLeft.String(),
	})
}

func (m *Model) unregister(name loader.TargetName, now time.Time) []Cmd {
	t, ok := m.Targets[name]
	if !ok || t.Gone || !t.LostAt.IsZero() {
		return nil
	}
	t.LostAt = now
	t.Gone = !m.inReregistrationGrace()
	m.Targets[name] = t
	m.placementChanges++
	return []Cmd{infoCmd("target unregistered", map[string]any{"Target": name, "Service": t.Service, "Gone": t.Gone})}
}

// inReregistrationGrace reports whether registrations may still be missing because
// of an outage of the store. Targets have reregistrationGrace to register again,
// and only a view that is complete up to the end of that time shows which of them
// did not.
func (m *Model) inReregistrationGrace() bool {
	return !m.ReturnedAt.IsZero() && m.Views[Targets].At.Before(m.ReturnedAt.Add(reregistrationGrace))
}

// reconcileTargets replaces the registrations by a list of all of them, and
// unregisters the targets that the list lacks. The initial list logs a
// summary only.
func (m *Model) reconcileTargets(all []placer.Registration, now time.Time) []Cmd {
	var cmds []Cmd
	listed := make(map[loader.TargetName]bool, len(all))
	for _, r := range all {
		listed[r.Name] = true
		if cmd := m.register(r, now); cmd != nil && m.Listed {
			cmds = append(cmds, cmd)
		}
	}
	for name := range m.Targets {
		if !listed[name] {
			cmds = append(cmds, m.unregister(name, now)...)
		}
	}
	m.Listed = true
	m.placementChanges++
	return append(cmds, infoCmd("targets listed", map[string]any{"Targets": len(all)}))
}

// updateShare applies a new share. A partition that the entry keeps retains the
// time at which the entry became its owner.
func (m *Model) updateShare(msg ShareMsg, now time.Time) []Cmd {
	owned := make(map[int]time.Time, len(msg.Owned))
	changed := m.Share.Total != msg.Total || len(msg.Owned) != len(m.Share.Owned)
	for _, p := range msg.Owned {
		since, ok := m.Share.Owned[p]
		if !ok {
			since, changed = now, true
		}
		owned[p] = since
	}
	changed = changed || msg.Assigned != m.Share.Assigned
	m.Share = limiter.Share{Total: msg.Total, Owned: owned, Assigned: msg.Assigned, Until: msg.Until}
	cmds := []Cmd{ShareCmd{Share: m.Share}}
	if changed {
		cmds = append(cmds, infoCmd("share of the fleet changed", map[string]any{"Owned": len(owned), "Assigned": msg.Assigned, "Of": msg.Total}))
	}
	return cmds
}

// endShareEarlier shortens the share by the time for which the machine was suspended:
// the store counted that time, and the clock of the process did not.
func (m *Model) endShareEarlier(d time.Duration) []Cmd {
	m.Share.Until = m.Share.Until.Add(-d)
	return []Cmd{ShareCmd{Share: m.Share}, LogCmd{Level: zerolog.WarnLevel, Text: "machine was suspended", Fields: map[string]any{"For": d.String()}}}
}

// tick detects outages of the store, expires the share, and removes targets whose
// grace period or tombstone has expired.
func (m *Model) tick(now time.Time) []Cmd {
	cmds := m.detectOutage(now)
	if len(m.Share.Owned) > 0 && !now.Before(m.Share.Until) {
		m.Share = limiter.Share{}
		cmds = append(cmds, ShareCmd{}, LogCmd{Level: zerolog.WarnLevel, Text: "share of the fleet lapsed", Fields: map[string]any{}})
	}
	for name, t := range m.Targets {
		switch {
		case t.LostAt.IsZero():
		case !t.Gone && !m.inReregistrationGrace():
			t.Gone = true
			m.Targets[name] = t
			m.placementChanges++
			cmds = append(cmds, infoCmd("target gone", map[string]any{"Target": name, "Service": t.Service}))
		case now.Sub(t.LostAt) > tombstoneTTL:
			delete(m.Targets, name)
		}
	}
	return cmds
}

// detectOutage detects the start and the end of an outage of the store by the age
// of the view of the targets.
func (m *Model) detectOutage(now time.Time) []Cmd {
	v := m.Views[Targets]
	down := v.Known && v.age(now) > outageAge
	if down == m.Away {
		return nil
	}
	m.Away = down
	fields := map[string]any{"ViewAge": v.age(now).String(), "Offset": v.Next}
	if down {
		return []Cmd{LogCmd{Level: zerolog.WarnLevel, Text: "store lost", Fields: fields}}
	}
	return []Cmd{infoCmd("store regained", fields)}
}

// placeCmd returns the command that sets the targets eligible for requests.
func (m *Model) placeCmd() Cmd {
	targets := make(map[loader.ServiceName][]placer.Usable, len(m.Config.Services))
	for name := range m.Config.Services {
		targets[name] = nil
	}
	for _, t := range m.Targets {
		if t.Gone || t.State != loader.Active || m.Out[t.DataCentre] {
			continue
		}
		if _, ok := targets[t.Service]; ok {
			targets[t.Service] = append(targets[t.Service], placer.Usable{Registration: t.Registration, ColdUntil: t.ColdUntil})
		}
	}
	return PlaceCmd{Targets: targets}
}

func infoCmd(text string, fields map[string]any) Cmd {
	return LogCmd{Level: zerolog.InfoLevel, Text: text, Fields: fields}
}
