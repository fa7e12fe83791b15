package plan

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// propertySeed makes the property tests draw the same cases on each run.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println("rapid seed", propertySeed)
	os.Exit(m.Run())
}
