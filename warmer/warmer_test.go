package warmer

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"savoryroad.dev/registrar"
)

// init fixes the seed of the property tests; the command line may set another,
// and 0 means a new one for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const target = "service/target"

// entry is an entry in the model: its ramp, its shares, and its calls.
type entry struct {
	ramp        Ramp
	owned       []registrar.Share
	outstanding int
	// limit is what the entry may have outstanding at most.
	limit int
}

func (e *entry) update() { e.limit = registrar.Part(target, e.ramp.Allowed(), e.owned) }

// fleet is a model of entries that share one target in cold start. Messages
// may be lost, late, repeated and out of order; shares change hands.
type fleet struct {
	entries  []*entry
	messages []Level
	term     registrar.Term
	home     int
	// raised is the highest level that a home announced, or -1 once the target
	// was warm.
	raised int
}

func (f *fleet) announce(l Level) {
	f.messages = append(f.messages, l)
	if l.Warm() {
		f.raised = -1
	}
	if f.raised >= 0 {
		f.raised = max(f.raised, l.Allowed)
	}
}

func (f *fleet) step(t *rapid.T) {
	e := rapid.SampledFrom(f.entries).Draw(t, "entry")
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		if e.outstanding < e.limit {
			e.outstanding++
		}
	case 2:
		if e.outstanding > 0 {
			e.outstanding--
			rose := e.ramp.Answered(rapid.Bool().Draw(t, "good"))
			if rose && !e.ramp.Home {
				t.Fatal("an entry that is not the home raised the level")
			}
			if rose {
				f.announce(e.ramp.Level)
			}
		}
	case 3:
		if len(f.messages) > 0 {
			e.ramp.Hear(rapid.SampledFrom(f.messages).Draw(t, "message"))
		}
	case 4:
		if e.ramp.Failed() && e.ramp.Home {
			f.announce(e.ramp.Level)
		}
	case 5:
		f.move(t, e)
	}
	for _, e := range f.entries {
		e.update()
	}
}

// move transfers all shares of an entry that has no outstanding calls to
// another entry.
func (f *fleet) move(t *rapid.T, from *entry) {
	to := rapid.SampledFrom(f.entries).Draw(t, "to")
	if to == from || from.outstanding > 0 || len(from.owned) == 0 {
		return
	}
	f.term++
	handedOver := rapid.Bool().Draw(t, "handed over")
	if handedOver {
		to.ramp.Hear(from.ramp.Level)
	}
	wasHome := from.ramp.Home
	to.owned = append(to.owned, from.owned...)
	from.owned = nil
	from.ramp.Settle(false, 0, false)
	if wasHome && to.ramp.Settle(true, f.term, handedOver) {
		f.announce(to.ramp.Level)
	}
}

// The calls of all entries stay within the cold limit, and then within the
// highest level that a home announced, also when messages are lost, late,
// repeated or out of order and shares change owners.
func TestPropertyColdLimitHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 5).Draw(t, "cold")
		f := &fleet{raised: cold}
		for range 4 {
			f.entries = append(f.entries, &entry{ramp: New(Limits{Cold: cold, Answers: 3, Full: 64})})
		}
		for s := range registrar.Share(registrar.Shares) {
			n := rapid.IntRange(0, len(f.entries)-1).Draw(t, "owner")
			f.entries[n].owned = append(f.entries[n].owned, s)
			if s == registrar.ShareOf(target) {
				f.entries[n].ramp.Settle(true, 0, false)
				f.entries[n].ramp.Home = true
			}
		}
		for _, e := range f.entries {
			e.update()
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			f.step(t)
			if f.raised < 0 {
				return
			}
			sum := 0
			for _, e := range f.entries {
				sum += e.outstanding
			}
			if sum > f.raised {
				t.Fatalf("%d calls outstanding, %d allowed", sum, f.raised)
			}
		}
	})
}

// Good answers raise a target from its cold limit to warm, and a failure makes
// it cold again at every entry that is informed.
func TestRampUpAndDown(t *testing.T) {
	l := Limits{Cold: 1, Answers: 20, Full: 6}
	home, other := New(l), New(l)
	home.Settle(true, 7, false)
	var levels []int
	for range 100 {
		if home.Answered(true) {
			levels = append(levels, home.Level.Allowed)
			other.Hear(home.Level)
		}
	}
	if len(levels) != 3 || levels[0] != 2 || levels[1] != 4 || levels[2] != 0 {
		t.Errorf("levels = %v, want 2, 4, 0 (warm)", levels)
	}
	if !other.Level.Warm() {
		t.Error("the other entry did not learn that the target is warm")
	}
	warm := home.Level
	if !other.Failed() || other.Allowed() != 1 {
		t.Errorf("after a failure the other entry allows %d", other.Allowed())
	}
	if !home.Failed() || !other.Hear(home.Level) || other.Allowed() != 1 {
		t.Error("the failure did not spread")
	}
	if other.Hear(warm) {
		t.Error("a late message made the target warm again")
	}
}
