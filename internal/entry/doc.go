// Package entry is the HTTP front end of an instance for callers and
// operators.
//
// It identifies the caller, decodes the call, passes it to the packages that
// decide, and encodes the answer. Every response names its outcome in a header.
//
// # Usage
//
//	handler := entry.NewHandler(entry.Deps{Config: site.Current, Jobs: intake, ...})
//	server := &http.Server{Handler: handler}
//
// Callers and operators send their key as a bearer token. A caller sees only
// the jobs of its workspace; a job of another one is reported like one that
// does not exist.
package entry
