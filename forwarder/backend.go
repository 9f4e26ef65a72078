package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"savoryroad.dev/loader"
	"savoryroad.dev/picker"
	"savoryroad.dev/recorder"
	"savoryroad.dev/registrar"
	"savoryroad.dev/validator"
	"savoryroad.dev/warmer"
)

const (
	// maxResponseHeaderBytes limits the header of a backend server's response.
	maxResponseHeaderBytes = 256 << 10
	// continueTimeout is how long a request body waits for "100 Continue".
	continueTimeout = time.Second
	// keepAlivePeriod is the interval of TCP keep-alive probes.
	keepAlivePeriod = 15 * time.Second
)

// backend is this entry's state of one backend server. It is kept across
// configurations that don't change the target's address or limits.
type backend struct {
	name   loader.TargetName
	target loader.Target
	// limitName is the key under which the entries share the target's limits.
	limitName string
	// outstanding counts this entry's calls and the permits that it has lent.
	// Guarded by the service's lock.
	outstanding int
	// failures counts consecutive failed calls. Guarded by the service's lock.
	failures int
	// index is the target's index in the service's pool, or -1 if the
	// configuration no longer has the target. Guarded by the service's lock.
	index picker.Index
	// baseLimit is the maximum of this entry's outstanding calls at a warm
	// target; 0 means that the target gets no new calls. Guarded by the
	// service's lock.
	baseLimit int
	// ramp is the target's warm-up state. Guarded by the service's lock.
	ramp warmer.Ramp
	// lent holds the permits that this entry, as the target's owner, has lent
	// to other entries. Each counts as outstanding here. Guarded by the
	// service's lock.
	lent map[warmer.PermitID]registrar.Incarnation
	// pending holds the loan requests that wait for a permit, oldest first.
	// Guarded by the service's lock.
	pending []*pendingLoan
	// borrowed holds the permits that this entry has borrowed from the target's
	// owner, and callsSinceLoan counts the calls that ended since the latest
	// loan or return. Both are guarded by the service's lock.
	borrowed       []warmer.PermitID
	callsSinceLoan int
	// loanSuccesses and loanFailures count the responses since a permit was
	// last returned. Guarded by the service's lock.
	loanSuccesses, loanFailures int
	// startID is the latest start id that the target reported. Guarded by the
	// service's lock.
	startID string
	// pooled reuses connections between calls.
	pooled *validator.Transport
	// unpooled opens a connection for each call, so that a call is never sent
	// on a connection that its server is about to close.
	unpooled *validator.Transport
	// stats returns the target's metrics.
	stats func() *backendStats
}

// backendStats are the metrics of one target. They are created on first use,
// because an entry may have many more targets than it calls.
type backendStats struct {
	outcomes [Cancelled + 1]metrics.Counter
	latency  metrics.Histogram
	connects metrics.Counter
}

// newBackend returns a backend that has at most maxConns connections, active
// and idle, which is this entry's share of the target's connection limit.
func newBackend(service loader.ServiceName, name loader.TargetName, t loader.Target, d loader.TargetDefaults, maxConns int, rec *recorder.Recorder) *backend {
	b := &backend{name: name, limitName: warmer.LimitName(service, name), target: t, index: -1, lent: map[warmer.PermitID]registrar.Incarnation{}}
	b.stats = sync.OnceValue(func() *backendStats {
		return newBackendStats(service, name, t, rec)
	})
	idle := maxConns - callLimit(t, maxConns)
	b.pooled = newTransport(b, d, maxConns)
	b.pooled.MaxIdleConnsPerHost = max(idle, 1)
	b.pooled.DisableKeepAlives = idle == 0
	b.unpooled = newTransport(b, d, maxConns)
	b.unpooled.DisableKeepAlives = true
	return b
}

// callLimit returns the maximum of this entry's outstanding calls at a target.
// It leaves room for idle connections within maxConns.
func callLimit(t loader.Target, maxConns int) int {
	return max(min(t.Slots, (maxConns+1)/2), 1)
}

func newTransport(b *backend, d loader.TargetDefaults, maxConns int) *validator.Transport {
	dialer := &net.Dialer{
		Timeout:         d.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 3},
	}
	address := b.target.Address.String()
	return validator.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			b.stats().connects.Inc(1)
			return dialer.DialContext(ctx, "tcp", address)
		},
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        d.IdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	})
}

func newBackendStats(service loader.ServiceName, name loader.TargetName, t loader.Target, rec *recorder.Recorder) *backendStats {
	labels := []recorder.Label{
		{Name: "service", Value: string(service)},
		{Name: "target", Value: string(name)},
		{Name: "data_centre", Value: string(t.DataCentre)},
	}
	s := &backendStats{}
	for o := range s.outcomes {
		outcomeLabels := append(labels[:len(labels):len(labels)], recorder.Label{Name: "outcome", Value: Outcome(o).String()})
		s.outcomes[o] = rec.Counter("target_sends_total", outcomeLabels...)
	}
	s.latency = rec.Histogram("target_latency_us", labels...)
	s.connects = rec.Counter("target_connects_total", labels...)
	return s
}

// transport returns the transport for calls of a class.
func (b *backend) transport(c loader.Class) *validator.Transport {
	if c == loader.AtMostOnce {
		return b.unpooled
	}
	return b.pooled
}

// close closes the idle connections. Calls in flight are not affected.
func (b *backend) close() {
	b.pooled.CloseIdleConnections()
	b.unpooled.CloseIdleConnections()
}
