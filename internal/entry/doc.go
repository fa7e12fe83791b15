// Package entry is the HTTP front end of an instance for callers and
// operators.
//
// It authenticates the caller, decodes the call, passes it to the packages that
// implement it, and encodes the response. Every response names its outcome in a
// header.
//
// # Usage
//
//	handler := entry.NewHandler(entry.Deps{Config: configManager.Current, Jobs: intake, ...})
//	server := &http.Server{Handler: handler}
//
// Callers and operators send their key as a bearer token. A caller sees only
// the jobs of its workspace; a job of another one is reported like one that
// does not exist.
package entry
