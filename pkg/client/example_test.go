package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"

	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.Header().Set(wire.HeaderOutcome, string(wire.Done))
			_ = json.NewEncoder(w).Encode(wire.Job{ID: "job-1", State: "pending"})
			return
		}
		w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(wire.Error{Outcome: wire.NotRun, Reason: "notFound"})
	}))
	defer server.Close()

	c := client.New(client.Settings{
		Servers: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())},
		Key:     "key of the workspace",
	})
	defer c.Close()
	job, err := c.Submit(context.Background(), wire.Submission{Shape: wire.Shape{Members: 4, Accelerators: 8}})
	fmt.Println(job.ID, job.State, err)

	_, err = c.Job(context.Background(), "job-2")
	var failure *client.Error
	if errors.As(err, &failure) {
		fmt.Println(failure.Outcome, failure.Reason)
	}
	// Output:
	// job-1 pending <nil>
	// notRun notFound
}
