// Package trial tests the whole path of a job on the platform, from the desk
// to the workers' lists, on stand-ins in memory and with a paused clock.
//
// A world has three instances of the product's own code, a table service and
// workers of package fakes. All calls of an instance pass through its link,
// which knows each call as a step and can cut, delay, lose or repeat it. The
// checks read only the stand-ins' logs and what callers were answered.
//
// # Usage
//
//	go test ./internal/trial                          # the paths and a sample of the matrix
//	MATRIX=1 go test ./internal/trial -run TestMatrix # every step against every fault
package trial
