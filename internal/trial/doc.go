// Package trial tests the whole path of a job, from its submission to the ends
// that workers report, on in-memory stand-ins and the virtual clock of
// testing/synctest.
//
// The harness runs three instances of the scheduler against a table service and
// workers of package fakes. All calls of an instance to the store and to workers
// pass through its link, which classifies each call as a step and can block,
// delay, drop or reset it. The checks use only the logs of the stand-ins and the
// answers that callers got.
//
// # Usage
//
//	go test ./internal/trial                          # single scenarios and a sample of the matrix
//	MATRIX=1 go test ./internal/trial -run TestMatrix # every step against every fault
package trial
