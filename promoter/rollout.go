package promoter

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
)

// Step numbers the times during which the share of the new version is constant.
type Step int

const (
	// trialSteps is the number of steps of the trial.
	trialSteps Step = 4
	// steps is the number of all steps: those of the trial, with the larger share and
	// the smaller one, those of the shift, and the time after it.
	steps = 2*trialSteps + Step(len(shiftShares)) + 1
)

const (
	// trialMargin is the part of the exposed share that is used. The rest is for entries
	// that count the requests of others too low.
	trialMargin = 0.9
	// extraRequests is the number of requests that the new version gets during the trial
	// from all entries together beyond its share, so that few requests a second suffice
	// for a verdict. Entries that start during the roll-out add none.
	extraRequests = 25
	// amplyProved is the number of answers of the new version from which its share is
	// divided by restDivisor until the end of the trial, so that more of the exposure
	// is left for a version that turns bad when it gets more.
	amplyProved = 150
	restDivisor = 3
	// shiftFraction of the ramp, but at most maxShift, is the time in which the share of
	// a proved version grows. It ends reserveFraction of the ramp, but at most
	// maxReserve, before the end of the ramp, since the old version has to drain and the
	// outcome to be written.
	shiftFraction   = 0.17
	maxShift        = 3 * time.Second
	reserveFraction = 0.2
	maxReserve      = 4 * time.Second
	// unprovedFraction of the ramp is the time after which a version that is not
	// proved is rolled back.
	unprovedFraction = 0.92
	// minAnswers is the number of answers that prove a version against which there is no
	// evidence, and fewAnswers those in the last third of the shift.
	minAnswers = 24
	fewAnswers = 8
	// badAnswersLimit is the number of bad answers from which a version is stopped on any
	// evidence against it, also if that is not a verdict.
	badAnswersLimit = 36

	// assessInterval is the least time between two tests of the evidence.
	assessInterval = 150 * time.Millisecond
	// reportInterval is the time between two reports, and minReportInterval that
	// after new answers.
	reportInterval    = 500 * time.Millisecond
	minReportInterval = 250 * time.Millisecond
	// outcomeReports is how long an entry goes on to report after the outcome.
	outcomeReports = 2 * time.Second
	// freshness is the time after its last report for which a peer counts as in touch.
	freshness = 2 * time.Second
	// settleTime is the time in which each peer has reported at least once.
	settleTime = 2 * reportInterval
	// writeJitter is the time for each peer by which an entry delays a write at random:
	// the first one tells the others. MaxWriteJitter bounds it.
	writeJitter    = 8 * time.Millisecond
	maxWriteJitter = 500 * time.Millisecond
	// storeBackoff is the time, before jitter, after which a call to the store that has
	// failed is repeated.
	storeBackoff = 250 * time.Millisecond
)

// shiftShares are the shares of a proved version in the steps of the shift. The old version keeps a
// part to be compared with until all requests are moved.
var shiftShares = [...]float64{0.25, 0.5, 0.75}

// rollout is one roll-out as an entry sees it.
type rollout struct {
	m     *Model
	order Order
	// since is the time of the order, as far as the entry knows.
	since  time.Time
	phase  Phase
	gate   *Gate
	ledger ledger
	// base holds the versions in service before the order.
	base  map[loader.TargetVersion]bool
	peers map[loader.EntryName]peer
	// finding is the latest one, and stale is set if there is evidence since.
	finding    finding
	stale      bool
	assessedAt time.Time
	reason     string
	// movedAt and endedAt are when the entry entered the phase Moved and the outcome.
	movedAt, endedAt time.Time
	drained          bool
	// written is set once the store is known to hold the roll-out, calling while a call
	// to the store is under way. CallAt is when the next call is due; zero if none is
	// planned.
	written, calling bool
	callAt           time.Time
	reportedAt       time.Time
	reportNow        bool
	step             Step
	share            float64
	// fresh is set if the entry ran when the order was given, and extraAt is the time up
	// to which it has added its part of extraRequests.
	fresh   bool
	extraAt time.Time
}

