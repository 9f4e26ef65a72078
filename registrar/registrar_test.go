package registrar

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func owner(n int) Owner { return Owner{Incarnation: Incarnation(fmt.Sprintf("i%d", n))} }

// drawRecord draws a valid or invalid record.
func drawRecord(t *rapid.T) Record {
	shares := rapid.SliceOfN(rapid.Map(rapid.IntRange(-1, Shares), func(n int) Share { return Share(n) }), 0, 6).Draw(t, "shares")
	a, b := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return Record{Claim: &Claim{Owner: owner(a), Shares: shares}}
	case 1:
		return Record{Transfer: &Transfer{From: owner(a).Incarnation, To: owner(b), Shares: shares}}
	default:
		return Record{Eviction: &Eviction{Gone: owner(a).Incarnation}}
	}
}

// A share changes owners only by its owner's transfer or eviction, and an
// eviction sets ForgottenAt.
func TestPropertyOwnersKeepTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t)
			at := time.Unix(int64(n+1), 0)
			next, _ := table.Fold(r, Term(n), at)
			for s := range Share(Shares) {
				was, had := table.Owner(s)
				is, has := next.Owner(s)
				if !had || was == is {
					continue
				}
				given := r.Transfer != nil && r.Transfer.From == was.Incarnation
				evicted := r.Eviction != nil && r.Eviction.Gone == was.Incarnation && !has
				if !given && !evicted {
					t.Fatalf("share %d went from %v to %v by %+v", s, was, is, r)
				}
				if evicted && !next.Held[s].ForgottenAt.Equal(at) {
					t.Fatalf("share %d forgot that its memory is lost", s)
				}
			}
			table = next
		}
	})
}

// The parts of a limit add up to at most the limit for any assignment of shares,
// and to the limit when every share has an owner.
func TestPropertyPartsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 1000).Draw(t, "limit")
		owners := make([][]Share, 4)
		for s := range Share(Shares) {
			n := rapid.IntRange(0, len(owners)).Draw(t, "owner")
			if n < len(owners) {
				owners[n] = append(owners[n], s)
			}
		}
		sum, vacant := 0, Shares
		for _, owned := range owners {
			sum += Part("target", limit, owned)
			vacant -= len(owned)
		}
		if sum > limit {
			t.Fatalf("parts of %d add up to %d", limit, sum)
		}
		if vacant == 0 && sum != limit {
			t.Fatalf("all shares are owned, and %d of %d is used", sum, limit)
		}
	})
}
