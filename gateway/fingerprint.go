package gateway

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"savoryroad.dev/isolator"
	"savoryroad.dev/transporter"
)

// fingerprint returns the hash by which a request is recognised when its caller sends it
// again under another ID. It covers the caller, the target of the request and the part
// of the body that is buffered.
func fingerprint(caller netip.Addr, r transporter.Request) isolator.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{caller.String(), r.Method, r.Host, r.URI, strconv.FormatInt(r.Length, 10)} {
		_, _ = h.WriteString(part + "\n") // a hash accepts all writes
	}
	_, _ = h.Write(r.Body)
	return isolator.Fingerprint(h.Sum64())
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