func newRollout(m *Model, o Order, fresh bool, now time.Time) *rollout {
	r := &rollout{
		m: m, order: o, since: now, gate: newGate(m.random()), ledger: newLedger(),
		peers: map[loader.EntryName]peer{}, finding: finding{robust: math.Inf(-1), suspicion: math.Inf(-1)},
	}
	if fresh {
		r.phase, r.fresh = Trial, true
	}
	r.planCall(now)
	return r
}

// fields returns the fields of each log line of the roll-out, with the figures that decide.
func (r *rollout) fields() map[string]any {
	canary, baseline := r.ledger.total(loader.Canary), r.ledger.total(loader.Baseline)
	return map[string]any{
		"Service": r.order.Service, "ToVersion": r.order.ToVersion, "Phase": r.phase.String(),
		"NewAnswers": canary.Answers, "NewFailed": canary.Failed, "NewTimed": canary.Timed, "NewSlow": canary.Slow,
		"OldAnswers": baseline.Answers, "OldFailed": baseline.Failed, "OldTimed": baseline.Timed, "OldSlow": baseline.Slow,
	}
}

func (r *rollout) placeCmd() Cmd {
	return PlaceCmd{r.order.Service}
}

// enter moves the roll-out on to a later phase.
func (r *rollout) enter(p Phase, reason string, now time.Time) []Cmd {
	if p <= r.phase || r.phase.IsOutcome() {
		return nil
	}
	former := r.phase
	r.phase, r.reason, r.reportNow = p, reason, true
	fields := r.fields()
	fields["Former"], fields["Reason"], fields["After"] = former.String(), reason, now.Sub(r.since).String()
	level := zerolog.InfoLevel
	switch p {
	case Moved:
		r.movedAt = now
	case Stopped:
		level = zerolog.WarnLevel
		r.planCall(now)
	case Completed, RolledBack:
		r.endedAt, r.written, r.callAt = now, true, time.Time{}
	}
	r.setShare(now)
	return []Cmd{LogCmd{level, "roll-out entered a phase", fields}, r.placeCmd()}
}

// stop stops the new version, unless the roll-out has an outcome.
func (r *rollout) stop(reason string, f finding, now time.Time) []Cmd {
	cmds := r.enter(Stopped, reason, now)
	if len(cmds) > 0 && f.bad {
		l := cmds[0].(LogCmd)
		l.Fields["Robust"], l.Fields["SinceStep"] = f.robust, f.since
		l.Fields["Fault"], l.Fields["Route"], l.Fields["Evidence"], l.Fields["Needed"] = f.fault.String(), f.route, f.evidence, f.needed
	}
	return cmds
}

// planCall plans a call to the store, after a jitter.
func (r *rollout) planCall(now time.Time) {
	r.callAt = now.Add(time.Duration(r.m.random() * float64(min(time.Duration(r.m.peers)*writeJitter, maxWriteJitter))))
}

func (r *rollout) storeFailed(now time.Time) {
	r.calling = false
	r.planCall(now.Add(storeBackoff))
}

// status applies what the store holds.
func (r *rollout) status(held Phase, now time.Time) []Cmd {
	r.calling, r.callAt = false, time.Time{}
	if held.IsOutcome() {
		return r.enter(held, "found in the store", now)
	}
	if held == Trial {
		r.written = true
	}
	cmds := r.enter(Trial, "under way", now)
	if r.wants() != Unknown {
		r.planCall(now.Add(storeBackoff))
	}
	return cmds
}

// wants returns what the store is to hold; Unknown if it is as it should be.
func (r *rollout) wants() Phase {
	switch {
	case r.phase.IsOutcome() || r.phase == Unknown:
		return Unknown
	case !r.written:
		return Trial
	case r.phase == Stopped:
		return RolledBack
	case r.phase == Moved && !r.movedAt.IsZero() && r.drained:
		return Completed
	}
	return Unknown
}

