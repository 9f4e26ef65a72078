package router

import (
	"crypto/sha256"
	"encoding/hex"

	"savoryroad.dev/loader"
)

// Organisation is a customer of the operators. Its callers present one of its keys.
type Organisation struct {
	Name loader.OrganisationName
	// Keys holds the digests of its keys, in ascending order.
	Keys []KeyDigest
	// Priority ranks the requests of the organisation before the priority of their
	// routes does; 0 is the highest. It counts only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the number of requests per second, and Burst the number of further
	// requests, that the organisation may send to all entries together. A Rate of 0
	// means no limit.
	Rate, Burst float64
}

// KeyDigest identifies a key. The keys themselves are kept nowhere.
type KeyDigest [16]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// String returns the beginning of the digest, which is enough to recognise a key in
// logs.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Rank orders requests when they exceed capacity. A lower rank is more urgent.
type Rank struct {
	// Organisation is the priority of the organisation, or of the route if the
	// organisation has none.
	Organisation int
	// Route is the priority of the route.
	Route int
}

// Before reports whether r is more urgent than other.
func (r Rank) Before(other Rank) bool {
	if r.Organisation != other.Organisation {
		return r.Organisation < other.Organisation
	}
	return r.Route < other.Route
}

// Rank returns the rank of a request for a route. The organisation may be the zero
// value if the caller needs no key.
func (o Organisation) Rank(route Route) Rank {
	if !o.HasPriority {
		return Rank{Organisation: route.Priority, Route: route.Priority}
	}
	return Rank{Organisation: o.Priority, Route: route.Priority}
}
