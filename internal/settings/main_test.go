package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the randomised tests to 1 unless the command line sets one,
// so that a failure can be reproduced.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
