// Package tracker keeps what an entry believes of the fleet: the configuration
// in force, the data centres taken out, the targets, and the entry's share.
//
// One goroutine owns the Model. It feeds messages to Update and carries out
// the commands that come back:
//
//	cmds := model.Update(tracker.ConfigMsg{Config: cfg}, now)
package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/rationer"
	"savoryroad.dev/router"
)

const (
	// returnTime is how long after an outage of the store targets take to
	// register again whose registrations lapsed meanwhile.
	returnTime = 2 * time.Second
	// memoryTime is how long a target that is gone is remembered, so that an
	// old registration that arrives late doesn't bring it back.
	memoryTime = 60 * time.Second
)

// Model is the blackboard. A Version of 0 in Config means that none is known.
type Model struct {
	Config router.Config
	// Out holds the data centres that get no new requests.
	Out map[loader.DataCentreName]bool
	// Targets holds the targets by name, gone ones for a while too.
	Targets map[loader.TargetName]Target
	Share   rationer.Share
	// ShareUntil is when the share lapses unless it is renewed.
	ShareUntil time.Time
	// Listed is set once the targets have been read.
	Listed bool
	// Views is how far each topic is known.
	Views [topics]View
	// ReturnedAt is when the store was last back after an outage.
	ReturnedAt time.Time
	// Away is set during an outage of the store, as far as it is known.
	Away bool
	// Peers is how many other entries are known.
	Peers int

	// moves counts the changes of which targets get requests.
	moves int
	// changes holds the latest changes of each topic, for the peers.
	changes [topics][]Change
	// random returns a number from 0 to 1.
	random func() float64
}

// Target is what the store says of a target.
type Target struct {
	placer.Registration
	// ColdUntil is when its warm-up ends.
	ColdUntil time.Time
	// LostAt is when its registration went away; zero while it is there.
	LostAt time.Time
	// Gone is set when it gets no requests any more.
	Gone bool
}

// New returns a model that knows nothing. Random returns a number from 0 to 1.
func New(random func() float64) *Model {
	return &Model{Out: map[loader.DataCentreName]bool{}, Targets: map[loader.TargetName]Target{}, random: random}
}

// Msg is something that happened.
type Msg interface{ msg() }

// ConfigMsg brings a configuration.
type ConfigMsg struct{ Config router.Config }

// EvacuateMsg takes a data centre out, or back in.
type EvacuateMsg struct {
	DataCentre loader.DataCentreName
	Out        bool
}

// EvacuatedMsg brings all data centres that are out.
type EvacuatedMsg struct {
	DataCentres map[loader.DataCentreName]bool
}

// RegisterMsg brings the registration of a target.
type RegisterMsg struct{ Registration placer.Registration }

// UnregisterMsg says that the registration of a target is gone, or that it is
// no longer one of a target.
type UnregisterMsg struct{ Name loader.TargetName }

// ListMsg brings the registrations of all targets.
type ListMsg struct{ Registrations []placer.Registration }

// ShareMsg brings the partitions that the entry owns until a moment.
type ShareMsg struct {
	Total int
	Owned []int
	Until time.Time
}

// TickMsg lets time pass.
type TickMsg struct {
	// Peers is how many other entries are known.
	Peers int
}

func (ConfigMsg) msg()     {}
func (EvacuateMsg) msg()   {}
func (EvacuatedMsg) msg()  {}
func (RegisterMsg) msg()   {}
func (UnregisterMsg) msg() {}
func (ListMsg) msg()       {}
func (ShareMsg) msg()      {}
func (TickMsg) msg()       {}

// Cmd is something to be done.
type Cmd interface{ cmd() }

// InstallCmd brings a configuration into force.
type InstallCmd struct{ Config router.Config }

// PlaceCmd replaces the targets of all services. Services without targets are
// there with none.
type PlaceCmd struct {
	Targets map[loader.ServiceName][]placer.Usable
}

// ShareCmd replaces the entry's share.
type ShareCmd struct{ Share rationer.Share }

