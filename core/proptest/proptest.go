// Package proptest runs property tests with a fixed seed, so that their results
// are reproducible.
package proptest

import (
	"flag"
	"os"
	"testing"
)

const defaultSeed = "20260416"

// Main is the body of TestMain in packages with property tests. A seed given
// on the command line takes precedence.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			f.DefValue = value
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
