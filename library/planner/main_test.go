package planner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the property tests with a fixed seed unless the flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
