package gateway

import (
	"net/netip"
	"testing"

	"savoryroad.dev/transporter"
)

// A request is recognised with its caller and without.
func TestFingerprintsTellCallersAndRequestsApart(t *testing.T) {
	base := transporter.Request{Method: "POST", Host: "a.example", URI: "/x", Length: 2, Body: []byte("ab")}
	caller, other := netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("192.0.2.2")
	want := newFingerprints(caller, base)
	if got := newFingerprints(other, base); got[0] == want[0] || got[1] != want[1] {
		t.Errorf("of another caller: %v, of this one: %v", got, want)
	}
	if want[0] == want[1] {
		t.Error("the fingerprints with the caller and without are the same")
	}
	for name, change := range map[string]func(*transporter.Request){
		"method": func(r *transporter.Request) { r.Method = "PUT" },
		"host":   func(r *transporter.Request) { r.Host = "b.example" },
		"URI":    func(r *transporter.Request) { r.URI = "/y" },
		"length": func(r *transporter.Request) { r.Length = 3 },
		"body":   func(r *transporter.Request) { r.Body = []byte("ac") },
	} {
		changed := base
		change(&changed)
		if got := newFingerprints(caller, changed); got[0] == want[0] || got[1] == want[1] {
			t.Errorf("another %s: %v, %v", name, got, want)
		}
	}
	withID := base
	withID.ID = "2"
	if got := newFingerprints(caller, withID); got != want {
		t.Errorf("another ID: %v, %v", got, want)
	}
}
