package courier

import "flag"

// init fixes the seed of the property tests; the command line may set another,
// and 0 means a new one for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
