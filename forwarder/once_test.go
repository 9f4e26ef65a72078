package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"savoryroad.dev/deduplicator"
	"savoryroad.dev/forwarder"
	"savoryroad.dev/registrar"
)

// localClaimer is a claimer that owns every key.
type localClaimer struct{ *deduplicator.Memory }

func newLocalClaimer() localClaimer {
	var shares []registrar.Share
	for s := range registrar.Share(registrar.Shares) {
		shares = append(shares, s)
	}
	o := registrar.Owner{Incarnation: "only"}
	table, _ := registrar.Table{}.Fold(registrar.Record{Claim: &registrar.Claim{Owner: o, Shares: shares}}, 0, time.Time{})
	m := deduplicator.New()
	m.Own(table, "only")
	return localClaimer{m}
}

func (o localClaimer) Claim(_ context.Context, c deduplicator.Claim) deduplicator.Verdict {
	return o.Memory.Claim(c, time.Now())
}

func (o localClaimer) Settle(key string, a deduplicator.Attempt, r deduplicator.Result) {
	o.Memory.Settle(key, a, r)
}

// A retry with the same key must not run the call again; its response depends
// on the result of the first call.
func TestRetryWithSameKey(t *testing.T) {
	var runs atomic.Int64
	created := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/own")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "receipt")
	})
	long := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
	})
	failed := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	})
	closing, sends := serveRaw(t, readRequest)
	dead := unusedAddress(t)
	tests := []struct {
		name, address string
		status        int
		outcome, body string
	}{
		{"answered", created, 201, "Answered", "receipt"},
		{"answered at length", long, 409, "Answered", "too large to keep"},
		{"failed", failed, 500, "Failed", ""},
		{"broke off", closing, 409, "Unknown", "outcome is not known"},
		{"never ran", dead, 502, "NotRun", "no connection"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs.Store(0)
			sends.Store(0)
			f := newFixture(t, "Retry: {Attempts: 1}", test.address)
			f.SetClaimer(newLocalClaimer())
			key := uuid.Must(uuid.NewV7()).String()
			if _, _, err := do(t, "POST", f.url+"/buy?x", "{}", forwarder.KeyHeader, key); err != nil {
				t.Fatal(err)
			}
			resp, body, err := do(t, "POST", f.url+"/buy?x", "{}", forwarder.KeyHeader, strings.ToUpper(key))
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.Header.Get(forwarder.OutcomeHeader); resp.StatusCode != test.status || got != test.outcome || !strings.Contains(body, test.body) {
				t.Errorf("second time: %d %s %q, want %d %s %q", resp.StatusCode, got, body, test.status, test.outcome, test.body)
			}
			if n := runs.Load() + sends.Load(); n > 1 {
				t.Errorf("ran %d times", n)
			}
			resp, _, err = do(t, "POST", f.url+"/buy?x", "{other}", forwarder.KeyHeader, key)
			if err != nil {
				t.Fatal(err)
			}
			if test.outcome != "NotRun" && resp.StatusCode != http.StatusUnprocessableEntity {
				t.Errorf("another call with the key: %d, want 422", resp.StatusCode)
			}
		})
	}
}

func TestInvalidKeyIsRejected(t *testing.T) {
	f := newFixture(t, "", serve(t, ok))
	f.SetClaimer(newLocalClaimer())
	for name, key := range map[string]string{
		"missing": "", "opaque": "order-17", "random": uuid.NewString(),
		"from the future": strings.Replace(uuid.Must(uuid.NewV7()).String(), "01", "7f", 1),
	} {
		resp, _, err := do(t, "POST", f.url+"/buy?x", "{}", forwarder.KeyHeader, key)
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Header.Get(forwarder.OutcomeHeader); resp.StatusCode != http.StatusBadRequest || got != "NotRun" {
			t.Errorf("%s: %d %s", name, resp.StatusCode, got)
		}
	}
	old := "00000000-0000-7000-8000-000000000000"
	resp, _, err := do(t, "POST", f.url+"/buy?x", "{}", forwarder.KeyHeader, old)
	if err != nil || resp.Header.Get(forwarder.OutcomeHeader) != "Unknown" {
		t.Errorf("old key: %v %v, want Unknown", resp, err)
	}
}

func TestUnreachableOwnerBlocksDispatch(t *testing.T) {
	f := newFixture(t, "", serve(t, ok))
	f.SetClaimer(unreachableOwner{})
	resp, _, err := do(t, "POST", f.url+"/buy", "{}")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(forwarder.OutcomeHeader) != "Unknown" {
		t.Errorf("%v %v", resp, err)
	}
}

// unreachableOwner is a claimer whose key owners can't be reached.
type unreachableOwner struct{ grantingClaimer }

func (unreachableOwner) Claim(context.Context, deduplicator.Claim) deduplicator.Verdict {
	return deduplicator.Refused{Reason: deduplicator.Unreachable}
}
