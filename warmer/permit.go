package warmer

import (
	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
)

// PermitID identifies one loan of a permit and is unique to it.
type PermitID string

// Loan is a request to a target's home to lend one of its permits, or to take
// one back.
//
// A lent permit counts as in use at the home until the borrower returns it.
// Loans have no timeout, so that a borrower that is paused while it holds a
// permit can't exceed the limit.
type Loan struct {
	Service loader.ServiceName
	Target  loader.TargetName
	ID      PermitID
	// Borrower is the entry that requests the permit.
	Borrower registrar.Incarnation
	// Return is set when the borrower returns the permit.
	Return bool
	// Good and Bad are the numbers of good and bad answers to calls made with
	// the permit; they are set on a return. The home counts them as its own,
	// since it may have received no answers itself.
	Good, Bad int
}
