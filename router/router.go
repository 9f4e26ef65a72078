// Package router finds the route of a request.
//
//	r := router.New(cfg, rand.Float64())
//	if route, ok := r.Match(req.Host, req.URL.EscapedPath()); ok {
//		service := route.Next()
//	}
//
// A Router never changes; a new version of the configuration brings a new one.
package router

import (
	"math"
	"strings"
	"sync/atomic"
	"time"

	"savoryroad.dev/loader"
)

// Version orders configurations. It only grows.
type Version uint64

// Config is one version of what operators want served.
type Config struct {
	// Version is higher than that of every earlier configuration.
	Version Version
	// Routes holds the routes by name. No two share a host and path prefix.
	Routes map[loader.RouteName]Route
	// Services holds every service that a route names.
	Services map[loader.ServiceName]Service
	Limits   Limits
}

// Route says what is to be done with the requests of one host and path prefix.
type Route struct {
	Name loader.RouteName
	// Host is in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Class      loader.Class
	// Parts are the services that share the route's requests; at least one.
	Parts []Part
	// Timeout bounds a request from its arrival to the start of its answer.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Priority is the route's rank when not all requests fit; 0 is the highest.
	Priority int
}

// Part is a service with its part of a route's requests.
type Part struct {
	Service loader.ServiceName
	// Weight is relative to the other parts of the route; at least 0.
	Weight float64
}

// Service says how the targets of one service are treated.
type Service struct {
	// HealthPath answers health checks.
	HealthPath string
	// Connections is what a target accepts, from all entries together.
	Connections int
	// Warmup is how long a target is cold after its start.
	Warmup time.Duration
	// WarmupRate is what a cold target bears, in requests per second.
	WarmupRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Router finds routes. It is safe for use by several goroutines.
type Router struct {
	config Config
	// hosts holds the routes by host and path prefix.
	hosts map[string]map[string]*Active
}

// Active is a route in force.
type Active struct {
	Route
	// sent counts the requests; it places the next one within the parts.
	sent atomic.Uint64
	// start is where in the parts the first request falls, from 0 to 1.
	start float64
	// total is the sum of the weights.
	total float64
}

// New returns the router of a configuration. Start, from 0 to 1, differs from
// entry to entry, so that not all of them begin with the same part of a split.
func New(cfg Config, start float64) *Router {
	r := &Router{config: cfg, hosts: map[string]map[string]*Active{}}
	for _, route := range cfg.Routes {
		a := &Active{Route: route, start: start}
		for _, p := range route.Parts {
			a.total += p.Weight
		}
		if r.hosts[route.Host] == nil {
			r.hosts[route.Host] = map[string]*Active{}
		}
		r.hosts[route.Host][route.PathPrefix] = a
	}
	return r
}

// Config returns the configuration that the router was made of.
func (r *Router) Config() Config { return r.config }

// Match returns the route of a host and an escaped path: the one with the
// longest prefix.
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

// goldenRatio spaces successive requests evenly over the parts, whatever
// their weights; its multiples modulo 1 never cluster.
const goldenRatio = 0.6180339887498949

// Next returns the service that the next request goes to. Each part gets its
// share of any long enough run of requests.
func (a *Active) Next() loader.ServiceName {
	if len(a.Parts) == 1 {
		return a.Parts[0].Service
	}
	_, at := math.Modf(a.start + float64(a.sent.Add(1))*goldenRatio)
	at *= a.total
	for _, p := range a.Parts {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return a.Parts[len(a.Parts)-1].Service
}
