package forwarder

import (
	"net/http"
	"time"

	"savoryroad.dev/isolator"
	"savoryroad.dev/loader"
)

// SetStriker sets the function that sends strikes to the other entries, which
// must not block. It must be called before the first call arrives.
func (f *Forwarder) SetStriker(announce func(isolator.Strike)) { f.strikeAnnouncer = announce }

// HearStrike stores a strike that was received from another entry.
func (f *Forwarder) HearStrike(s isolator.Strike) { f.isolator.Add(s, time.Now()) }

// canBeBlocked reports whether the call can be retried after its connection
// broke. A call of an AtMostOnce route can't, since its key is granted only
// once.
func (c *call) canBeBlocked() bool { return c.route.Class != loader.AtMostOnce }

// blocked reports whether the call is blocked because it crashed backend
// servers.
func (c *call) blocked() bool {
	i := c.forwarder.isolator
	return c.canBeBlocked() && i.HasSuspects() && i.Blocked(isolator.Fingerprint(c.fingerprint()), time.Now())
}

// struckTargets returns the targets from which the call recently got a strike.
func (c *call) struckTargets() []string {
	i := c.forwarder.isolator
	if !c.canBeBlocked() || !i.HasSuspects() {
		return nil
	}
	return i.StruckTargets(isolator.Fingerprint(c.fingerprint()), time.Now())
}

// refuseBlocked writes the response to a blocked call.
func (c *call) refuseBlocked(w http.ResponseWriter) Outcome {
	c.forwarder.stats.isolated.Inc(1)
	return c.refuse(w, refusal{
		status:  http.StatusServiceUnavailable,
		outcome: NotRun,
		title:   "the call is refused for a while",
		detail:  "earlier sends of it broke off at several backend servers",
	})
}

// addStrike records that the call's connection broke before the response began.
func (c *call) addStrike(b *backend) {
	if !c.canBeBlocked() {
		return
	}
	s := isolator.Strike{
		Fingerprint: isolator.Fingerprint(c.fingerprint()),
		Target:      b.limitName,
	}
	if c.forwarder.isolator.Add(s, time.Now()) && c.forwarder.strikeAnnouncer != nil {
		c.forwarder.strikeAnnouncer(s)
	}
}

// clearStrikes removes the call's strikes after a response.
func (c *call) clearStrikes() {
	if i := c.forwarder.isolator; c.canBeBlocked() && i.HasSuspects() {
		i.Clear(isolator.Fingerprint(c.fingerprint()))
	}
}
