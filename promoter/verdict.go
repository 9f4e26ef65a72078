package promoter

import (
	"math"

	"savoryroad.dev/loader"
)

const (
	// falseAlarms bounds the probability that a version that is as good as the old one
	// is ever found bad, for all tests of a roll-out together.
	falseAlarms = 0.01
	// partFalseAlarms is the bound for the evidence without the group of targets, or
	// without the data centre, that speaks against the version most.
	partFalseAlarms = 0.01
	// maxDataCentres is the number of data centres that are told apart.
	maxDataCentres = 8
	// suspiciousRatio is the likelihood ratio from which a version is not taken for proved.
	suspiciousRatio = 6
	// baselineWeight is the number of answers that the rate of the whole route counts
	// for in the rate of a data centre, where the old version has few answers.
	baselineWeight = 48
	// toleratedFactor and toleratedRate are by how much a version may be worse.
	toleratedFactor = 1.2
	toleratedRate   = 0.01
	// errorMargin is the number of standard errors by which the rate of the old version
	// may be higher than it looks.
	errorMargin = 0.6
	// maxBaselineRate is the rate above which the old version is so bad that nothing is
	// learnt by the comparison.
	maxBaselineRate = 0.9
)

// excesses are the alternatives of the test: the fraction of answers of the new version
// that are bad beyond those that would be bad anyway.
var excesses = [...]float64{0.08, 0.25, 0.6}

// fault is a way in which answers are bad.
type fault int

//go:generate go tool stringer -type=fault -linecomment -output=fault_string.go

// The faults.
const (
	failures fault = iota // failures
	slowness              // slowness
)

// counts returns how many answers could show the fault, and how many did.
func (f fault) counts(t Tally) (n, bad float64) {
	if f == failures {
		return float64(t.Answers), float64(t.Failed)
	}
	return float64(t.Timed), float64(t.Slow)
}

// finding is the test that speaks most against a version.
type finding struct {
	// bad is set if it is a verdict.
	bad bool
	// evidence is the natural logarithm of the likelihood ratio, and needed that of
	// the one at which the version is found bad. Robust is the evidence that remains
	// without any one group of targets, and without any one data centre.
	evidence, needed, robust float64
	// suspicion is the largest evidence of any test that remains without any one group of
	// targets.
	suspicion float64
	// since is the step from which the evidence is counted.
	since Step
	fault fault
	// route is empty if it is about all routes.
	route loader.RouteName
}

// likelihoods holds the logarithm of the likelihood ratio for each excess.
type likelihoods [len(excesses)]float64

// mixture returns the logarithm of the mean likelihood ratio.
func (l likelihoods) mixture() float64 {
	largest, sum := l[0], 0.0
	for _, v := range l[1:] {
		largest = max(largest, v)
	}
	for _, v := range l {
		sum += math.Exp(v - largest)
	}
	return largest + math.Log(sum/float64(len(l)))
}

func (l likelihoods) plus(o likelihoods, sign float64) likelihoods {
	for i := range l {
		l[i] += sign * o[i]
	}
	return l
}

// suspect is the evidence against a version on one route, or on all, by groups of targets
// and by data centres.
type suspect struct {
	groups      [targetGroups]likelihoods
	dataCentres [maxDataCentres]likelihoods
}

// history holds the evidence of each step, for each fault.
type history [steps][slowness + 1]suspect

func (s *suspect) add(o *suspect) {
	for i, l := range o.groups {
		s.groups[i] = s.groups[i].plus(l, 1)
	}
	for i, l := range o.dataCentres {
		s.dataCentres[i] = s.dataCentres[i].plus(l, 1)
	}
}

// count adds the evidence of a cell.
func (s *suspect) count(group, dataCentre int, l likelihoods) {
	s.groups[group] = s.groups[group].plus(l, 1)
	s.dataCentres[dataCentre] = s.dataCentres[dataCentre].plus(l, 1)
}

func (s *suspect) total() likelihoods {
	var sum likelihoods
	for _, l := range s.groups {
		sum = sum.plus(l, 1)
	}
	return sum
}

// withoutWorst returns the evidence that remains without any one of the parts.
func withoutWorst(total likelihoods, parts []likelihoods) float64 {
	least := math.Inf(1)
	for _, l := range parts {
		least = min(least, total.plus(l, -1).mixture())
	}
	return least
}

