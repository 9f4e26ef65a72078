package publisher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"savoryroad.dev/appender"
	"savoryroad.dev/emulator"
	"savoryroad.dev/publisher"
)

// change makes a change of one field of the base.
func change(id string, expected publisher.Revision, field, value string) publisher.Change {
	patch, _ := json.Marshal(map[string]string{field: value})
	return publisher.Change{ID: publisher.ChangeID(id), Expected: expected, Author: "test", Base: patch}
}

func record(t testing.TB, offset int, e publisher.Entry) appender.Record {
	t.Helper()
	data, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return appender.Record{Offset: appender.Offset(offset), Time: time.Unix(int64(offset), 0).UTC(), Data: data}
}

func TestFirstChangeOnARevisionWins(t *testing.T) {
	a := change("a", 0, "Entries", "3")
	b := change("b", 0, "Entries", "4")
	var s publisher.State
	s, v := s.Fold(record(t, 0, publisher.Entry{Change: &a}))
	if _, ok := v.(publisher.Accept); !ok {
		t.Fatalf("first change: %#v", v)
	}
	s, v = s.Fold(record(t, 1, publisher.Entry{Change: &b}))
	rej, ok := v.(publisher.Reject)
	if !ok || rej.Winner.ID != "a" {
		t.Errorf("second change: %#v, want a rejection that names a", v)
	}
	s, v = s.Fold(record(t, 2, publisher.Entry{Change: &a}))
	if _, ok := v.(publisher.Repeat); !ok {
		t.Errorf("repeated change: %#v", v)
	}
	if s.Revision != 1 || string(s.Base) != `{"Entries":"3"}` {
		t.Errorf("state = %d %s", s.Revision, s.Base)
	}
}

func TestJunkIsSkippedAlike(t *testing.T) {
	var s publisher.State
	for _, data := range []string{`{}`, `7`, `{"Change":3}`, `{"Change":{"ID":"x","Base":[1]}}`, `"\u0000"`} {
		next, v := s.Fold(appender.Record{Data: json.RawMessage(data)})
		if _, ok := v.(publisher.Junk); !ok || next.Revision != 0 {
			t.Errorf("%s: %#v, revision %d", data, v, next.Revision)
		}
	}
}

// drawStream draws records of racing, repeated and junk changes, and of
// snapshots by readers that have read any part of the stream.
func drawStream(t *rapid.T) []appender.Record {
	var records []appender.Record
	readers := []publisher.Reader{{}}
	var r publisher.Reader
	for n := range rapid.IntRange(1, 40).Draw(t, "records") {
		var data []byte
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			data = []byte(`{"Other":1}`)
		case 1:
			old := rapid.SampledFrom(readers).Draw(t, "snapshot of")
			if old.Next == 0 {
				continue
			}
			data, _ = old.Snapshot()
		default:
			behind := rapid.IntRange(0, 2).Draw(t, "behind")
			expected := publisher.Revision(max(0, int(r.State.Revision)-behind))
			id := fmt.Sprintf("c%d", rapid.IntRange(0, n).Draw(t, "id"))
			c := change(id, expected, rapid.SampledFrom([]string{"A", "B"}).Draw(t, "field"), fmt.Sprint(n))
			data, _ = json.Marshal(publisher.Entry{Change: &c})
		}
		rec := appender.Record{Offset: appender.Offset(len(records)), Time: time.Unix(int64(n), 0).UTC(), Data: data}
		records = append(records, rec)
		r, _ = r.Read(page(records, 0, int(rec.Offset)))
		readers = append(readers, r)
	}
	return records
}

// page returns the records from an offset on, of a log that has forgotten
// those below head.
func page(records []appender.Record, head, from int) appender.Page {
	from = max(head, from)
	return appender.Page{
		Head:    appender.Offset(head),
		Next:    appender.Offset(len(records)),
		End:     appender.Offset(len(records)),
		Records: records[from:],
	}
}

// Whoever reads the stream, in whatever pieces and from whatever head, holds
// the same state once it is synced, and no reader ever goes back.
func TestPropertyReadersAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawStream(t)
		var whole publisher.Reader
		whole, _ = whole.Read(page(records, 0, 0))

		var r publisher.Reader
		head := 0
		for end := 0; end < len(records); {
			end = rapid.IntRange(end+1, len(records)).Draw(t, "read to")
			head = rapid.IntRange(head, end).Draw(t, "forgotten below")
			before := r.State.Revision
			r, _ = r.Read(page(records[:end], head, int(r.Next)))
			if r.State.Revision < before {
				t.Fatalf("went back from revision %d to %d", before, r.State.Revision)
			}
		}
		if !r.Synced {
			return
		}
		if diff := cmp.Diff(whole.State, r.State); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A snapshot that covers the gap syncs a reader that starts late.
