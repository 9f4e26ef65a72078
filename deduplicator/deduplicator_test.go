package deduplicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"savoryroad.dev/registrar"
)

// keyAt returns a key that carries a time; n tells keys of one time apart.
func keyAt(at time.Time, n byte) string {
	u := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	ms := at.UnixMilli()
	for i := range 6 {
		u[5-i] = byte(ms >> (8 * i))
	}
	return u.String()
}

// fleet is a model of entries that follow one log, at different speeds, and of
// claims that are in the hands of the network.
type fleet struct {
	now     time.Time
	log     []logged
	entries []*member
	// grants counts, for each key, the dispatches that may have run.
	grants map[string]int
	// attempts holds the attempts that are granted and not over.
	attempts []attempt
	next     int
}

type logged struct {
	record registrar.Record
	at     time.Time
}

type member struct {
	id     registrar.Incarnation
	memory *Memory
	table  registrar.Table
	// read counts the records read.
	read int
	gone bool
	// moving holds a transfer whose append has an unknown outcome.
	moving *registrar.Transfer
	// skew is how far the member's clock is off.
	skew time.Duration
}

type attempt struct {
	key string
	id  Attempt
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{now: time.UnixMilli(1_700_000_000_000), grants: map[string]int{}}
	for range 3 {
		f.join(t)
	}
	return f
}

func (f *fleet) join(t *rapid.T) {
	f.next++
	m := &member{id: registrar.Incarnation(fmt.Sprintf("i%d", f.next)), memory: New()}
	m.skew = time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
	f.entries = append(f.entries, m)
}

func (f *fleet) append(r registrar.Record) {
	f.log = append(f.log, logged{r, f.now})
}

// catchUp lets a member read some of the log.
func (f *fleet) catchUp(m *member, n int) {
	for ; n > 0 && m.read < len(f.log); n-- {
		l := f.log[m.read]
		m.table, _ = m.table.Fold(l.record, registrar.Term(m.read), l.at)
		m.read++
		m.memory.Own(m.table, m.id)
		if m.moving != nil && l.record.Transfer == m.moving {
			m.moving = nil
		}
	}
}

func (f *fleet) live() []*member {
	var all []*member
	for _, m := range f.entries {
		if !m.gone {
			all = append(all, m)
		}
	}
	return all
}

// claim puts a claim to any member, whether or not it is the owner.
func (f *fleet) claim(t *rapid.T, m *member, key string) {
	f.next++
	c := Claim{
		Key:      key,
		Attempt:  Attempt(fmt.Sprintf("a%d", f.next)),
		Deadline: f.now.Add(time.Second),
	}
	if len(f.attempts) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
		a := rapid.SampledFrom(f.attempts).Draw(t, "repeated")
		c.Key, c.Attempt = a.key, a.id
		m.memory.Claim(c, f.now.Add(m.skew))
		return // The attempt is granted already, and runs once.
	}
	if _, ok := m.memory.Claim(c, f.now.Add(m.skew)).(Granted); ok {
		f.grants[key]++
		f.attempts = append(f.attempts, attempt{key, c.Attempt})
	}
}

// settle ends an attempt, at any member that may take the result.
func (f *fleet) settle(t *rapid.T, m *member) {
	if len(f.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.attempts)-1).Draw(t, "attempt")
	a := f.attempts[i]
	notRun := rapid.Bool().Draw(t, "not run")
	// The result may be lost on its way, or reach the wrong entry.
	m.memory.Settle(a.key, a.id, Result{NotRun: notRun, Known: true})
	if notRun {
		f.grants[a.key]--
	}
	f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
}

// move starts a transfer of some shares whose record may be lost, delayed or
// appended without acknowledgement.
func (f *fleet) move(t *rapid.T, m *member) {
	mine := m.table.OwnedBy(m.id)
	others := f.live()
	to := rapid.SampledFrom(others).Draw(t, "to")
	if len(mine) == 0 || to == m || m.moving != nil {
		return
	}
	shares := mine[:rapid.IntRange(1, len(mine)).Draw(t, "shares")]
	tr := &registrar.Transfer{From: m.id, To: registrar.Owner{Incarnation: to.id}, Shares: shares}
	keys := m.memory.Freeze(shares)
	if rapid.IntRange(0, 3).Draw(t, "handover lost") == 0 {
		m.memory.Thaw(shares)
		return
	}
	to.memory.Receive(shares, keys)
	switch rapid.IntRange(0, 2).Draw(t, "append") {
	case 0:
		m.memory.Thaw(shares) // Refused: it never gets into the log.
	default:
		m.moving = tr // Unknown until it is read back; it does get there.
		f.append(registrar.Record{Transfer: tr})
	}
}

