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

// Limits on the number of items in a configuration.
const (
	maxServices    = 2000
	maxTargets     = 50_000
	maxDataCentres = 200
)

// Render merges the overlay into the base and returns the configuration of that
// site, in which Slots, Connections and ColdLimit of every target are set. The
// configuration is usable only if there are no findings.
func Render(base, overlay Document) (Config, Findings) {
	t, findings := merge(base, overlay)
	var cfg Config
	findings = append(findings, decode(t, &cfg)...)
	c := configChecker{tree: t}
	c.checkConfig(cfg)
	findings = append(findings, c.findings...)
	fillDefaults(&cfg)
	return cfg, findings.sorted()
}

// RenderYAML returns the merged document as YAML text. Defaults aren't filled
// in, and the document isn't checked against the fields of a configuration.
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

// fillDefaults sets the fields that a target leaves out to its service's
// defaults.
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

// configChecker checks the rules that involve several fields of a configuration,
// and the numbers of items.
type configChecker struct {
	tree     mergedTree
	findings Findings
}

func (c *configChecker) checkConfig(cfg Config) {
	c.checkCount(len(cfg.Services), maxServices, "Services")
	c.checkCount(len(cfg.DataCentres), maxDataCentres, "DataCentres")
	targets := 0
	// The paths of the targets and routes checked so far, by address and by
	// method, host and path prefix.
	targetPaths := map[netip.AddrPort]string{}
	routePaths := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		service := cfg.Services[name]
		targets += len(service.Targets)
		c.checkRoutes(name, service, routePaths)
		c.checkTargets(cfg, name, service, targetPaths)
	}
	c.checkCount(targets, maxTargets, "Services")
}

func (c *configChecker) checkCount(n, limit int, path ...string) {
	if n > limit {
		c.addFinding(path, fmt.Sprintf("%d items", n), fmt.Sprintf("at most %d", limit))
	}
}

func (c *configChecker) checkRoutes(name ServiceName, service Service, routePaths map[string]string) {
	if len(service.Routes) == 0 {
		c.addFinding([]string{"Services", string(name)}, "service has no route", "at least one")
	}
	for _, routeName := range slices.Sorted(maps.Keys(service.Routes)) {
		route := service.Routes[routeName]
		path := []string{"Services", string(name), "Routes", string(routeName)}
		if !strings.HasPrefix(route.PathPrefix, "/") {
			c.addFinding(append(path, "PathPrefix"), fmt.Sprintf("%q does not begin with /", route.PathPrefix), "a path such as /balances")
		}
		if route.Deadline > 0 && route.MaxWait > route.Deadline {
			c.addFinding(append(path, "MaxWait"), "wait is longer than the deadline", "at most "+route.Deadline.String())
		}
		for _, method := range route.Methods {
			if !isSupportedMethod(method) {
				c.addFinding(append(path, "Methods"), fmt.Sprintf("%q is not a method", method), "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")
			}
		}
		c.checkDuplicateRoutes(path, service, route, routePaths)
	}
}

// checkDuplicateRoutes reports a route with the same method, host and path prefix
// as one checked before, ignoring a trailing slash of the prefix. "Any method" and
// "any host" are values of their own, so a route for any method is no duplicate of
// one for GET.
func (c *configChecker) checkDuplicateRoutes(path []string, service Service, route Route, routePaths map[string]string) {
	hosts := service.Hosts
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	methods := route.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	dottedPath := strings.Join(path, ".")
	for _, host := range hosts {
		for _, method := range methods {
			key := method + " " + host + strings.TrimSuffix(route.PathPrefix, "/")
			if other, ok := routePaths[key]; ok {
				c.addFinding(append(path, "PathPrefix"), "same calls as "+other, "a prefix of its own")
				continue
			}
			routePaths[key] = dottedPath
		}
	}
}

func (c *configChecker) checkTargets(cfg Config, name ServiceName, service Service, targetPaths map[netip.AddrPort]string) {
	defaultsPath := []string{"Services", string(name), "Defaults", "ColdLimit"}
	if service.Defaults.ColdLimit > service.Defaults.Slots {
		c.addFinding(defaultsPath, "cold limit is above the slots", fmt.Sprintf("at most %d", service.Defaults.Slots))
	}
	for _, targetName := range slices.Sorted(maps.Keys(service.Targets)) {
		t := service.Targets[targetName]
		path := []string{"Services", string(name), "Targets", string(targetName)}
		if _, ok := cfg.DataCentres[t.DataCentre]; !ok && t.DataCentre != "" {
			c.addFinding(append(path, "DataCentre"), fmt.Sprintf("unknown data centre %q", t.DataCentre), acceptedDataCentres(cfg))
		}
		slots := cmp.Or(t.Slots, service.Defaults.Slots)
		// A target that leaves out both fields is covered by the check of Defaults.
		if coldLimit := cmp.Or(t.ColdLimit, service.Defaults.ColdLimit); coldLimit > slots && (t.ColdLimit != 0 || t.Slots != 0) {
			c.addFinding(append(path, "ColdLimit"), "cold limit is above the slots", fmt.Sprintf("at most %d", slots))
		}
		if !t.Address.IsValid() {
			continue
		}
		if other, ok := targetPaths[t.Address]; ok {
			c.addFinding(append(path, "Address"), "same address as "+other, "an address of its own")
			continue
		}
		targetPaths[t.Address] = strings.Join(path, ".")
	}
}

func (c *configChecker) addFinding(path []string, problem, want string) {
	n := c.findNode(path)
	c.findings = append(c.findings, Finding{
		File:    c.tree.fileOf(n),
		Line:    n.Line,
		Column:  n.Column,
		Path:    strings.Join(path, "."),
		Problem: problem,
		Want:    want,
	})
}

// findNode returns the node at path or, if there is none, its nearest ancestor.
func (c *configChecker) findNode(path []string) *yaml.Node {
	n := c.tree.root
	for _, name := range path {
		child := childNode(n, name)
		if child == nil {
			return n
		}
		n = child
	}
	return n
}

func childNode(n *yaml.Node, name string) *yaml.Node {
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

// acceptedDataCentres returns Finding.Want for an unknown data centre.
func acceptedDataCentres(cfg Config) string {
	var names []string
	for name := range cfg.DataCentres {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return "one of " + strings.Join(names, ", ")
}

func isSupportedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
