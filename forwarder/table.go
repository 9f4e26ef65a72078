package forwarder

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"

	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// table is the routing table of one configuration. It is immutable once it is
// installed.
type table struct {
	revision publisher.Revision
	// hosts holds the routes by host name in lower case; the key "" holds the
	// routes for any host. Each list is sorted by compareRoutes.
	hosts map[string][]*route
	// services holds the services of the configuration.
	services map[loader.ServiceName]*service
	// maxBodyBytes limits the body of a request.
	maxBodyBytes int64
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes int
}

// route is a route and its service.
type route struct {
	loader.Route
	name    loader.RouteName
	service *service
	// prefix is PathPrefix without a trailing slash.
	prefix string
	// maxAttempts is the maximum number of sends of one call, including the
	// first.
	maxAttempts int
	// notRunStatuses are the status codes by which backend servers report that
	// they did not run a call.
	notRunStatuses []int
}

// newTable builds the routing table of a configuration. The services hold the
// state that is kept across configurations.
func newTable(rev publisher.Revision, cfg loader.Config, services map[loader.ServiceName]*service) *table {
	t := &table{
		revision:       rev,
		hosts:          map[string][]*route{},
		services:       map[loader.ServiceName]*service{},
		maxBodyBytes:   int64(cfg.MaxBodyMiB) << 20,
		maxHeaderBytes: cfg.MaxHeaderBytes,
	}
	for serviceName, s := range cfg.Services {
		t.services[serviceName] = services[serviceName]
		for routeName, r := range s.Routes {
			t.add(s.Hosts, &route{
				Route:          r,
				name:           routeName,
				service:        services[serviceName],
				prefix:         strings.TrimSuffix(r.PathPrefix, "/"),
				maxAttempts:    s.Retry.Attempts,
				notRunStatuses: s.NotRunStatuses,
			})
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, compareRoutes)
	}
	return t
}

func (t *table) add(hosts []string, r *route) {
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, host := range hosts {
		host = strings.ToLower(host)
		t.hosts[host] = append(t.hosts[host], r)
	}
}

// compareRoutes orders routes by descending length of the prefix. Of two routes
// with the same prefix, the one with more methods comes first, but a route for
// any method comes last.
func compareRoutes(a, b *route) int {
	return cmp.Or(
		cmp.Compare(len(b.prefix), len(a.prefix)),
		cmp.Compare(b.prefix, a.prefix),
		cmp.Compare(len(b.Methods), len(a.Methods)),
		cmp.Compare(a.name, b.name),
	)
}

// match returns the route of a request. If routes match the path but not the
// method, it returns the methods that they allow instead.
func (t *table) match(r *http.Request) (found *route, allow []string) {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, key := range [2]string{strings.ToLower(host), ""} {
		for _, rt := range t.hosts[key] {
			if !rt.matchesPath(r.URL.Path) {
				continue
			}
			if rt.matchesMethod(r.Method) {
				return rt, nil
			}
			allow = append(allow, rt.Methods...)
		}
		if key == "" {
			break
		}
	}
	return nil, allow
}

// matchesPath reports whether the path is equal to the prefix or below it.
func (r *route) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, r.prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func (r *route) matchesMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
