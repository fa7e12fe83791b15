// Package daemon assembles and runs an instance of the scheduler.
//
// All instances are alike and keep nothing on disk. An instance reads its
// addresses and its failure domain from a settings file and the configuration
// from the platform's table service. It is ready once it has found the other
// instances, has a configuration in force and has read the platform's list of
// instances, endpoints and workers.
//
// # Usage
//
//	settings, err := daemon.ReadSettings("instance.ini")
//	app := daemon.New(settings, logger)
//	err = app.Start(ctx)
//	...
//	err = app.Stop(ctx) // planned stop: drains the requests in flight
//
// The parts are wired by uber/fx: each constructor declares its dependencies as
// parameters. The hooks of the instance start and stop its loops and servers.
package daemon
