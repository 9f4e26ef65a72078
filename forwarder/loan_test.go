package forwarder

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/recorder"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// newTargetOwner returns a forwarder that owns one cold target.
func newTargetOwner(t *testing.T) *Forwarder {
	t.Helper()
	f := New(recorder.New(), WithSeed(1))
	table, _ := registrar.Table{}.Fold(registrar.Record{Claim: &registrar.Claim{
		Owner: registrar.Owner{Incarnation: "home"}, Shares: registrar.Table{}.Vacant(),
	}}, 1, time.Time{})
	f.SetFleet(table, "home", nil)
	d := loader.TargetDefaults{ColdAnswers: 20, ConnectTimeout: time.Second, IdleTimeout: time.Second}
	target := loader.Target{Address: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: "D", Slots: 4, Connections: 100, ColdLimit: 1}
	f.Install(1, loader.Config{Entries: 2, Services: map[loader.ServiceName]loader.Service{
		"S": {Defaults: d, Targets: map[loader.TargetName]loader.Target{"t": target}},
	}})
	return f
}

// pendingLoans counts the loans that wait.
func (f *Forwarder) pendingLoans() int {
	s := f.table.Load().services["S"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.backends[0].pending)
}

// A permit must be lent once for each id, must count as outstanding until it is
// returned, and must not be lent again under a returned id.
func TestPermitsAreLentOnce(t *testing.T) {
	f := newTargetOwner(t)
	loan := func(id string, back bool) bool {
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // Nothing waits.
		return f.Lend(ctx, warmer.Loan{Service: "S", Target: "t", ID: warmer.PermitID(id), Borrower: "other", Return: back})
	}
	steps := []struct {
		id         string
		back, want bool
	}{
		{"a", false, true},
		{"a", false, true}, // The answer was lost, and the request came again.
		{"b", false, false},
		{"a", true, true},
		{"a", true, true},
		{"a", false, false}, // A late copy of the first request.
		{"b", false, true},
	}
	for n, s := range steps {
		if got := loan(s.id, s.back); got != s.want {
			t.Errorf("step %d: loan %s, return %v: %v, want %v", n, s.id, s.back, got, s.want)
		}
	}
	if got := f.Dump().Services[0].Targets[0].Outstanding; got != 1 {
		t.Errorf("%d outstanding, want the lent permit", got)
	}
	waiting := make(chan bool)
	go func() {
		waiting <- f.Lend(t.Context(), warmer.Loan{Service: "S", Target: "t", ID: "c", Borrower: "third"})
	}()
	for f.pendingLoans() == 0 {
		time.Sleep(time.Millisecond)
	}
	loan("b", true)
	if !<-waiting {
		t.Error("the loan that waited was not granted when the permit came back")
	}
	f.Reclaim("third")
	if got := f.Dump().Services[0].Targets[0].Outstanding; got != 0 {
		t.Errorf("%d outstanding after the borrower was evicted", got)
	}
}
