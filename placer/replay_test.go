package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"savoryroad.dev/loader"
)

// replay plays a load against the decisions of one entry that sees all of it,
// with a clock of its own. Targets slow down beyond their knee and beside
// noisy neighbours, as servers with few slots do.
type replay struct {
	rand    *rand.Rand
	service *Service
	targets []*simTarget
	queue   eventQueue
	now     time.Time
	// offered counts the requests; inTime, late and refused what became of
	// them.
	offered, inTime, late, refused int
}

// simTarget is a backend server with a queue.
type simTarget struct {
	target  *Target
	slots   int
	running int
	waiting []*simRequest
	noisy   bool
	down    bool
}

type simRequest struct {
	arrived time.Time
	sent    time.Time
	choice  Choice
	tries   int
}

const (
	simWork      = 160 * time.Millisecond
	simObjective = 400 * time.Millisecond
	simDeadline  = 3 * time.Second
	simSlots     = 2
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newReplay(seed uint64, n int) *replay {
	r := &replay{rand: rand.New(rand.NewPCG(seed, 3)), service: New("s", "home", seed), now: now}
	var all []Usable
	for i := range n {
		all = append(all, Usable{Registration: Registration{
			Name: loader.TargetName(fmt.Sprintf("t%03d", i)), DataCentre: "home", Slots: simSlots,
			Address: netip.MustParseAddrPort("127.0.0.1:80"),
		}})
	}
	r.service.SetTargets(all)
	for _, u := range all {
		r.targets = append(r.targets, &simTarget{target: r.service.targets[u.Name], slots: simSlots})
	}
	return r
}

func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.queue, simEvent{r.now.Add(d), r.queue.Len() + int(r.rand.Int64N(1<<20)), do})
}

// noise lets a third of the machines have a busy neighbour, others each time.
func (r *replay) noise() {
	for _, t := range r.targets {
		t.noisy = r.rand.Float64() < 0.35
	}
	r.after(300*time.Millisecond, r.noise)
}

func (t *simTarget) pace() float64 {
	if t.noisy {
		return 4
	}
	return 1
}

// load offers requests at a rate, in requests per second, for some time.
func (r *replay) load(rate float64, d time.Duration) {
	end := r.now.Add(d)
	var next func()
	next = func() {
		if r.now.After(end) {
			return
		}
		r.offered++
		r.arrive(&simRequest{arrived: r.now})
		r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.after(0, next)
}

// arrive places a request; a refused one comes back twice.
func (r *replay) arrive(q *simRequest) {
	d := Demand{
		Route: "r", Work: simWork,
		Objective: q.arrived.Add(simObjective).Sub(r.now),
		Deadline:  q.arrived.Add(simDeadline).Sub(r.now),
	}
	asked := r.service.Candidates(nil, d, Near, 3, r.now)
	for _, t := range r.targets {
		for _, c := range asked {
			if c == t.target && !t.down {
				r.service.Report(c, Report{HasLoad: true, Load: Load{Running: t.running, Waiting: len(t.waiting), Slots: t.slots, Pace: t.pace()}}, r.now)
			}
		}
	}
	q.choice = r.service.Choose(asked, d, r.now)
	if q.choice.Target == nil || !r.service.Start(q.choice.Target, r.now) {
		if q.tries++; q.tries > 2 {
			r.refused++
			return
		}
		r.after(500*time.Millisecond, func() { r.arrive(q) })
		return
	}
	q.sent = r.now
	for _, t := range r.targets {
		if t.target == q.choice.Target {
			t.waiting = append(t.waiting, q)
			r.begin(t)
		}
	}
}

// begin runs the requests that have a slot.
func (r *replay) begin(t *simTarget) {
	for t.running < t.slots && len(t.waiting) > 0 {
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		work := simWork.Seconds() * t.pace() * (0.7 + 0.6*r.rand.Float64())
		if float64(t.running) > saturationThreshold*float64(t.slots) {
			work *= 1.7
		}
		r.after(time.Duration(work*float64(time.Second)), func() {
			t.running--
			r.service.Finish(t.target, Result{Route: "r", Answered: true, Took: r.now.Sub(q.sent), Expected: q.choice.Expected}, r.now)
			if r.now.Sub(q.arrived) <= simObjective {
				r.inTime++
			} else {
				r.late++
			}
			r.begin(t)
		})
	}
}

// run plays until nothing is left to happen but noise.
func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.queue.Len() > 0 && !r.queue[0].at.After(end); {
		e := heap.Pop(&r.queue).(simEvent)
		r.now = e.at
		e.do()
	}
}

// share is the part of the requests since an earlier moment that were in time.
func (r *replay) share(earlier replay) float64 {
	return float64(r.inTime-earlier.inTime) / float64(r.offered-earlier.offered)
}

// Through a burst of more than the targets can do, and after it, requests in
// time keep being served: those that will be late anyway don't hold the room
// that the others need. Without that, most requests of the burst end late, and
// so do those after it until the queue is gone.
func TestReplayBurstKeepsServingInTime(t *testing.T) {
	for seed := range uint64(5) {
		const targets, usual, burst = 40, 60.0, 240.0
		// What the targets end at the mean pace of 2 with one request each.
		const capacity = targets / (2 * 0.160)
		r := newReplay(seed, targets)
		r.noise()
		r.load(usual, 3*time.Second)
		r.run(3 * time.Second)
		before := *r
		r.load(burst, 5*time.Second)
		r.run(5 * time.Second)
		during := *r
		// What waits at the targets and at the callers ends meanwhile.
		r.run(time.Second)
		calm := *r
		r.load(usual, 5*time.Second)
		r.run(7 * time.Second)
		was, is := before.share(replay{}), r.share(calm)
		through := float64(during.inTime-before.inTime) / 5
		t.Logf("seed %d: in time %.2f before, %.0f of %.0f a second through the burst, %.2f after it", seed, was, through, capacity, is)
		if through < capacity/2 {
			t.Errorf("seed %d: through the burst %.0f a second are in time, of the %.0f that the targets can do", seed, through, capacity)
		}
		if is < was-0.1 {
			t.Errorf("seed %d: %.2f in time after the burst, %.2f before it", seed, is, was)
		}
	}
}
