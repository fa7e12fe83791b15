// Package wire defines the bodies, headers and paths of the HTTP interface for
// callers and operators.
//
// Names are in camel case, durations are strings such as "1m30s", instants are
// in RFC 3339, and binary values are in base 64. Each response has the header
// Baobabquay-Outcome with one of the outcomes. A response that is not the
// answer has an Error as its body.
//
// # Usage
//
//	var job wire.Job
//	err := json.NewDecoder(response.Body).Decode(&job)
//	outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome))
package wire