// hear applies the report of a peer.
func (r *rollout) hear(report Report, now time.Time) []Cmd {
	from := Incarnation{report.From, report.Born}
	if r.ledger.merge(from, report.Counted) {
		r.stale = true
	}
	known, ok := r.peers[report.From]
	if ok && report.Born < known.born {
		return nil // from an earlier life of the peer
	}
	r.peers[report.From] = peer{born: report.Born, heardAt: now, drained: report.Drained}
	if since := now.Add(-min(report.Age, r.order.Ramp)); since.Before(r.since) {
		r.since = since
	}
	r.written = r.written || report.Written
	if r.phase == Unknown && len(report.Base) > 0 {
		r.base = map[loader.TargetVersion]bool{}
		for _, v := range report.Base {
			r.base[v] = true
		}
	}
	return r.enter(report.Phase, "told by "+string(report.From), now)
}

// report returns the entry's report.
func (r *rollout) report(now time.Time) Report {
	counted, _, _ := r.gate.take()
	return Report{
		Service: r.order.Service, ToVersion: r.order.ToVersion, From: r.m.self.Entry, Born: r.m.self.Born,
		Age: now.Sub(r.since), Phase: r.phase, Drained: r.drained, Written: r.written,
		Ask: r.phase == Unknown, Base: slices.Sorted(maps.Keys(r.base)), Counted: counted,
	}
}

// tick advances the roll-out.
func (r *rollout) tick(now time.Time) []Cmd {
	if r.phase.IsOutcome() && now.Sub(r.endedAt) > outcomeReports {
		return nil
	}
	counted, fresh, baseline := r.gate.take()
	if fresh && r.ledger.merge(r.m.self, counted) {
		r.stale = true
	}
	cmds := r.decide(now)
	r.setShare(now)
	if drained := r.phase == Moved && baseline == 0; drained != r.drained {
		r.drained, r.reportNow = drained, true
	}
	cmds = append(cmds, r.callStore(now)...)
	due := now.Sub(r.reportedAt)
	if r.reportNow || due >= reportInterval || fresh && due >= minReportInterval {
		r.reportNow, r.reportedAt = false, now
		report := r.report(now)
		if r.phase == Unknown {
			cmds = append(cmds, AskCmd{report})
		} else {
			cmds = append(cmds, SpreadCmd{report})
		}
	} else if fresh {
		r.gate.postpone()
	}
	return cmds
}

// decide takes the verdict that the evidence allows.
func (r *rollout) decide(now time.Time) []Cmd {
	if r.phase != Trial && r.phase != Shift && r.phase != Moved {
		return nil
	}
	if r.stale && now.Sub(r.assessedAt) >= assessInterval {
		r.stale, r.assessedAt = false, now
		r.finding = assess(r.ledger.sum, r.groups())
	}
	f, canary := r.finding, r.ledger.total(loader.Canary)
	switch {
	case r.phase == Moved && now.Sub(r.movedAt) > settleTime/2:
		// An entry may be about to write the outcome, and wouldn't learn in time that
		// requests go to the old version again.
		return nil
	case f.bad:
		return r.stop("more "+f.fault.String()+" than the version in service", f, now)
	case canary.bad() >= badAnswersLimit && f.robust > math.Log(suspiciousRatio)/2:
		return r.stop("many bad answers", f, now)
	}
	elapsed := now.Sub(r.since)
	shiftAt, moveAt := r.schedule()
	groups := r.groups()
	switch {
	case groups == 0 && r.phase != Trial:
		return r.stop("new version has no targets", f, now)
	case groups == 0 && elapsed < time.Duration(unprovedFraction*float64(r.order.Ramp)):
		return nil
	case r.phase == Trial && elapsed >= time.Duration(unprovedFraction*float64(r.order.Ramp)):
		return r.stop("not proved", f, now)
	case r.phase == Trial && elapsed >= shiftAt && r.isProved(elapsed >= moveAt):
		return r.enter(Shift, "proved", now)
	case r.phase == Shift && elapsed >= time.Duration(unprovedFraction*float64(r.order.Ramp)):
		return r.stop("not proved", f, now)
	case r.phase == Shift && elapsed >= moveAt && r.isProved(true):
		return r.enter(Moved, "proved", now)
	}
	return nil
}

