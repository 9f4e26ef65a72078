package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/appender"
)

const (
	// maxAppends bounds how often one change is appended.
	maxAppends = 5
	// firstBackoff is the wait before the second append; it doubles.
	firstBackoff = 50 * time.Millisecond
)

// Result is what became of a published change: Published, Lost, NotPublished
// or Uncertain.
type Result interface{ result() }

// Published says that the change is accepted.
type Published struct{ Accepted Accepted }

// Lost says that another change was accepted first.
type Lost struct{ Reject Reject }

// NotPublished says that the change is not in the log and never will be.
type NotPublished struct{ Reason error }

// Uncertain says that the change may be in the log, or may yet get there. To
// publish the same change again, with the same id, is safe.
type Uncertain struct{ Cause error }

func (Published) result()    {}
func (Lost) result()         {}
func (NotPublished) result() {}
func (Uncertain) result()    {}

// Load reads the whole stream. An error is a failed read, or a stream whose
// beginning is gone without a snapshot.
func Load(ctx context.Context, log appender.Log) (Reader, []Verdict, error) {
	return Catch(ctx, log, Reader{})
}

// Catch reads on from a reader to the stream's end.
func Catch(ctx context.Context, log appender.Log, r Reader) (Reader, []Verdict, error) {
	var verdicts []Verdict
	for {
		p, err := log.Read(ctx, Stream, r.Next, 0)
		if err != nil {
			return r, verdicts, err
		}
		var more []Verdict
		r, more = r.Read(p)
		verdicts = append(verdicts, more...)
		if r.Next < p.End {
			continue
		}
		if !r.Synced {
			return r, verdicts, errors.Newf("the log starts at offset %d and holds no snapshot that covers what came before", p.Head)
		}
		return r, verdicts, nil
	}
}

// Publish appends a change and reads the log until its fate is known. It is
// safe to call again with the same change, whatever the result.
func Publish(ctx context.Context, log appender.Log, from Reader, c Change) Result {
	data, err := json.Marshal(Entry{Change: &c})
	if err != nil {
		return NotPublished{Reason: errors.Wrap(err, "change")}
	}
	var doubt error
	backoff := firstBackoff
	for range maxAppends {
		switch o := log.Append(ctx, Stream, data).(type) {
		case appender.Refused:
			if doubt == nil {
				return NotPublished{Reason: o.Reason}
			}
		case appender.Unknown:
			doubt = o.Cause
		case appender.Appended:
			doubt = errors.Newf("appended at offset %d, not read back", o.Offset)
		}
		if res := fate(ctx, log, from, c.ID); res != nil {
			return res
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff *= 2
	}
	return Uncertain{Cause: doubt}
}

// fate returns what the log says became of a change, or nil.
func fate(ctx context.Context, log appender.Log, from Reader, id ChangeID) Result {
	r, verdicts, err := Catch(ctx, log, from)
	if err != nil {
		return nil
	}
	if a, ok := r.State.Find(id); ok {
		return Published{Accepted: a}
	}
	for _, v := range verdicts {
		if rej, ok := v.(Reject); ok && rej.ID == id {
			return Lost{Reject: rej}
		}
	}
	return nil
}

// sleep waits, and tells whether the context is still good.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
