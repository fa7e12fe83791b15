// Package daemon assembles an entry instance.
//
// All instances are alike and keep nothing on disk. An instance reads its
// addresses and its failure domain from its settings, the configuration from
// the platform's table service, and is ready once it has a configuration in
// force and has read the platform's list.
//
// # Usage
//
//	settings, err := daemon.ReadSettings("instance.ini")
//	app := daemon.New(settings, logger)
//	err = app.Start(ctx)
//	...
//	err = app.Stop(ctx) // planned stop: nothing in flight is cut off
//
// The parts are joined by uber/fx: each constructor names what it needs, and
// the hooks start and stop the loops in the order of their dependencies.
package daemon