// isProved reports whether the new version has shown that it is no worse.
func (r *rollout) isProved(late bool) bool {
	n := uint32(minAnswers)
	if late {
		n = fewAnswers
	}
	return r.ledger.total(loader.Canary).Answers >= n && r.finding.suspicion < math.Log(suspiciousRatio)
}

// schedule returns the times after the order at which the share begins to grow and at
// which all requests are moved.
func (r *rollout) schedule() (shiftAt, moveAt time.Duration) {
	ramp := float64(r.order.Ramp)
	moveAt = r.order.Ramp - min(time.Duration(reserveFraction*ramp), maxReserve)
	return moveAt - min(time.Duration(shiftFraction*ramp), maxShift), moveAt
}

// groups returns the number of groups that have targets of the new version.
func (r *rollout) groups() int {
	groups := map[int]bool{}
	for name, v := range r.m.targets[r.order.Service] {
		if v == r.order.ToVersion {
			groups[groupOf(name)] = true
		}
	}
	return len(groups)
}

// setShare sets the share of the new version for the phase and the time.
func (r *rollout) setShare(now time.Time) {
	switch r.phase {
	case Trial:
		shiftAt, _ := r.schedule()
		r.step = min(Step(float64(now.Sub(r.since))/float64(shiftAt)*float64(trialSteps)), trialSteps-1)
		r.share = trialMargin * r.m.exposure
		if !r.written {
			// An entry that learns of an order late mustn't send to a version that
			// was rolled back meanwhile.
			r.share = 0
		} else if r.ledger.total(loader.Canary).Answers >= amplyProved {
			r.step, r.share = r.step+trialSteps, r.share/restDivisor
		} else if r.fresh {
			if !r.extraAt.IsZero() {
				r.gate.add(extraRequests * r.m.part * float64(now.Sub(r.extraAt)) / float64(shiftAt))
			}
			r.extraAt = now
		}
	case Shift:
		shiftAt, moveAt := r.schedule()
		i := int(float64(now.Sub(r.since)-shiftAt) / float64(moveAt-shiftAt) * float64(len(shiftShares)))
		i = min(max(i, 0), len(shiftShares)-1)
		r.step, r.share = 2*trialSteps+Step(i), shiftShares[i]
		if !r.isProved(true) {
			// Evidence has come up since: no more exposure until it is settled.
			r.step, r.share = 2*trialSteps-1, trialMargin*r.m.exposure/restDivisor
		}
	case Moved:
		r.step, r.share = steps-1, 1
	default:
		r.step, r.share = 0, 0
	}
	r.gate.set(r.share, r.step, r.phase == Moved)
}

// callStore makes the call to the store that is due.
func (r *rollout) callStore(now time.Time) []Cmd {
	want := r.wants()
	if r.phase.IsOutcome() || r.calling || want == Unknown && r.phase != Unknown {
		return nil
	}
	if want == Completed && !r.allDrained(now) {
		return nil
	}
	if r.callAt.IsZero() {
		r.planCall(now)
	}
	if now.Before(r.callAt) {
		return nil
	}
	r.calling = true
	return []Cmd{StatusCmd{Service: r.order.Service, ToVersion: r.order.ToVersion, Write: want}}
}

// allDrained reports whether no entry in touch sends to the old version any more. Each
// has had the time to report itself.
func (r *rollout) allDrained(now time.Time) bool {
	if now.Sub(r.movedAt) < settleTime {
		return false
	}
	for _, p := range r.peers {
		if !p.drained && now.Sub(p.heardAt) < freshness {
			return false
		}
	}
	return true
}
