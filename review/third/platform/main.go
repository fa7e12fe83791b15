package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(*record) (bool, error){
	"headroom": func(r *record) (bool, error) { return headroomCase().play(r) },
	"away":     func(r *record) (bool, error) { return playAway(r) },
	"restart":  func(r *record) (bool, error) { return playRestart(r) },
	"cancel":   func(r *record) (bool, error) { return playCancel(r) },
	"wide":     func(r *record) (bool, error) { return playWide(r) },
}

// The instances end with the thread that has started them, so that it must be the main one.
func init() { runtime.LockOSThread() }

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE DIR")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.add("case %s, TROUBLE=%s", os.Args[1], os.Getenv("TROUBLE"))
	held, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		r.add("the rule held")
		return exitHeld
	}
	r.add("the rule was broken")
	return exitBroken
}
