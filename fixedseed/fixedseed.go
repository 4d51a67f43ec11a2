// Package fixedseed makes tests that draw their inputs draw the same ones each time.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs the tests of a package whose properties rapid checks, with a seed of its own;
// -rapid.seed on the command line goes first. The package has to import rapid. It returns
// the exit code.
func Run(m *testing.M, seed uint64) int {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		panic(err)
	}
	flag.Parse()
	return m.Run()
}
