// Package queues holds the operators' configuration that is in force: the
// queues to which callers submit jobs, the services whose workers run them, and
// the workspaces with their keys and guarantees. It also holds the set of
// failure domains that are out of service.
//
// A Config is immutable once it is in force. ActiveConfig replaces it as a
// whole, and only by one with a higher version.
//
// # Usage
//
//	a := queues.NewActiveConfig(log)
//	a.Install(config)
//	q, ok := a.Current().Queue(host, path)
package queues
