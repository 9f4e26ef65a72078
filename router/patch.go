package router

import (
	"maps"
	"reflect"

	"savoryroad.dev/loader"
)

// Patch is what one configuration changes of an earlier one.
type Patch struct {
	// Base is the version that the patch applies to, Version the one that it
	// makes.
	Base    Version `cbor:"0,keyasint"`
	Version Version `cbor:"1,keyasint"`
	// Routes and Services hold what is new or different.
	Routes   map[loader.RouteName]Route     `cbor:"2,keyasint,omitempty"`
	Services map[loader.ServiceName]Service `cbor:"3,keyasint,omitempty"`
	// NoRoutes and NoServices name what is there no more.
	NoRoutes   []loader.RouteName   `cbor:"4,keyasint,omitempty"`
	NoServices []loader.ServiceName `cbor:"5,keyasint,omitempty"`
	Limits     Limits               `cbor:"6,keyasint"`
}

// Patch returns what a configuration changes of an earlier one.
func (c Config) Patch(earlier Config) Patch {
	p := Patch{Base: earlier.Version, Version: c.Version, Limits: c.Limits}
	p.Routes, p.NoRoutes = changed(earlier.Routes, c.Routes)
	p.Services, p.NoServices = changed(earlier.Services, c.Services)
	return p
}

// Size is the number of items that the patch changes.
func (p Patch) Size() int {
	return len(p.Routes) + len(p.Services) + len(p.NoRoutes) + len(p.NoServices)
}

// Apply returns the configuration that a patch makes of an earlier one. It
// fails when that is not the one that the patch was made for.
func (c Config) Apply(p Patch) (Config, bool) {
	if c.Version != p.Base {
		return Config{}, false
	}
	return Config{
		Version:  p.Version,
		Routes:   merged(c.Routes, p.Routes, p.NoRoutes),
		Services: merged(c.Services, p.Services, p.NoServices),
		Limits:   p.Limits,
	}, true
}

// changed returns the items that are new or different, and the names of those
// that are there no more.
func changed[K comparable, V any](from, to map[K]V) (map[K]V, []K) {
	fresh := map[K]V{}
	for name, item := range to {
		if old, ok := from[name]; !ok || !reflect.DeepEqual(old, item) {
			fresh[name] = item
		}
	}
	var gone []K
	for name := range from {
		if _, ok := to[name]; !ok {
			gone = append(gone, name)
		}
	}
	return fresh, gone
}

// merged returns the items of a map with some replaced and some dropped.
func merged[K comparable, V any](items, fresh map[K]V, gone []K) map[K]V {
	out := make(map[K]V, len(items)+len(fresh))
	maps.Copy(out, items)
	maps.Copy(out, fresh)
	for _, name := range gone {
		delete(out, name)
	}
	return out
}