// assess tests whether the new version is worse than the old one: a sequential
// probability ratio test against a mixture of alternatives, for failures and for slowness,
// on each route and on all of them. Under the hypothesis that the version is no worse,
// the likelihood ratio is a supermartingale, so that by Ville's inequality it ever
// exceeds n/falseAlarms in one of n tests with a probability of at most falseAlarms,
// given the rates of the old version. A version may turn bad at any step, so that there is
// a test from each step on. Groups is the number of groups that have targets.
func assess(sum map[Cell]Tally, groups int) finding {
	baseline := newBaseline(sum)
	all := &history{}
	dataCentres := map[loader.DataCentreName]int{}
	histories := map[loader.RouteName]*history{"": all}
	for cell, tally := range sum {
		if cell.Cohort != loader.Canary || cell.Group < 0 || cell.Group >= targetGroups || cell.Step < 0 || cell.Step >= steps {
			continue
		}
		h := histories[cell.Route]
		if h == nil {
			h = &history{}
			histories[cell.Route] = h
		}
		dc, ok := dataCentres[cell.DataCentre]
		if !ok {
			dc = len(dataCentres) % maxDataCentres
			dataCentres[cell.DataCentre] = dc
		}
		for f := failures; f <= slowness; f++ {
			n, bad := f.counts(tally)
			l := compare(n, bad, baseline.rate(cell, f))
			h[cell.Step][f].count(cell.Group, dc, l)
			if h != all {
				all[cell.Step][f].count(cell.Group, dc, l)
			}
		}
	}
	tests := len(histories) * int(slowness+1) * int(steps)
	worst := finding{evidence: math.Inf(-1), robust: math.Inf(-1), suspicion: math.Inf(-1), needed: math.Log(float64(tests) / falseAlarms)}
	for route, h := range histories {
		for f := failures; f <= slowness; f++ {
			var s suspect
			for since := steps - 1; since >= 0; since-- {
				s.add(&h[since][f])
				total := s.total()
				found := finding{evidence: total.mixture(), needed: worst.needed, fault: f, route: route, since: since}
				found.suspicion = found.evidence
				if groups > 1 {
					found.suspicion = min(found.evidence, withoutWorst(total, s.groups[:]))
				}
				found.robust = found.suspicion
				if len(dataCentres) > 1 {
					found.robust = min(found.robust, withoutWorst(total, s.dataCentres[:]))
				}
				found.bad = found.evidence >= found.needed && found.robust >= math.Log(1/partFalseAlarms)
				suspicion := max(worst.suspicion, found.suspicion)
				if found.bad && !worst.bad || found.bad == worst.bad && found.robust > worst.robust {
					worst = found
				}
				worst.suspicion = suspicion
			}
		}
	}
	return worst
}

// compare returns the likelihood ratios of bad answers among n, at a rate of the old
// version that may be 1 if it is unknown.
func compare(n, bad, rate float64) likelihoods {
	var l likelihoods
	if n == 0 || rate > maxBaselineRate {
		return l
	}
	for i, excess := range excesses {
		worse := rate + (1-rate)*excess
		l[i] = bad*math.Log(worse/rate) + (n-bad)*math.Log((1-worse)/(1-rate))
	}
	return l
}

// baseline holds the answers of the old version, and their sums.
type baseline struct {
	cells  map[Cell]Tally
	steps  map[Cell]Tally
	routes map[Cell]Tally
}

func newBaseline(sum map[Cell]Tally) baseline {
	b := baseline{map[Cell]Tally{}, map[Cell]Tally{}, map[Cell]Tally{}}
	for cell, tally := range sum {
		if cell.Cohort != loader.Baseline {
			continue
		}
		key := Cell{Route: cell.Route, DataCentre: cell.DataCentre, Step: cell.Step}
		b.cells[key] = b.cells[key].plus(tally)
		key.DataCentre = ""
		b.steps[key] = b.steps[key].plus(tally)
		key.Step = 0
		b.routes[key] = b.routes[key].plus(tally)
	}
	return b
}

// rate returns the rate of bad answers that is no fault of the new version in a cell: that
// of the old version, and somewhat more, since few answers may lie low by chance. It is 1 where the old version has answered nothing in the same step.
func (b baseline) rate(c Cell, f fault) float64 {
	stepKey := Cell{Route: c.Route, Step: c.Step}
	if n, _ := f.counts(b.steps[stepKey]); n == 0 {
		return 1
	}
	n, bad := f.counts(b.routes[Cell{Route: c.Route}])
	rate := (bad + 1) / (n + 2)
	n, bad = f.counts(b.steps[stepKey])
	rate = (bad + baselineWeight*rate) / (n + baselineWeight)
	n, bad = f.counts(b.cells[Cell{Route: c.Route, DataCentre: c.DataCentre, Step: c.Step}])
	n += baselineWeight
	rate = (bad + baselineWeight*rate) / n
	rate += errorMargin * math.Sqrt(rate*(1-rate)/n)
	return rate*toleratedFactor + toleratedRate
}
