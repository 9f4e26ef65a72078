package publisher

import (
	"encoding/json"
	"time"

	"savoryroad.dev/appender"
)

// Reader folds a stream whose beginning the log may have forgotten. It is a
// value: each step returns the reader after it.
//
// A reader that starts past the stream's beginning waits for a snapshot that
// covers what it missed. Until then its state stays as it was, so a reader
// never goes back to an older revision.
type Reader struct {
	// State is the newest state known.
	State State
	// Next is the offset of the next record to read.
	Next appender.Offset
	// Synced tells whether State includes every record below Next.
	Synced bool
	// SnapshotAt is the latest offset of a snapshot seen.
	SnapshotAt appender.Offset
	// SnapshotRevision is that snapshot's revision.
	SnapshotRevision Revision
	// SnapshotTime is when the log took that snapshot, by the log's clock.
	SnapshotTime time.Time
	// from is the first offset read since the latest gap.
	from appender.Offset
	// pending holds the changes since the gap, while not synced.
	pending []appender.Record
}

// Read folds a page and returns the verdicts on the records that it folded.
func (r Reader) Read(p appender.Page) (Reader, []Verdict) {
	if r.Next == 0 && p.Head == 0 {
		r.Synced = true
	}
	if p.Head > r.Next {
		// The log forgot records that this reader has not seen.
		r.Synced = false
		r.pending = nil
		r.Next = p.Head
		r.from = p.Head
	}
	var verdicts []Verdict
	for _, rec := range p.Records {
		if rec.Offset < r.Next {
			continue
		}
		var more []Verdict
		r, more = r.step(rec)
		verdicts = append(verdicts, more...)
	}
	return r, verdicts
}

func (r Reader) step(rec appender.Record) (Reader, []Verdict) {
	r.Next = rec.Offset + 1
	snapshot := snapshotOf(rec)
	if snapshot != nil {
		r.SnapshotAt = rec.Offset
		r.SnapshotRevision = snapshot.State.Revision
		r.SnapshotTime = rec.Time
	}
	if r.Synced {
		next, v := r.State.Fold(rec)
		r.State = next
		return r, []Verdict{v}
	}
	if snapshot == nil {
		r.pending = append(r.pending, rec)
		return r, nil
	}
	return r.restore(*snapshot)
}

// restore takes a snapshot's state and folds what came after it, provided
// that the pending records leave no gap.
func (r Reader) restore(s Snapshot) (Reader, []Verdict) {
	if s.Through+1 < r.from {
		return r, nil
	}
	state := s.State
	var verdicts []Verdict
	for _, rec := range r.pending {
		if rec.Offset <= s.Through {
			continue
		}
		var v Verdict
		state, v = state.Fold(rec)
		verdicts = append(verdicts, v)
	}
	if state.Revision < r.State.Revision {
		return r, nil
	}
	r.State = state
	r.Synced = true
	r.pending = nil
	return r, verdicts
}

// Snapshot returns the record that stands for everything read so far.
func (r Reader) Snapshot() ([]byte, error) {
	return json.Marshal(Entry{Snapshot: &Snapshot{Through: r.Next - 1, State: r.State}})
}

// snapshotOf returns the snapshot in a record, or nil.
func snapshotOf(rec appender.Record) *Snapshot {
	var e Entry
	if err := json.Unmarshal(rec.Data, &e); err != nil {
		return nil
	}
	return e.Snapshot
}