// LogCmd writes a line.
type LogCmd struct {
	Level  zerolog.Level
	Text   string
	Fields map[string]any
}

func (InstallCmd) cmd() {}
func (PlaceCmd) cmd()   {}
func (ShareCmd) cmd()   {}
func (LogCmd) cmd()     {}

// Update changes the model as a message says. Whatever a message brings, the
// targets are listed once at most, at the end: a list costs as much as there are
// targets, and a read may bring as many changes.
func (m *Model) Update(msg Msg, now time.Time) []Cmd {
	before := m.moves
	cmds := m.update(msg, now)
	if m.moves > before {
		cmds = append(cmds, m.place())
	}
	return cmds
}

// update changes the model, and counts a move if other targets get requests.
func (m *Model) update(msg Msg, now time.Time) []Cmd {
	switch msg := msg.(type) {
	case ConfigMsg:
		return m.configure(msg.Config)
	case PatchMsg:
		if cfg, ok := m.Config.Apply(msg.Patch); ok {
			return m.configure(cfg)
		}
	case EvacuateMsg:
		return m.evacuate(msg.DataCentre, msg.Out)
	case EvacuatedMsg:
		return m.evacuateAll(msg.DataCentres)
	case RegisterMsg:
		if log := m.register(msg.Registration, now); log != nil {
			return []Cmd{log}
		}
	case UnregisterMsg:
		return m.unregister(msg.Name, now)
	case ListMsg:
		return m.list(msg.Registrations, now)
	case ShareMsg:
		return m.own(msg, now)
	case ReadMsg:
		return m.takeRead(msg, now)
	case ReadFailedMsg:
		return m.failRead(msg, now)
	case NewsMsg:
		return m.takeNews(msg.News, now)
	case AskMsg:
		return m.answer(msg, now)
	case TickMsg:
		m.Peers = msg.Peers
		return append(m.tick(now), m.turns(now)...)
	}
	return nil
}

// configure takes a configuration unless a newer one is in force.
func (m *Model) configure(cfg router.Config) []Cmd {
	if cfg.Version <= m.Config.Version {
		return nil
	}
	was := m.Config.Version
	m.Config = cfg
	m.moves++
	return []Cmd{InstallCmd{Config: cfg}, info("configuration in force", map[string]any{
		"Version": cfg.Version, "Former": was, "Routes": len(cfg.Routes), "Services": len(cfg.Services),
	})}
}

func (m *Model) evacuate(dc loader.DataCentreName, out bool) []Cmd {
	if m.Out[dc] == out {
		return nil
	}
	m.Out = maps.Clone(m.Out)
	if out {
		m.Out[dc] = true
	} else {
		delete(m.Out, dc)
	}
	m.moves++
	return []Cmd{info("data centre changed", map[string]any{"DataCentre": dc, "Out": out})}
}

func (m *Model) evacuateAll(out map[loader.DataCentreName]bool) []Cmd {
	if maps.Equal(m.Out, out) {
		return nil
	}
	m.Out = maps.Clone(out)
	m.moves++
	return []Cmd{info("data centres changed", map[string]any{"Out": slices.Sorted(maps.Keys(out))})}
}

