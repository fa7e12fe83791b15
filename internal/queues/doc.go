// Package queues holds the operators' configuration that is in force: the
// queues to which callers send jobs, the services whose workers run them, and
// the workspaces with their keys and guarantees.
//
// A Config never changes once it is built. Keeper replaces it as a whole, and
// only by one with a higher version.
//
// # Usage
//
//	k := queues.NewKeeper(log)
//	k.Install(config)
//	q, ok := k.Current().Queue(host, path)
package queues
