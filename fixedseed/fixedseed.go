// Package fixedseed runs property-based tests with a fixed random seed, so that they check
// the same inputs each time.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs the tests of a package that uses rapid and returns the exit code. Rapid uses the
// given seed unless -rapid.seed is set on the command line. The package must import rapid,
// which registers that flag.
func Run(m *testing.M, seed uint64) int {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		panic(err)
	}
	flag.Parse()
	return m.Run()
}
