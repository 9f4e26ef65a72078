// Package publisher keeps the operators' configuration as a stream of changes
// in the platform's log.
//
// Every change names the revision that it was made on. The first change in
// log order on a revision is accepted, any other on the same revision is
// rejected, so that everyone who folds the stream ends in the same state:
//
//	var s publisher.State
//	for _, r := range page.Records {
//		s, verdict = s.Fold(r)
//	}
package publisher

import (
	"encoding/json"
	"time"

	"savoryroad.dev/appender"
	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
)

// Stream is the log's stream of configuration changes.
const Stream appender.Stream = "Configuration"

type (
	// Revision counts the accepted changes; 0 is the empty configuration.
	Revision uint64
	// ChangeID names one change, also when it is appended more than once.
	ChangeID string
)

// Entry is one record of the stream. Exactly one of its fields is set.
type Entry struct {
	Change   *Change           `json:",omitempty"`
	Snapshot *Snapshot         `json:",omitempty"`
	Fleet    *registrar.Record `json:",omitempty"`
}

// Change is an operator's edit of one document.
type Change struct {
	// ID names the change.
	ID ChangeID
	// Expected is the revision that the change was made on.
	Expected Revision
	// Author says who made it, for people to read.
	Author string
	// Note says why, for people to read.
	Note string
	// Base is a JSON merge patch (RFC 7396) of the base document, or null.
	Base json.RawMessage `json:",omitempty"`
	// Overlays holds merge patches of the sites' overlays.
	Overlays map[loader.SiteName]json.RawMessage `json:",omitempty"`
}

// Snapshot is the whole state after all records up to an offset. It is
// appended again before the log forgets the records that it stands for.
type Snapshot struct {
	// Through is the offset of the last record that the state includes; it
	// is below the snapshot's own offset.
	Through appender.Offset
	// State is the state after that record.
	State State
}

// Accepted is the trace that an accepted change leaves in the state.
type Accepted struct {
	ID       ChangeID
	Revision Revision
	Offset   appender.Offset
	// Time is when the log took the change, by the log's clock.
	Time   time.Time
	Author string
	Note   string
}

// Verdict is what the fold made of one record: Accept, Reject, Repeat, Keep,
// Move or Junk.
type Verdict interface{ verdict() }

// Accept says that a change is in force from this record on.
type Accept struct{ Accepted Accepted }

// Reject says that a change lost, and to what.
type Reject struct {
	ID       ChangeID
	Expected Revision
	// Winner is the change that made the revision after the expected one.
	Winner Accepted
}

// Repeat says that the change was accepted before.
type Repeat struct{ Accepted Accepted }

// Keep says that the record is a snapshot.
type Keep struct{ Through appender.Offset }

// Move says how many shares of the fleet changed hands.
type Move struct{ Shares int }

// Junk says that the record is none of ours; every reader skips it alike.
type Junk struct{ Reason error }

func (Accept) verdict() {}
func (Reject) verdict() {}
func (Repeat) verdict() {}
func (Keep) verdict()   {}
func (Move) verdict()   {}
func (Junk) verdict()   {}
