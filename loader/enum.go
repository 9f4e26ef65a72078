package loader

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type=Class,Policy,TargetState,DataCentreState -linecomment -output=enum_string.go

// Class says what a route's calls may bear: repetition, waiting, or neither.
type Class int

// The classes of routes.
const (
	// Lookup calls may be repeated and want the shortest tail.
	Lookup Class = iota
	// AtMostOnce calls must not be dispatched twice.
	AtMostOnce
	// Upload calls may be repeated by their caller and wait patiently.
	Upload
)

// Policy is a way to choose a target.
type Policy int

// The policies.
const (
	// Random chooses any usable target.
	Random Policy = iota
	// RoundRobin takes the usable targets in turn.
	RoundRobin
	// LeastOutstanding takes the target with the fewest calls of this entry.
	LeastOutstanding
	// TwoChoices draws two targets and takes the less loaded one, by the
	// load that they carried on their latest answers.
	TwoChoices
	// Permits lets no more calls to a target than it has slots, over all
	// entries; those beyond wait at the entries.
	Permits
)

// TargetState says whether operators want new work at a target.
type TargetState int

// The states of a target.
const (
	// Active targets receive work.
	Active TargetState = iota
	// Draining targets finish what they have and receive nothing new.
	Draining
)

// DataCentreState says whether operators want new work in a data centre.
type DataCentreState int

// The states of a data centre.
const (
	// In means that the data centre receives work.
	In DataCentreState = iota
	// Out means that the data centre receives no new work.
	Out
)

// UnmarshalText reads the name of a class.
func (c *Class) UnmarshalText(text []byte) error { return ParseEnum(c, text, Upload) }

// UnmarshalText reads the name of a policy.
func (p *Policy) UnmarshalText(text []byte) error { return ParseEnum(p, text, Permits) }

// UnmarshalText reads the name of a target's state.
func (s *TargetState) UnmarshalText(text []byte) error { return ParseEnum(s, text, Draining) }

// UnmarshalText reads the name of a data centre's state.
func (s *DataCentreState) UnmarshalText(text []byte) error { return ParseEnum(s, text, Out) }

// MarshalText writes the name of a class.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// MarshalText writes the name of a policy.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// MarshalText writes the name of a target's state.
func (s TargetState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// MarshalText writes the name of a data centre's state.
func (s DataCentreState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (Class) names() []string           { return enumNames(Upload) }
func (Policy) names() []string          { return enumNames(Permits) }
func (TargetState) names() []string     { return enumNames(Draining) }
func (DataCentreState) names() []string { return enumNames(Out) }

// Enum is an integer type whose values, from 0 on, have generated names.
type Enum interface {
	~int
	fmt.Stringer
}

// ParseEnum sets v to the value, from 0 to last, whose name is text.
func ParseEnum[E Enum](v *E, text []byte, last E) error {
	for e := E(0); e <= last; e++ {
		if e.String() == string(text) {
			*v = e
			return nil
		}
	}
	return errors.Newf("unknown name %q", text)
}

// enumNames lists the names of the values from 0 to last.
func enumNames[E Enum](last E) []string {
	var names []string
	for e := E(0); e <= last; e++ {
		names = append(names, e.String())
	}
	return names
}
