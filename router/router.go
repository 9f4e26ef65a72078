// Package router matches requests to routes and splits the requests of a route
// among services by weight.
//
//	r := router.New(cfg, rand.Float64())
//	if route, ok := r.Match(req.Host, req.URL.EscapedPath()); ok {
//		service := route.Next()
//	}
//
// A Router's routes are immutable; each version of the configuration gets a
// Router of its own.
package router

import (
	"math"
	"strings"
	"sync/atomic"
	"time"

	"savoryroad.dev/loader"
)

// Version numbers the versions of the configuration. A later version has a larger
// number.
type Version uint64

// Config is one version of the operators' configuration.
type Config struct {
	// Version is higher than the version of every earlier configuration.
	Version Version
	// Routes holds the routes by name. No two routes have both the same host and
	// the same path prefix.
	Routes map[loader.RouteName]Route
	// Services holds every service that a route names.
	Services map[loader.ServiceName]Service
	Limits   Limits
	// Organisations holds the organisations whose keys callers present, by name. If
	// it is empty, callers present none. No key belongs to two organisations.
	Organisations map[loader.OrganisationName]Organisation
	// UnknownKinds holds the kinds of routes that the entry doesn't know. Such
	// routes are AtMostOnce. Entries that get the configuration from a peer have
	// none.
	UnknownKinds []string `cbor:"-"`
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name loader.RouteName
	// Host is in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Class      loader.Class
	// Parts holds the services that the route's requests are split among; at
	// least one.
	Parts []Part
	// Timeout is the maximum time from the arrival of a request to the start of
	// its response.
	Timeout time.Duration
	// Objective is the target latency: a response within it has its full value.
	Objective time.Duration
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// Priority ranks the route when requests exceed capacity; 0 is the highest
	// priority.
	Priority int
	// KeyExempt is set if callers need no key.
	KeyExempt bool
}

// Part is a service and its weight in the traffic split of a route.
type Part struct {
	Service loader.ServiceName
	// Weight is relative to the weights of the route's other parts; at least 0.
	Weight float64
}

// Service holds the settings for the targets of one service.
type Service struct {
	// HealthPath is the URL path for health checks.
	HealthPath string
	// Connections is the maximum number of connections to one target, from all
	// entries together.
	Connections int
	// Warmup is how long a target is in cold start after it has started.
	Warmup time.Duration
	// WarmupRate is the rate that a target in cold start can handle, in requests
	// per second.
	WarmupRate float64
}

// Limits holds the limits for requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Router matches requests to routes. It is safe for concurrent use.
type Router struct {
	config Config
	// hosts holds the routes by host and path prefix.
	hosts map[string]map[string]*Active
}

// Active is a route of a Router, with the state of its traffic split.
type Active struct {
	Route
	// requests counts the route's requests. It determines the position of the next
	// request in the split.
	requests atomic.Uint64
	// splitOffset is the position from which the split starts, from 0 to 1.
	splitOffset float64
	// totalWeight is the sum of the weights of the parts.
	totalWeight float64
}

// New returns a router for a configuration. The splitOffset, from 0 to 1, should
// differ between entries, so that they don't all start a split with the same
// service.
func New(cfg Config, splitOffset float64) *Router {
	r := &Router{config: cfg, hosts: map[string]map[string]*Active{}}
	for _, route := range cfg.Routes {
		a := &Active{Route: route, splitOffset: splitOffset}
		for _, p := range route.Parts {
			a.totalWeight += p.Weight
		}
		if r.hosts[route.Host] == nil {
			r.hosts[route.Host] = map[string]*Active{}
		}
		r.hosts[route.Host][route.PathPrefix] = a
	}
	return r
}

// Config returns the configuration that the router was built from.
func (r *Router) Config() Config { return r.config }

// Match returns the route with the longest path prefix that matches a host and
// an escaped path. The host may have a port.
func (r *Router) Match(host, path string) (*Active, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := r.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if a, ok := prefixes[path[:end+1]]; ok {
			return a, true
		}
	}
	return nil, false
}

// goldenRatio is the step between successive positions in a split. The multiples
// of the golden ratio modulo 1 never cluster, so requests are spread evenly over
// the parts for any weights.
const goldenRatio = 0.6180339887498949

// Next returns the service for the next request. Over any sufficiently long run
// of requests, each part gets a share in proportion to its weight.
func (a *Active) Next() loader.ServiceName {
	if len(a.Parts) == 1 {
		return a.Parts[0].Service
	}
	_, pos := math.Modf(a.splitOffset + float64(a.requests.Add(1))*goldenRatio)
	pos *= a.totalWeight
	for _, p := range a.Parts {
		if pos < p.Weight {
			return p.Service
		}
		pos -= p.Weight
	}
	return a.Parts[len(a.Parts)-1].Service
}
