package warmer

import (
	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
)

// PermitID names one loan of a permit; no two loans have the same name.
type PermitID string

// Loan asks a target's home to lend one of its permits, or gives one back.
//
// A permit that is lent counts as used by the home until it is given back. No
// clock takes it back, so a borrower that sleeps with it can't break the limit.
type Loan struct {
	Service loader.ServiceName
	Target  loader.TargetName
	ID      PermitID
	// Borrower is who asks.
	Borrower registrar.Incarnation
	// Return is set when the permit is given back.
	Return bool
	// Good and Bad count the answers that came by the permit, for a return.
	// The home counts them as its own, since it may have none.
	Good, Bad int
}