func TestLateReaderStartsFromASnapshot(t *testing.T) {
	a, b := change("a", 0, "A", "1"), change("b", 1, "A", "2")
	records := []appender.Record{record(t, 0, publisher.Entry{Change: &a})}
	var early publisher.Reader
	early, _ = early.Read(page(records, 0, 0))
	data, err := early.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	records = append(records,
		record(t, 1, publisher.Entry{Change: &b}),
		appender.Record{Offset: 2, Data: data})
	var late publisher.Reader
	late, _ = late.Read(page(records[:2], 1, 0))
	if late.Synced || late.State.Revision != 0 {
		t.Fatalf("synced without the first record: %+v", late)
	}
	late, _ = late.Read(page(records, 1, int(late.Next)))
	if !late.Synced || late.State.Revision != 2 {
		t.Errorf("synced %v at revision %d, want revision 2", late.Synced, late.State.Revision)
	}
}

// Applying the difference between two documents gives the second one.
func TestPropertyDiffApplies(t *testing.T) {
	doc := rapid.Custom(func(t *rapid.T) []byte {
		m := rapid.MapOf(rapid.SampledFrom([]string{"A", "B", "C"}),
			rapid.MapOf(rapid.SampledFrom([]string{"x", "y"}), rapid.SampledFrom([]string{"1", "2"}))).Draw(t, "doc")
		data, _ := json.Marshal(m)
		return data
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := doc.Draw(t, "from"), doc.Draw(t, "to")
		s := publisher.State{Base: from}
		c, err := s.Diff(to, nil)
		if err != nil {
			t.Fatal(err)
		}
		next, err := s.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		var got, want any
		_ = json.Unmarshal(next.BaseJSON(), &got)
		_ = json.Unmarshal(to, &want)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Racing operators on one revision: exactly one wins, and each loser learns
// to whom; also when the log loses acknowledgements.
func TestRacingOperators(t *testing.T) {
	for _, lost := range []float64{0, 0.5} {
		synctest.Test(t, func(t *testing.T) {
			log := emulator.NewLog(time.Hour, 7)
			log.SetFaults(emulator.Faults{LostAcks: lost, Delay: 10 * time.Millisecond})
			const operators = 8
			results := make([]publisher.Result, operators)
			var wg sync.WaitGroup
			for n := range operators {
				wg.Go(func() {
					c := change(fmt.Sprintf("c%d", n), 0, "Entries", fmt.Sprint(n))
					results[n] = publisher.Publish(t.Context(), log, publisher.Reader{}, c)
				})
			}
			wg.Wait()
			checkOneWinner(t, results)
		})
	}
}

func checkOneWinner(t *testing.T, results []publisher.Result) {
	t.Helper()
	var winner publisher.ChangeID
	won := 0
	for _, res := range results {
		if p, ok := res.(publisher.Published); ok {
			won++
			winner = p.Accepted.ID
		}
	}
	if won != 1 {
		t.Fatalf("%d operators won: %#v", won, results)
	}
	for _, res := range results {
		if lost, ok := res.(publisher.Lost); ok && lost.Reject.Winner.ID != winner {
			t.Errorf("loser was told %q won, want %q", lost.Reject.Winner.ID, winner)
		}
	}
}

func TestPublishWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := emulator.NewLog(time.Hour, 7)
		log.SetFaults(emulator.Faults{Down: true})
		res := publisher.Publish(t.Context(), log, publisher.Reader{}, change("a", 0, "A", "1"))
		if _, ok := res.(publisher.NotPublished); !ok {
			t.Errorf("result = %#v, want NotPublished", res)
		}
	})
}

// lostThenDown takes the first append, hides it, and is down afterwards.
type lostThenDown struct{ *emulator.Log }

func (l lostThenDown) Append(ctx context.Context, s appender.Stream, data []byte) appender.Outcome {
	l.SetFaults(emulator.Faults{LostAcks: 1})
	o := l.Log.Append(ctx, s, data)
	l.SetFaults(emulator.Faults{Down: true})
	return o
}

// An append that may have taken effect is never reported as not published,
// and publishing it again tells the truth.
func TestLostAcknowledgementIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := emulator.NewLog(time.Hour, 7)
		c := change("a", 0, "A", "1")
		res := publisher.Publish(t.Context(), lostThenDown{log}, publisher.Reader{}, c)
		if _, ok := res.(publisher.Uncertain); !ok {
			t.Fatalf("result = %#v, want Uncertain", res)
		}
		log.SetFaults(emulator.Faults{})
		res = publisher.Publish(t.Context(), log, publisher.Reader{}, c)
		if p, ok := res.(publisher.Published); !ok || p.Accepted.Revision != 1 {
			t.Errorf("result = %#v, want Published as revision 1", res)
		}
	})
}
