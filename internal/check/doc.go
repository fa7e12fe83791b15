// Package check examines a configuration of queues, services and workspaces before it
// is put in force: entries that can never match, limits that contradict each other, and
// the changes from another version with what they mean for callers.
//
// It does no I/O and uses the rules of package queues, so that a finding says what an
// instance would do. The decoder of the configuration provides the position of each
// value through Document.Locate and reports what it cannot decode as findings of its own.
//
// # Usage
//
//	findings := check.Findings(document, check.Options{Accelerators: 2800})
//	changes := check.Changes(old, document)
package check
