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
	"savoryroad.dev/warmer"
)

const (
	// maxResponseHeaderBytes bounds a backend server's answer headers.
	maxResponseHeaderBytes = 256 << 10
	// continueTimeout is how long a body waits for "100 Continue".
	continueTimeout = time.Second
	// keepAlivePeriod is the interval of TCP keep-alive probes.
	keepAlivePeriod = 15 * time.Second
)

// backend is one backend server as this entry knows it. It outlives
// configurations that leave its address as it was.
type backend struct {
	name   loader.TargetName
	target loader.Target
	// limitName is the name by which the fleet shares the target's limits.
	limitName string
	// outstanding counts this entry's calls; the service's lock guards it.
	outstanding int
	// failures counts the failures in a row; the service's lock guards it.
	failures int
	// index is the place in the service's pool, or -1 once the configuration
	// dropped the target; the service's lock guards it.
	index picker.Index
	// base bounds this entry's calls at a warm target; 0 means no new work.
	// The service's lock guards it.
	base int
	// ramp is the target's warmth; the service's lock guards it.
	ramp warmer.Ramp
	// lent holds the permits of the target's home that other entries use; each
	// counts as outstanding here. The service's lock guards it.
	lent map[warmer.PermitID]registrar.Incarnation
	// pending holds the loans that wait for a permit, the oldest first.
	pending []*pendingLoan
	// borrowed holds the permits of the home that this entry uses, and uses
	// counts the calls since the latest came. The service's lock guards both.
	borrowed []warmer.PermitID
	uses     int
	// good and bad count the answers since a permit was last given back.
	good, bad int
	// start is the target's latest start id; the service's lock guards it.
	start string
	// pooled keeps connections between calls.
	pooled *http.Transport
	// fresh opens a connection for every call, so that a call is never sent
	// on a connection that its server is just closing.
	fresh *http.Transport
	// stats returns the target's metrics.
	stats func() *backendStats
}

// backendStats are the metrics of one target. They are made at its first send,
// since an entry may know many more targets than it calls.
type backendStats struct {
	outcomes [Cancelled + 1]metrics.Counter
	latency  metrics.Histogram
	connects metrics.Counter
}

// newBackend returns a backend whose connections, used and idle, stay below
// its share of the target's limit.
func newBackend(service loader.ServiceName, name loader.TargetName, t loader.Target, d loader.TargetDefaults, share int, rec *recorder.Recorder) *backend {
	b := &backend{name: name, limitName: warmer.LimitName(service, name), target: t, index: -1, lent: map[warmer.PermitID]registrar.Incarnation{}}
	b.stats = sync.OnceValue(func() *backendStats {
		return newBackendStats(service, name, t, rec)
	})
	idle := share - callLimit(t, share)
	b.pooled = newTransport(b, d, share)
	b.pooled.MaxIdleConnsPerHost = max(idle, 1)
	b.pooled.DisableKeepAlives = idle == 0
	b.fresh = newTransport(b, d, share)
	b.fresh.DisableKeepAlives = true
	return b
}

// callLimit bounds the calls that one entry has outstanding at a target, so
// that calls and idle connections together fit in the entry's share.
func callLimit(t loader.Target, share int) int {
	return max(min(t.Slots, (share+1)/2), 1)
}

func newTransport(b *backend, d loader.TargetDefaults, share int) *http.Transport {
	dialer := &net.Dialer{
		Timeout:         d.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 3},
	}
	address := b.target.Address.String()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			b.stats().connects.Inc(1)
			return dialer.DialContext(ctx, "tcp", address)
		},
		MaxConnsPerHost:        share,
		IdleConnTimeout:        d.IdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              protocols,
	}
}

func newBackendStats(service loader.ServiceName, name loader.TargetName, t loader.Target, rec *recorder.Recorder) *backendStats {
	labels := []recorder.Label{
		{Name: "service", Value: string(service)},
		{Name: "target", Value: string(name)},
		{Name: "data_centre", Value: string(t.DataCentre)},
	}
	s := &backendStats{}
	for o := range s.outcomes {
		with := append(labels[:len(labels):len(labels)], recorder.Label{Name: "outcome", Value: Outcome(o).String()})
		s.outcomes[o] = rec.Counter("target_sends_total", with...)
	}
	s.latency = rec.Histogram("target_latency_us", labels...)
	s.connects = rec.Counter("target_connects_total", labels...)
	return s
}

// transport returns the connections that calls of a class use.
func (b *backend) transport(c loader.Class) *http.Transport {
	if c == loader.AtMostOnce {
		return b.fresh
	}
	return b.pooled
}

// close drops the idle connections; calls in flight go on.
func (b *backend) close() {
	b.pooled.CloseIdleConnections()
	b.fresh.CloseIdleConnections()
}
