package loader

import "flag"

// init fixes the seed of the property tests, so that a run can be repeated. The
// command line may set another seed; 0 selects a new one for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