// register takes a registration unless it is older than what is known. It
// returns a line if more has changed than how long the target is cold.
func (m *Model) register(r placer.Registration, now time.Time) Cmd {
	known, ok := m.Targets[r.Name]
	sameStart := ok && r.Born == known.Born
	switch {
	case ok && r.Born < known.Born,
		sameStart && r.Sequence < known.Sequence,
		sameStart && known.Gone && r.Sequence == known.Sequence:
		return nil
	}
	t := Target{Registration: r}
	if sameStart {
		t.ColdUntil = known.ColdUntil
	}
	if r.WarmupLeft > 0 {
		t.ColdUntil = now.Add(r.WarmupLeft)
	}
	m.Targets[r.Name] = t
	same := sameStart && known.LostAt.IsZero() && known.State == r.State && known.Service == r.Service &&
		known.Address == r.Address && known.DataCentre == r.DataCentre && known.Slots == r.Slots
	if same {
		if t.ColdUntil.After(known.ColdUntil) {
			m.moves++
		}
		return nil
	}
	m.moves++
	return info("target changed", map[string]any{
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
	t.Gone = !m.excused()
	m.Targets[name] = t
	m.moves++
	return []Cmd{info("target unregistered", map[string]any{"Target": name, "Service": t.Service, "Gone": t.Gone})}
}

// excused tells whether registrations may be missing because of an outage of
// the store. The targets have returnTime to come back, and only a view that was
// made after it can tell which of them did not.
func (m *Model) excused() bool {
	return !m.ReturnedAt.IsZero() && m.Views[Targets].At.Before(m.ReturnedAt.Add(returnTime))
}

func (m *Model) list(all []placer.Registration, now time.Time) []Cmd {
	var cmds []Cmd
	listed := make(map[loader.TargetName]bool, len(all))
	for _, r := range all {
		listed[r.Name] = true
		if log := m.register(r, now); log != nil && m.Listed {
			cmds = append(cmds, log)
		}
	}
	for name := range m.Targets {
		if !listed[name] {
			cmds = append(cmds, m.unregister(name, now)...)
		}
	}
	m.Listed = true
	m.moves++
	return append(cmds, info("targets listed", map[string]any{"Targets": len(all)}))
}

// own takes a new share. A partition that the entry keeps stays its own since
// the moment at which it got it.
func (m *Model) own(msg ShareMsg, now time.Time) []Cmd {
	owned := make(map[int]time.Time, len(msg.Owned))
	changed := m.Share.Total != msg.Total || len(msg.Owned) != len(m.Share.Owned)
	for _, p := range msg.Owned {
		since, ok := m.Share.Owned[p]
		if !ok {
			since, changed = now, true
		}
		owned[p] = since
	}
	m.ShareUntil = msg.Until
	if !changed {
		return nil
	}
	m.Share = rationer.Share{Total: msg.Total, Owned: owned}
	return []Cmd{ShareCmd{Share: m.Share}, info("share of the fleet changed", map[string]any{"Owned": len(owned), "Of": msg.Total})}
}

// tick lets go of what has lapsed.
func (m *Model) tick(now time.Time) []Cmd {
	cmds := m.noteOutage(now)
	if len(m.Share.Owned) > 0 && now.After(m.ShareUntil) {
		m.Share = rationer.Share{}
		cmds = append(cmds, ShareCmd{}, LogCmd{Level: zerolog.WarnLevel, Text: "share of the fleet lapsed", Fields: map[string]any{}})
	}
	for name, t := range m.Targets {
		switch {
		case t.LostAt.IsZero():
		case !t.Gone && !m.excused():
			t.Gone = true
			m.Targets[name] = t
			m.moves++
			cmds = append(cmds, info("target gone", map[string]any{"Target": name, "Service": t.Service}))
		case now.Sub(t.LostAt) > memoryTime:
			delete(m.Targets, name)
		}
	}
	return cmds
}

// noteOutage notes when the store is lost and regained, by the age of what is
// known of its targets.
func (m *Model) noteOutage(now time.Time) []Cmd {
	v := m.Views[Targets]
	away := v.Known && v.age(now) > awayAfter
	if away == m.Away {
		return nil
	}
	m.Away = away
	fields := map[string]any{"ViewAge": v.age(now).String(), "Offset": v.Next}
	if away {
		return []Cmd{LogCmd{Level: zerolog.WarnLevel, Text: "store lost", Fields: fields}}
	}
	return []Cmd{info("store regained", fields)}
}

// place lists the targets that may get requests.
func (m *Model) place() Cmd {
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

func info(text string, fields map[string]any) Cmd {
	return LogCmd{Level: zerolog.InfoLevel, Text: text, Fields: fields}
}
