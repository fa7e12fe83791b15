// Command standin runs the cases of the review: it starts instances of baobabquayd
// with a stand-in for the platform's store, stand-in runners and clients, and checks
// one rule by what these have seen.
//
//	standin CASE DIRECTORY
//
// It writes record.txt into the directory. With TROUBLE=0 in the environment the
// disruption of the case is left out. The exit status is 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. The first five have a directory beside this one, the
// others are described in REPORT.md.
var cases = map[string]func(*scene){
	"overdue":   overdue,
	"late":      lateStart,
	"cancelled": cancelled,
	"kind":      kindChanged,
	"stalled":   stalled,

	"moved":   queueMoved,
	"lasting": lastingFails,
	"wide":    wide,
	"near":    nearRackFull,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(2)
	}
	s := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		abort(fmt.Errorf("interrupted"))
	}()
	time.AfterFunc(118*time.Second, func() { abort(fmt.Errorf("took too long")) })
	cases[os.Args[1]](s)
	status := s.verdict()
	s.stop()
	os.Exit(status)
}
