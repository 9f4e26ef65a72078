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

// table is one configuration in the form that traffic reads. It never changes
// once it is installed.
type table struct {
	revision publisher.Revision
	// hosts holds the routes by host name; "" holds those of any host. Each
	// list has the longest prefixes first.
	hosts map[string][]*route
	// services holds the configuration's services.
	services map[loader.ServiceName]*service
	// maxBody bounds a request body, in bytes.
	maxBody int64
	// maxHeader bounds the request headers, in bytes.
	maxHeader int
}

// route is one route and the service that answers it.
type route struct {
	loader.Route
	name    loader.RouteName
	service *service
	// prefix is PathPrefix without a trailing slash.
	prefix string
	// attempts is the number of sends of one call, the first included.
	attempts int
	// notRunStatuses are the statuses by which the service's backend servers
	// state that they did not run a call.
	notRunStatuses []int
}

// newTable builds the table of a configuration over the services, which hold
// what outlives a configuration.
func newTable(rev publisher.Revision, cfg loader.Config, services map[loader.ServiceName]*service) *table {
	t := &table{
		revision:  rev,
		hosts:     map[string][]*route{},
		services:  map[loader.ServiceName]*service{},
		maxBody:   int64(cfg.MaxBodyMiB) << 20,
		maxHeader: cfg.MaxHeaderBytes,
	}
	for serviceName, s := range cfg.Services {
		t.services[serviceName] = services[serviceName]
		for routeName, r := range s.Routes {
			t.add(s.Hosts, &route{
				Route:          r,
				name:           routeName,
				service:        services[serviceName],
				prefix:         strings.TrimSuffix(r.PathPrefix, "/"),
				attempts:       s.Retry.Attempts,
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

// compareRoutes puts longer prefixes first, and routes that name their
// methods before those that take any.
func compareRoutes(a, b *route) int {
	return cmp.Or(
		cmp.Compare(len(b.prefix), len(a.prefix)),
		cmp.Compare(b.prefix, a.prefix),
		cmp.Compare(len(b.Methods), len(a.Methods)),
		cmp.Compare(a.name, b.name),
	)
}

// match returns the route of a call. When only the method is wrong, it
// reports the methods that would do.
func (t *table) match(r *http.Request) (found *route, allow []string) {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, key := range [2]string{strings.ToLower(host), ""} {
		for _, rt := range t.hosts[key] {
			if !rt.covers(r.URL.Path) {
				continue
			}
			if rt.accepts(r.Method) {
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

// covers tells whether the path is the prefix or lies below it.
func (r *route) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, r.prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func (r *route) accepts(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
