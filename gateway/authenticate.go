package gateway

import (
	"net/http"
	"time"

	"savoryroad.dev/authenticator"
	"savoryroad.dev/platform"
	"savoryroad.dev/router"
)

// freshViewAge is the age of the view of the operators' records up to which an unknown key
// is taken for one that no configuration in force has. An entry that has heard of nothing
// for longer may lack a configuration that has the key. It is longer than an entry takes to
// read the store after the one whose turn it was has failed.
const freshViewAge = 2 * time.Second

// authenticate returns the organisation of a caller, and sets the headers by which the
// target learns of it. It answers the request and returns false if the route needs a key
// and the caller has presented no valid one.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request, snap *snapshot, route *router.Active) (router.Organisation, bool) {
	if snap.keys == nil {
		return router.Organisation{}, true
	}
	credentials := platform.Credentials(r.Header)
	switch v := snap.keys.Authenticate(credentials).(type) {
	case authenticator.Known:
		platform.Identify(r.Header, v.Organisation.Name, nil)
		return *v.Organisation, true
	case authenticator.Rejected:
		if route.KeyExempt {
			platform.Identify(r.Header, "", authenticator.Others(credentials))
			return router.Organisation{}, true
		}
		g.rejectKey(w, r, snap, v)
	}
	return router.Organisation{}, false
}

// rejectKey answers a request without a valid key. An entry whose view is old answers to an
// unknown key that the request has not run: another one may know the key.
func (g *Gateway) rejectKey(w http.ResponseWriter, r *http.Request, snap *snapshot, v authenticator.Rejected) {
	g.unauthenticated.Inc(1)
	id, _ := platform.RequestID(r.Header)
	e := g.log.Info().Str("Request", id).Str("Reason", v.Reason.String()).Uint64("Version", uint64(snap.router.Config().Version))
	if v.Reason != authenticator.Unknown {
		e.Msg("not authenticated")
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	e = e.Str("Key", v.Digest.String())
	if age := time.Since(*g.ordersAt.Load()); age > freshViewAge {
		refusal := refused{reason: "unknown key, old view", retryAfter: retryAfter(maxRetryAfter)}
		e.Dur("ViewAge", age).Dur("RetryAfter", refusal.retryAfter).Msg("refused")
		writeRefusal(w, refusal)
		return
	}
	e.Msg("not authenticated")
	w.WriteHeader(http.StatusUnauthorized)
}
