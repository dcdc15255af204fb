package limiter

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that runs are repeatable, unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
