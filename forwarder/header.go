package forwarder

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// isHopByHop reports whether a header field applies to a single connection only
// (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// via is the name of this proxy in the Via header (RFC 9110, section 7.6.3).
const via = "savoryroad"

// copyEndToEnd adds the fields of src to dst, except hop-by-hop fields and
// those that the Connection header lists.
func copyEndToEnd(dst, src http.Header) {
	var connectionTokens []string
	for _, field := range src["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			connectionTokens = append(connectionTokens, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range src {
		if isHopByHop(name) || slices.Contains(connectionTokens, name) {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

// outgoingHeader returns the header of the request to a backend server.
func outgoingHeader(r *http.Request, requestID string, remaining time.Duration) http.Header {
	h := make(http.Header, len(r.Header)+6)
	copyEndToEnd(h, r.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	if headerHasToken(r.Header, "Te", "trailers") {
		h["Te"] = []string{"trailers"}
	}
	addForwarded(h, r)
	h.Add("Via", strconv.Itoa(r.ProtoMajor)+"."+strconv.Itoa(r.ProtoMinor)+" "+via)
	h[RequestIDHeader] = []string{requestID}
	h.Set(TimeoutHeader, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	return h
}

// addForwarded adds the Forwarded header (RFC 7239) and the older X-Forwarded
// headers.
func addForwarded(h http.Header, r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	node := host
	if strings.Contains(host, ":") {
		node = `"[` + host + `]"`
	}
	h.Add("Forwarded", "for="+node+";proto="+proto)
	if prior := h.Get("X-Forwarded-For"); prior != "" {
		host = prior + ", " + host
	}
	h["X-Forwarded-For"] = []string{host}
	h["X-Forwarded-Proto"] = []string{proto}
	h["X-Forwarded-Host"] = []string{r.Host}
}

// headerHasToken reports whether a comma-separated header contains a token.
func headerHasToken(h http.Header, name, token string) bool {
	for _, field := range h[name] {
		for part := range strings.SplitSeq(field, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// callerTimeout returns the timeout that the caller set for the call, or 0.
func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(TimeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
