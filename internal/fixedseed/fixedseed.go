// Package fixedseed sets a fixed seed for property-based tests, so that repeated
// runs give the same result. Test files import it for its side effect. To search
// for new failures, run a test with -rapid.seed=0 (a random seed) and a higher
// -rapid.checks.
package fixedseed

import (
	"flag"

	// Registers the flag rapid.seed.
	_ "pgregory.net/rapid"
)

// seed is an arbitrary fixed value.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
