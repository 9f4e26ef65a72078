package promoter

import (
	"hash/fnv"

	"savoryroad.dev/loader"
)

// targetGroups is the number of groups that the targets of the new version are divided
// into. A verdict needs more than one of them.
const targetGroups = 8

// Cell identifies answers that are counted together. Answers of the two cohorts are
// compared only within the same route, data centre and step: the shares are constant
// during a step, so that what comes and goes meets both cohorts alike.
type Cell struct {
	Route      loader.RouteName      `cbor:"0,keyasint"`
	DataCentre loader.DataCentreName `cbor:"1,keyasint"`
	Step       Step                  `cbor:"2,keyasint,omitempty"`
	Cohort     loader.Cohort         `cbor:"3,keyasint"`
	// Group is the group of a target of the canary; 0 for the baseline.
	Group int `cbor:"4,keyasint,omitempty"`
}

// Tally counts answers. Each of its counts only grows.
type Tally struct {
	// Answers counts the requests that the targets have run, and Failed those of them
	// that failed.
	Answers uint32 `cbor:"0,keyasint"`
	Failed  uint32 `cbor:"1,keyasint,omitempty"`
	// Timed counts the answers of targets that were not cold, and Slow those of them
	// that took much longer than usual.
	Timed uint32 `cbor:"2,keyasint,omitempty"`
	Slow  uint32 `cbor:"3,keyasint,omitempty"`
}

// Counted is the tally of a cell.
type Counted struct {
	Cell  Cell  `cbor:"0,keyasint"`
	Tally Tally `cbor:"1,keyasint"`
}

func (t Tally) plus(o Tally) Tally {
	return Tally{t.Answers + o.Answers, t.Failed + o.Failed, t.Timed + o.Timed, t.Slow + o.Slow}
}

// upTo returns the larger of each count, and the difference to t. Stale and repeated
// reports add nothing.
func (t Tally) upTo(o Tally) (merged, added Tally) {
	merged = Tally{max(t.Answers, o.Answers), max(t.Failed, o.Failed), max(t.Timed, o.Timed), max(t.Slow, o.Slow)}
	return merged, Tally{merged.Answers - t.Answers, merged.Failed - t.Failed, merged.Timed - t.Timed, merged.Slow - t.Slow}
}

// bad returns the number of answers that failed or were slow.
func (t Tally) bad() int { return int(t.Failed) + int(t.Slow) }

// Incarnation identifies one life of an entry.
type Incarnation struct {
	Entry loader.EntryName
	// Born is the start of the entry's process, as a Unix time in milliseconds.
	Born int64
}

// ledger holds the evidence of the fleet. The tallies of each incarnation are kept
// apart, so that each answer counts once, however often it is reported.
type ledger struct {
	parts map[Incarnation]map[Cell]Tally
	// sum is the sum of all parts.
	sum map[Cell]Tally
}

func newLedger() ledger {
	return ledger{parts: map[Incarnation]map[Cell]Tally{}, sum: map[Cell]Tally{}}
}

// merge adds what an incarnation has counted. It reports whether there was news in it.
func (l *ledger) merge(from Incarnation, counted []Counted) bool {
	part := l.parts[from]
	if part == nil {
		part = map[Cell]Tally{}
		l.parts[from] = part
	}
	changed := false
	for _, c := range counted {
		merged, added := part[c.Cell].upTo(c.Tally)
		if added == (Tally{}) {
			continue
		}
		part[c.Cell], changed = merged, true
		l.sum[c.Cell] = l.sum[c.Cell].plus(added)
	}
	return changed
}

// total returns the sum of a cohort.
func (l *ledger) total(c loader.Cohort) Tally {
	var t Tally
	for cell, tally := range l.sum {
		if cell.Cohort == c {
			t = t.plus(tally)
		}
	}
	return t
}

// groupOf returns the group of a target. All entries agree on it.
func groupOf(name loader.TargetName) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % targetGroups)
}
