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

// TestStop guards against a planned stop that cuts off a request in flight,
// keeps wanting callers, or keeps them on their connections.
func TestStop(t *testing.T) {
	log := event.New(logr.Discard())
	p := &parts{
		settings: Settings{Grace: 6 * time.Second}, log: log, queues: queues.NewKeeper(log), elector: elect.New(elect.Deps{Log: log}),
		stand: func() {}, end: func() {},
	}
	p.queues.Install((&queues.Config{Version: 1}).Seal())
	p.contact.note(nil)
	assert.Assert(t, p.ready())

	begun, answer := make(chan struct{}, 2), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: p.draining(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-answer
		if _, err := fmt.Fprint(w, "whole"); err != nil {
			t.Error(err)
		}
	}))}
	p.servers = append(p.servers, server)
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
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- p.stop(context.Background()) }()
	for !p.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !p.ready())
	// A caller whose connection the balancer had forwarded before.
	go call()
	<-begun
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
	assert.Equal(t, closing, 1, "the second answer asks the caller to leave")
	assert.NilError(t, <-stopped)
	_, err = net.Dial("tcp", l.Addr().String())
	assert.Assert(t, err != nil, "still listening")
}
