// Package node assembles an instance that runs on the platform, with fx.
//
// The instance answers callers (package accept), takes part in the choice of
// the leader (package elect), and gives orders to the workers while it leads
// (package lead). Package platform translates for all of them.
//
// # Usage
//
//	settings, err := node.ReadSettings(path)
//	app := node.New(settings, sink)
//	err = app.Start(ctx)
//	...
//	err = app.Stop(ctx)
package node
