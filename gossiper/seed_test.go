package gossiper

import "flag"

// init sets a fixed default seed for the property tests. The -rapid.seed flag
// overrides it; 0 takes a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
