// Package appender talks to the platform's append-only log service.
//
// An append has exactly one of three outcomes, and a caller must handle each:
//
//	switch o := log.Append(ctx, "Configuration", data).(type) {
//	case appender.Appended: // in the log at o.Offset
//	case appender.Refused:  // not in the log, and never will be
//	case appender.Unknown:  // may be in the log, now or later
//	}
package appender

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Stream names one stream of the log.
type Stream string

// Offset is the place of a record in its stream; offsets grow by one.
type Offset int64

// Record is one record of a stream.
type Record struct {
	// Offset is the record's place.
	Offset Offset
	// Time is when the log service took the record, by its own clock.
	Time time.Time
	// Data is what was appended.
	Data json.RawMessage
}

// Page is a run of records.
type Page struct {
	// Head is the oldest offset that the log still keeps.
	Head Offset
	// Next is the offset from which to read on.
	Next Offset
	// End is the offset that the next append will take.
	End Offset
	// Records are in order of offset and have no gaps.
	Records []Record
}

// Outcome is what became of an append: Appended, Refused or Unknown.
type Outcome interface{ outcome() }

// Appended says that the record is in the log.
type Appended struct {
	// Offset is the record's place.
	Offset Offset
}

// Refused says that the record is not in the log and never will be.
type Refused struct {
	// Reason says why.
	Reason error
}

// Unknown says that the record may be in the log, or may yet get there.
type Unknown struct {
	// Cause is what hid the outcome.
	Cause error
}

func (Appended) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}

// Log is the platform's log service.
type Log interface {
	// Append adds one record to the end of the stream.
	Append(ctx context.Context, s Stream, data []byte) Outcome
	// Read returns records from an offset on. When there are none it waits
	// for one, up to wait, and then returns an empty page. Reading below the
	// head starts at the head.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Page, error)
}

// StatusError is an answer of the log service that is no success.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Text is the beginning of the answer's body.
	Text string
}

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered %d: %s", e.Status, e.Text)
}
