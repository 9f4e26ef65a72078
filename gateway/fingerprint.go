package gateway

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"savoryroad.dev/isolator"
	"savoryroad.dev/transporter"
)

// fingerprints are the hashes by which a request is recognised when it is sent again under
// another ID: by the same caller, and by any caller.
type fingerprints [2]isolator.Fingerprint

// newFingerprints returns the fingerprints of a request. They cover what the target gets
// of it: the method, host, URI, length and the part of the body that is buffered.
func newFingerprints(caller netip.Addr, r transporter.Request) fingerprints {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI, strconv.FormatInt(r.Length, 10)} {
		_, _ = h.WriteString(part + "\n") // a hash accepts all writes
	}
	_, _ = h.Write(r.Body)
	ofAny := isolator.Fingerprint(h.Sum64()).OfAnyCaller()
	_, _ = h.WriteString("\n" + caller.String())
	return fingerprints{isolator.Fingerprint(h.Sum64()).OfCaller(), ofAny}
}

// callerAddr returns the IP address of a remote address, without its port. It is invalid
// if the remote address is.
func callerAddr(remote string) netip.Addr {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
