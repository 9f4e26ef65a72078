package forwarder

import (
	"net/http"
	"time"

	"savoryroad.dev/isolator"
	"savoryroad.dev/loader"
)

// SetStriker sets who tells the other entries of a strike; it must not block.
// It is called before the first call.
func (f *Forwarder) SetStriker(tell func(isolator.Strike)) { f.strike = tell }

// HearStrike takes a strike that another entry saw.
func (f *Forwarder) HearStrike(s isolator.Strike) { f.isolator.Strike(s, time.Now()) }

// isolatable tells whether the call can come back after it broke off. A call
// that must not run twice can't, since its key is granted once.
func (c *call) isolatable() bool { return c.route.Class != loader.AtMostOnce }

// isolated tells whether the call crashed too many servers before.
func (c *call) isolated() bool {
	i := c.forwarder.isolator
	return c.isolatable() && i.Suspects() && i.Blocked(isolator.Fingerprint(c.fingerprint()), time.Now())
}

// struck lists the targets at which the call broke off, now or before.
func (c *call) struck() []string {
	i := c.forwarder.isolator
	if !c.isolatable() || !i.Suspects() {
		return nil
	}
	return i.Struck(isolator.Fingerprint(c.fingerprint()), time.Now())
}

// refuseIsolated answers a call that crashed too many servers before.
func (c *call) refuseIsolated(w http.ResponseWriter) Outcome {
	c.forwarder.stats.isolated.Inc(1)
	return c.refuse(w, refusal{
		status:  http.StatusServiceUnavailable,
		outcome: NotRun,
		title:   "the call is refused for a while",
		detail:  "earlier sends of it broke off at several backend servers",
	})
}

// broke notes a send that broke off before its answer began.
func (c *call) broke(b *backend) {
	if !c.isolatable() {
		return
	}
	s := isolator.Strike{
		Fingerprint: isolator.Fingerprint(c.fingerprint()),
		Target:      b.limitName,
	}
	if c.forwarder.isolator.Strike(s, time.Now()) && c.forwarder.strike != nil {
		c.forwarder.strike(s)
	}
}

// heldUp notes an answer, which takes the call's strikes away.
func (c *call) heldUp() {
	if i := c.forwarder.isolator; c.isolatable() && i.Suspects() {
		i.Clear(isolator.Fingerprint(c.fingerprint()))
	}
}
