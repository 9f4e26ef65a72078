// Package authenticator finds the organisation of a caller by the key that it presents.
//
//	keys := authenticator.New(cfg.Organisations)
//	switch v := keys.Authenticate(values).(type) {
//	case authenticator.Known: // v.Organisation
//	case authenticator.Rejected: // v.Reason
//	}
//
// Keys holds digests of keys only, and its results never contain a key.
package authenticator

import (
	"strings"

	"savoryroad.dev/loader"
	"savoryroad.dev/router"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why credentials are rejected.
type Reason int

// The reasons.
const (
	// Missing means that there are no credentials.
	Missing Reason = iota // no key
	// Repeated means that there are several credentials: which of them the caller means
	// isn't known.
	Repeated // several credentials
	// Malformed means that the credentials are not of the form "Token KEY".
	Malformed // malformed credentials
	// Unknown means that no organisation has the key.
	Unknown // unknown key
)

const (
	// scheme is the authentication scheme, in lower case: schemes are matched without
	// regard to case.
	scheme = "token"
	// maxKeyBytes bounds the keys of which a digest is computed. The store holds no
	// longer one.
	maxKeyBytes = 4096
)

// Result is the result of an authentication: Known or Rejected.
type Result interface{ result() }

// Known names the organisation of the caller.
type Known struct{ Organisation *router.Organisation }

// Rejected tells why the caller isn't known.
type Rejected struct {
	Reason Reason
	// Digest identifies the key if the reason is Unknown.
	Digest router.KeyDigest
}

func (Known) result()    {}
func (Rejected) result() {}

// Keys maps keys to organisations. It is immutable.
type Keys struct {
	known map[router.KeyDigest]Known
}

// New returns the keys of all organisations.
func New(organisations map[loader.OrganisationName]router.Organisation) *Keys {
	k := &Keys{known: map[router.KeyDigest]Known{}}
	for _, o := range organisations {
		for _, d := range o.Keys {
			k.known[d] = Known{Organisation: &o}
		}
	}
	return k
}

// Authenticate returns the organisation that has the key in the credentials of a caller,
// the values of its Authorization headers.
func (k *Keys) Authenticate(credentials []string) Result {
	switch len(credentials) {
	case 0:
		return Rejected{Reason: Missing}
	case 1:
	default:
		return Rejected{Reason: Repeated}
	}
	key, ok := parseKey(credentials[0])
	if !ok {
		return Rejected{Reason: Malformed}
	}
	d := router.NewKeyDigest(key)
	if v, ok := k.known[d]; ok {
		return v
	}
	return Rejected{Reason: Unknown, Digest: d}
}

// Others returns the credentials that aren't of this package's scheme, which may belong to
// the backend server.
func Others(credentials []string) []string {
	var others []string
	for _, c := range credentials {
		if _, ok := cutScheme(c); !ok {
			others = append(others, c)
		}
	}
	return others
}

// parseKey returns the key in the value of an Authorization header. Spaces around the key
// don't belong to it; one inside makes the value malformed.
func parseKey(value string) (string, bool) {
	key, ok := cutScheme(value)
	key = strings.Trim(key, " \t")
	if !ok || key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t") {
		return "", false
	}
	return key, true
}

// cutScheme returns what follows the scheme, and whether the value begins with it.
func cutScheme(value string) (string, bool) {
	value = strings.TrimLeft(value, " \t")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	rest := value[len(scheme):]
	return rest, rest == "" || rest[0] == ' ' || rest[0] == '\t'
}
