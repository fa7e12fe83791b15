// Package wire defines the bodies, headers and paths of the HTTP interface for
// callers and operators.
//
// Field names are in camel case, durations are strings such as "1m30s", times
// are in RFC 3339, and binary values are in base 64. Each response has the header
// Baobabquay-Outcome with the Outcome of the call. The body of a response with
// an outcome other than done is an Error.
//
// # Usage
//
//	var job wire.Job
//	err := json.NewDecoder(response.Body).Decode(&job)
//	outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome))
package wire
