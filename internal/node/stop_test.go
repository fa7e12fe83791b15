package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/elect"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestStop guards against a planned stop during which a request in flight is cut
// off, the instance still reports that it is ready, or connections stay open.
func TestStop(t *testing.T) {
	log := event.New(logr.Discard())
	in := &instance{
		settings: Settings{Grace: 6 * time.Second}, log: log, queues: queues.NewActiveConfig(log), elector: elect.New(elect.Deps{Log: log}),
		leaveElection: func() {}, cancel: func() {},
	}
	in.queues.Install((&queues.Config{Version: 1}).BuildIndex())
	in.storeHealth.record(nil)
	assert.Assert(t, in.ready())

	started, answer := make(chan struct{}, 2), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: in.closeWhenStopping(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-answer
		if _, err := fmt.Fprint(w, "whole"); err != nil {
			t.Error(err)
		}
	}))}
	in.servers = append(in.servers, server)
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			t.Error(err)
		}
	}()
	type outcome struct {
		body  string
		close bool
		err   error
	}
	outcomes := make(chan outcome, 2)
	call := func() {
		res, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			outcomes <- outcome{err: err}
			return
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		outcomes <- outcome{string(body), res.Close, err}
	}
	go call()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- in.stop(context.Background()) }()
	for !in.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !in.ready())
	// A call on a connection that the load balancer forwarded before it saw that
	// the instance is not ready.
	go call()
	<-started
	close(answer)
	closing := 0
	for range 2 {
		o := <-outcomes
		assert.NilError(t, o.err)
		assert.Equal(t, o.body, "whole")
		if o.close {
			closing++
		}
	}
	assert.Equal(t, closing, 1, "only the answer to the call during the stop closes its connection")
	assert.NilError(t, <-stopped)
	_, err = net.Dial("tcp", l.Addr().String())
	assert.Assert(t, err != nil, "the instance still listens after the stop")
}
