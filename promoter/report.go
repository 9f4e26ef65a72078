package promoter

import (
	"time"

	"savoryroad.dev/loader"
)

// Report is what an entry tells its peers of a roll-out.
type Report struct {
	Service   loader.ServiceName   `cbor:"0,keyasint"`
	ToVersion loader.TargetVersion `cbor:"1,keyasint"`
	From      loader.EntryName     `cbor:"2,keyasint"`
	Born      int64                `cbor:"3,keyasint"`
	// Age is the time since the order, as far as the entry knows.
	Age   time.Duration `cbor:"4,keyasint,omitempty"`
	Phase Phase         `cbor:"5,keyasint"`
	// Drained is set once no request of the entry is under way at the old version, and
	// none will be sent there.
	Drained bool `cbor:"6,keyasint,omitempty"`
	// Written is set if the store is known to hold the roll-out.
	Written bool `cbor:"7,keyasint,omitempty"`
	// Ask is set if the entry doesn't know how far the roll-out is.
	Ask bool `cbor:"8,keyasint,omitempty"`
	// Base are the versions in service.
	Base []loader.TargetVersion `cbor:"9,keyasint,omitempty"`
	// Counted holds all answers that the entry has counted since it started.
	Counted []Counted `cbor:"10,keyasint,omitempty"`
}

// peer is what an entry knows of another one.
type peer struct {
	// born is the start of its latest life, of which the rest tells.
	born    int64
	heardAt time.Time
	drained bool
}
