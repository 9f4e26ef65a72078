package loader

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Limits on the number of items in one configuration.
const (
	maxServices    = 2000
	maxTargets     = 50_000
	maxDataCentres = 200
)

// Render lays the overlay over the base and returns the configuration of that
// site, with the targets' defaults filled in. The configuration is usable
// only when there are no findings.
func Render(base, overlay Document) (Config, Findings) {
	t, findings := merge(base, overlay)
	var cfg Config
	findings = append(findings, decode(t, &cfg)...)
	c := configChecker{tree: t}
	c.check(cfg)
	findings = append(findings, c.findings...)
	fillDefaults(&cfg)
	return cfg, findings.sorted()
}

// RenderYAML returns the merged document as YAML text, for people to read.
func RenderYAML(base, overlay Document) ([]byte, Findings) {
	t, findings := merge(base, overlay)
	if len(findings) > 0 {
		return nil, findings
	}
	text, err := yaml.Marshal(t.root)
	if err != nil {
		return nil, base.findingAt(nil, "", err.Error(), "")
	}
	return text, nil
}

// fillDefaults gives each target what it did not state itself.
func fillDefaults(cfg *Config) {
	for _, service := range cfg.Services {
		for name, t := range service.Targets {
			t.Slots = cmp.Or(t.Slots, service.Defaults.Slots)
			t.Connections = cmp.Or(t.Connections, service.Defaults.Connections)
			t.ColdLimit = cmp.Or(t.ColdLimit, service.Defaults.ColdLimit)
			service.Targets[name] = t
		}
	}
}

// configChecker finds what holds between the fields of a configuration.
type configChecker struct {
	tree     mergedTree
	findings Findings
}

func (c *configChecker) check(cfg Config) {
	c.count(len(cfg.Services), maxServices, "Services")
	c.count(len(cfg.DataCentres), maxDataCentres, "DataCentres")
	targets := 0
	addresses := map[netip.AddrPort]string{}
	prefixes := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		service := cfg.Services[name]
		targets += len(service.Targets)
		c.checkRoutes(name, service, prefixes)
		c.checkTargets(cfg, name, service, addresses)
	}
	c.count(targets, maxTargets, "Services")
}

func (c *configChecker) count(n, most int, path ...string) {
	if n > most {
		c.add(path, fmt.Sprintf("%d items", n), fmt.Sprintf("at most %d", most))
	}
}

func (c *configChecker) checkRoutes(name ServiceName, service Service, prefixes map[string]string) {
	if len(service.Routes) == 0 {
		c.add([]string{"Services", string(name)}, "service has no route", "at least one")
	}
	for _, routeName := range slices.Sorted(maps.Keys(service.Routes)) {
		route := service.Routes[routeName]
		path := []string{"Services", string(name), "Routes", string(routeName)}
		if !strings.HasPrefix(route.PathPrefix, "/") {
			c.add(append(path, "PathPrefix"), fmt.Sprintf("%q does not begin with /", route.PathPrefix), "a path such as /balances")
		}
		if route.Deadline > 0 && route.MaxWait > route.Deadline {
			c.add(append(path, "MaxWait"), "wait is longer than the deadline", "at most "+route.Deadline.String())
		}
		for _, method := range route.Methods {
			if !knownMethod(method) {
				c.add(append(path, "Methods"), fmt.Sprintf("%q is not a method", method), "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")
			}
		}
		c.checkOverlap(path, service, route, prefixes)
	}
}

// checkOverlap finds two routes that would match the same call.
func (c *configChecker) checkOverlap(path []string, service Service, route Route, prefixes map[string]string) {
	hosts := service.Hosts
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	methods := route.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	at := strings.Join(path, ".")
	for _, host := range hosts {
		for _, method := range methods {
			key := method + " " + host + strings.TrimSuffix(route.PathPrefix, "/")
			if other, ok := prefixes[key]; ok {
				c.add(append(path, "PathPrefix"), "same calls as "+other, "a prefix of its own")
				continue
			}
			prefixes[key] = at
		}
	}
}

func (c *configChecker) checkTargets(cfg Config, name ServiceName, service Service, addresses map[netip.AddrPort]string) {
	defaults := []string{"Services", string(name), "Defaults", "ColdLimit"}
	if service.Defaults.ColdLimit > service.Defaults.Slots {
		c.add(defaults, "cold limit is above the slots", fmt.Sprintf("at most %d", service.Defaults.Slots))
	}
	for _, targetName := range slices.Sorted(maps.Keys(service.Targets)) {
		t := service.Targets[targetName]
		path := []string{"Services", string(name), "Targets", string(targetName)}
		if _, ok := cfg.DataCentres[t.DataCentre]; !ok && t.DataCentre != "" {
			c.add(append(path, "DataCentre"), fmt.Sprintf("unknown data centre %q", t.DataCentre), dataCentreNames(cfg))
		}
		slots := cmp.Or(t.Slots, service.Defaults.Slots)
		if cold := cmp.Or(t.ColdLimit, service.Defaults.ColdLimit); cold > slots && (t.ColdLimit != 0 || t.Slots != 0) {
			c.add(append(path, "ColdLimit"), "cold limit is above the slots", fmt.Sprintf("at most %d", slots))
		}
		if !t.Address.IsValid() {
			continue
		}
		if other, ok := addresses[t.Address]; ok {
			c.add(append(path, "Address"), "same address as "+other, "an address of its own")
			continue
		}
		addresses[t.Address] = strings.Join(path, ".")
	}
}

func (c *configChecker) add(path []string, problem, want string) {
	n := c.find(path)
	c.findings = append(c.findings, Finding{
		File:    c.tree.fileOf(n),
		Line:    n.Line,
		Column:  n.Column,
		Path:    strings.Join(path, "."),
		Problem: problem,
		Want:    want,
	})
}

// find returns the node at path, or the nearest one above it.
func (c *configChecker) find(path []string) *yaml.Node {
	n := c.tree.root
	for _, name := range path {
		next := child(n, name)
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

func child(n *yaml.Node, name string) *yaml.Node {
	if n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i+1]
		}
	}
	return nil
}

func dataCentreNames(cfg Config) string {
	var names []string
	for name := range cfg.DataCentres {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return "one of " + strings.Join(names, ", ")
}

func knownMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
