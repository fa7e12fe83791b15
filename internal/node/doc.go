// Package node assembles, with fx, an instance that runs on the platform.
//
// The instance answers callers (package accept), takes part in the leader
// election (package elect), and schedules jobs on the workers while it is the
// leader (package lead). Package platform converts between their types and the
// protocols of the platform.
//
// # Usage
//
//	settings, err := node.ReadSettings(path)
//	app := node.New(settings, sink)
//	err = app.Start(ctx)
//	...
//	err = app.Stop(ctx)
package node
