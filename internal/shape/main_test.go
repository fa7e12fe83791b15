package shape_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// propertySeed fixes the inputs of the property tests, so that failures repeat.
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
