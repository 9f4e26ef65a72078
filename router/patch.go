package router

import (
	"maps"
	"reflect"

	"savoryroad.dev/loader"
)

// Patch is the difference between two versions of the configuration.
type Patch struct {
	// Base is the version that the patch applies to, and Version the version
	// that results.
	Base    Version `cbor:"0,keyasint"`
	Version Version `cbor:"1,keyasint"`
	// Routes and Services hold added and changed items.
	Routes   map[loader.RouteName]Route     `cbor:"2,keyasint,omitempty"`
	Services map[loader.ServiceName]Service `cbor:"3,keyasint,omitempty"`
	// RemovedRoutes and RemovedServices name the items that Version no longer
	// has.
	RemovedRoutes   []loader.RouteName   `cbor:"4,keyasint,omitempty"`
	RemovedServices []loader.ServiceName `cbor:"5,keyasint,omitempty"`
	// Limits replaces the limits as a whole.
	Limits Limits `cbor:"6,keyasint"`
	// Organisations holds added and changed organisations, RemovedOrganisations names
	// those that Version no longer has.
	Organisations        map[loader.OrganisationName]Organisation `cbor:"7,keyasint,omitempty"`
	RemovedOrganisations []loader.OrganisationName                `cbor:"8,keyasint,omitempty"`
}

// Patch returns the patch that turns an earlier configuration into c.
func (c Config) Patch(earlier Config) Patch {
	p := Patch{Base: earlier.Version, Version: c.Version, Limits: c.Limits}
	p.Routes, p.RemovedRoutes = diff(earlier.Routes, c.Routes)
	p.Services, p.RemovedServices = diff(earlier.Services, c.Services)
	p.Organisations, p.RemovedOrganisations = diff(earlier.Organisations, c.Organisations)
	return p
}

// keysPerItem is the number of digests of keys that take as many bytes as a route.
const keysPerItem = 2

// Size returns the number of routes, services and organisations that the patch adds,
// changes or removes. Many keys of an organisation count like further items.
func (p Patch) Size() int {
	n := len(p.Routes) + len(p.Services) + len(p.RemovedRoutes) + len(p.RemovedServices) + len(p.RemovedOrganisations)
	for _, o := range p.Organisations {
		n += 1 + len(o.Keys)/keysPerItem
	}
	return n
}

// Apply returns the configuration that results from applying a patch to c. It
// returns false if the patch has another base version.
func (c Config) Apply(p Patch) (Config, bool) {
	if c.Version != p.Base {
		return Config{}, false
	}
	return Config{
		Version:  p.Version,
		Routes:   applyDiff(c.Routes, p.Routes, p.RemovedRoutes),
		Services: applyDiff(c.Services, p.Services, p.RemovedServices),
		Limits:   p.Limits,

		Organisations: applyDiff(c.Organisations, p.Organisations, p.RemovedOrganisations),
	}, true
}

// diff returns the items of to that are new or changed, and the keys of from
// that to lacks.
func diff[K comparable, V any](from, to map[K]V) (map[K]V, []K) {
	updated := map[K]V{}
	for key, item := range to {
		if old, ok := from[key]; !ok || !reflect.DeepEqual(old, item) {
			updated[key] = item
		}
	}
	var removed []K
	for key := range from {
		if _, ok := to[key]; !ok {
			removed = append(removed, key)
		}
	}
	return updated, removed
}

// applyDiff returns a copy of items with a diff applied.
func applyDiff[K comparable, V any](items, updated map[K]V, removed []K) map[K]V {
	if len(updated)+len(removed) == 0 {
		return items
	}
	out := make(map[K]V, len(items)+len(updated))
	maps.Copy(out, items)
	maps.Copy(out, updated)
	for _, key := range removed {
		delete(out, key)
	}
	return out
}
