package demo_test

import (
	"fmt"

	"github.com/baobabquay/baobabquay/internal/demo"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// A request that ran although it was refused breaks a promise.
func ExampleCheck() {
	r := demo.Record{Sites: []demo.Site{{
		Requests:       []demo.Request{{ID: "stamp-1", Calls: []demo.Call{{Instance: "a", Outcome: wire.NotRun}}}},
		EndpointEvents: []demo.EndpointEvent{{Kind: "started", Request: "stamp-1"}},
		FinalVersions:  []demo.VersionSample{{Instance: "a", Version: 1}},
	}}}
	for _, f := range demo.Check(r) {
		for _, b := range f.Breaches {
			fmt.Println(f.Promise+":", b)
		}
	}
	// Output:
	// no refused request was executed: stamp-1 was refused by a (), but ran
	// no refused request was executed: stamp-1 was refused, but ran
}
