package matrix

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
)

func ExampleCheck() {
	at := time.Date(2026, 4, 12, 8, 0, 0, 0, time.UTC)
	logs := Logs{
		Begin: at, End: at.Add(time.Minute),
		Answers: []Answer{{Request: "licence-7", NonIdempotent: true, Outcome: "unknown"}},
		Endpoints: []fakes.Execution{
			{At: at.Add(time.Second), Endpoint: "e1", Request: "licence-7", Event: fakes.ExecutionStarted},
			{At: at.Add(2 * time.Second), Endpoint: "e2", Request: "licence-7", Event: fakes.ExecutionStarted},
		},
	}
	for _, b := range Check(logs) {
		fmt.Println(b.Promise, b.Detail)
	}
	// Output: P6 licence-7 ran 2 times
}