func (f *fleet) step(t *rapid.T) {
	live := f.live()
	m := rapid.SampledFrom(live).Draw(t, "member")
	switch rapid.IntRange(0, 13).Draw(t, "step") {
	case 0:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
	case 1:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "minutes")) * time.Minute)
		m.memory.Forget(f.now.Add(m.skew))
	case 2:
		f.append(registrar.Record{Claim: &registrar.Claim{Owner: registrar.Owner{Incarnation: m.id}, Shares: m.table.Vacant()}})
	case 3:
		f.move(t, m)
	case 4:
		if len(live) > 1 {
			m.gone = true
			f.join(t)
		}
	case 5:
		for _, gone := range f.entries {
			if gone.gone {
				f.append(registrar.Record{Eviction: &registrar.Eviction{Gone: gone.id}})
			}
		}
	case 6:
		f.settle(t, m)
	case 7, 8, 9:
		for _, m := range live {
			f.catchUp(m, rapid.IntRange(0, 5).Draw(t, "records"))
		}
	default:
		age := time.Duration(rapid.IntRange(-30_000, 20_000).Draw(t, "age")) * time.Millisecond
		key := keyAt(f.now.Add(-age), byte(rapid.IntRange(0, 2).Draw(t, "n")))
		if len(f.grants) > 0 && rapid.Bool().Draw(t, "known key") {
			keys := make([]string, 0, len(f.grants))
			for k := range f.grants {
				keys = append(keys, k)
			}
			key = smallest(keys, rapid.IntRange(0, len(keys)-1).Draw(t, "which"))
		}
		f.claim(t, m, key)
	}
}

// smallest returns the n-th key in order, so that a draw means the same on
// every run.
func smallest(keys []string, n int) string {
	for i := range keys {
		for j := i + 1; j < len(keys); j++ {
			if keys[j] < keys[i] {
				keys[i], keys[j] = keys[j], keys[i]
			}
		}
	}
	return keys[n]
}

// Whatever the members' views, pauses, deaths, lost handovers and lost
// acknowledgements: no key is dispatched a second time, unless its first
// dispatch provably did not run.
func TestPropertyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.step(t)
			for key, n := range f.grants {
				if n > 1 {
					t.Fatalf("key %s was dispatched %d times", key, n)
				}
			}
		}
	})
}

func TestKeyTime(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_123)
	if got, ok := KeyTime(keyAt(at, 1)); !ok || !got.Equal(at) {
		t.Errorf("time = %v %v, want %v", got, ok, at)
	}
	for _, key := range []string{"", "x", uuid.NewString(), "urn:uuid:" + keyAt(at, 1)} {
		if _, ok := KeyTime(key); ok {
			t.Errorf("%q passed for a key with a time", key)
		}
	}
}

// A new owner whose predecessor took its memory with it refuses every key that
// the predecessor may have granted, ahead of its time by the skew included.
func TestTakeoverRefusesWhatTheLostMemoryMayHold(t *testing.T) {
	lost := time.UnixMilli(1_700_000_000_000)
	table, _ := registrar.Table{}.Fold(registrar.Record{Claim: &registrar.Claim{Owner: registrar.Owner{Incarnation: "old"}, Shares: registrar.Table{}.Vacant()}}, 0, lost)
	table, _ = table.Fold(registrar.Record{Eviction: &registrar.Eviction{Gone: "old"}}, 1, lost)
	table, _ = table.Fold(registrar.Record{Claim: &registrar.Claim{Owner: registrar.Owner{Incarnation: "new"}, Shares: table.Vacant()}}, 0, lost)
	tests := []struct {
		age  time.Duration
		want Verdict
	}{
		{-time.Second, Refused{Reason: TooOld}},
		{0, Refused{Reason: TooOld}},
		{MaxSkew, Refused{Reason: TooOld}},
		{MaxSkew + clockError, Refused{Reason: TooOld}},
		{MaxSkew + clockError + time.Millisecond, Granted{}},
	}
	for _, test := range tests {
		m := New()
		m.Own(table, "new")
		at := lost.Add(test.age)
		if got := m.Claim(Claim{Key: keyAt(at, 1), Attempt: "a"}, at); got != test.want {
			t.Errorf("key %v after the loss: %#v, want %#v", test.age, got, test.want)
		}
	}
	m := New()
	m.Own(table, "new")
	now := lost.Add(time.Minute)
	if got := m.Claim(Claim{Key: keyAt(now.Add(MaxSkew+time.Millisecond), 1)}, now); got != (Refused{Reason: Future}) {
		t.Errorf("key from the future: %#v", got)
	}
}
