// Command platform plays one case of the second review against the program. It starts a
// small deployment on loopback, brings the disruption of the case, unless the
// environment variable TROUBLE is 0, and checks the rule of the case.
//
// Usage, from the root of the repository:
//
//	target/review-second CASE RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases has the cases by name. Each reports whether the rule held.
var cases = map[string]func(s *site, trouble bool) bool{
	"guarantee": guaranteeCase,
	"waiting":   waitingCase,
	"lasting":   lastingCase,
	"urgent":    urgentCase,
	"gang":      gangCase,
	"twice":     twiceCase,
	"wide":      wideCase,
	"near":      nearCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD")
		os.Exit(exitNotRun)
	}
	room := fullRoom
	if os.Args[1] == "near" {
		room.GPU = 0
	}
	s := newSite(os.Args[2], room)
	held := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	s.stop()
	if !held {
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
