// Package event writes the numbered events of the log.
//
// Each routing and placement decision, each refusal and each change of
// ownership or configuration is one event with a number that never changes
// its meaning. docs/events.md lists the events; a test compares that page with
// the catalogue of this package.
//
// # Usage
//
//	log := event.New(logger)
//	log.Write(event.JobPlaced, "workspace", ws, "job", id, "domain", d)
//
// Keys are in camel case.
package event
