package picker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"savoryroad.dev/loader"
)

// init fixes the seed of the property tests; the command line may set another,
// and 0 means a new one for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var policies = []loader.Policy{loader.Random, loader.RoundRobin, loader.LeastOutstanding, loader.TwoChoices, loader.Permits}

// Under every policy, a picked member has room and is not in avoid, and Pick
// fails only when there is no such member.
func TestPropertyPicksHaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "members")
		members := make([]Member, n)
		for i := range members {
			members[i].Limit = rapid.IntRange(0, 3).Draw(t, "limit")
		}
		p := New(rapid.SampledFrom(policies).Draw(t, "policy"), rand.New(rand.NewPCG(1, 1)), members)
		var out []Index
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := Index(rapid.IntRange(0, n-1).Draw(t, "member"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				p.SetLimit(i, rapid.IntRange(0, 3).Draw(t, "limit"))
			case 1:
				p.Report(i, rapid.IntRange(0, 9).Draw(t, "load"))
			case 2:
				if len(out) > 0 {
					p.Release(out[0])
					out = out[1:]
				}
			default:
				out = checkPick(t, p, out)
			}
		}
	})
}

// checkPick picks once and checks the choice.
func checkPick(t *rapid.T, p *Pool, out []Index) []Index {
	var avoid []Index
	if rapid.Bool().Draw(t, "avoid") {
		avoid = []Index{Index(rapid.IntRange(0, p.Len()-1).Draw(t, "avoided"))}
	}
	var possible []Index
	for i := range Index(p.Len()) {
		if m := p.Member(i); m.Outstanding < m.Limit && !slices.Contains(avoid, i) {
			possible = append(possible, i)
		}
	}
	i, ok := p.Pick(avoid)
	if ok != (len(possible) > 0) || ok && !slices.Contains(possible, i) {
		t.Fatalf("picked %d %v, possible %v", i, ok, possible)
	}
	if ok {
		out = append(out, i)
	}
	return out
}

// BenchmarkPick measures one Pick and its Release.
func BenchmarkPick(b *testing.B) {
	for _, policy := range policies {
		for _, n := range []int{20, 200, 2000} {
			b.Run(fmt.Sprintf("%s/targets=%d", policy, n), func(b *testing.B) {
				members := make([]Member, n)
				for i := range members {
					members[i].Limit = 6
				}
				p := New(policy, rand.New(rand.NewPCG(1, 1)), members)
				for range n {
					p.Pick(nil)
				}
				for b.Loop() {
					if i, ok := p.Pick(nil); ok {
						p.Release(i)
					}
				}
			})
		}
	}
}
