package replayer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
