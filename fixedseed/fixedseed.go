// Package fixedseed runs the tests of a package with a fixed random seed for rapid, a library
// that checks properties with random inputs, so that the inputs are the same each time.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs the tests of a package that uses rapid, and returns the exit code. It is called from
// TestMain. Rapid uses the given seed unless -rapid.seed is set on the command line. The package
// must import rapid, which registers that flag; otherwise Run panics.
func Run(m *testing.M, seed uint64) int {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		panic(err)
	}
	flag.Parse()
	return m.Run()
}
