// Package demo drives a running installation as its callers and operators do
// and checks its promises from outside.
//
// The load comes from workload files: requests and jobs of several workspaces,
// and failure domains that an operator takes out of service and brings back.
// All calls go over HTTP to instances that say they are ready, as a load
// balancer would send them. A call is repeated only where its outcome allows
// it: after notRun and after a broken connection with the same identifier, and
// never with a new one.
//
// What the callers saw and the logs of the stand-ins are put into a Record.
// Check and Render are pure functions of it. No check relies on what the
// instances say about themselves, except for the configuration version in
// force and the last line of the log of an instance that was stopped.
//
// Processes are started, killed and stopped by the script scripts/demo. Both
// sides communicate by files in one directory: the program writes the file
// "serving" when the load begins, with the instance to kill and the one to
// stop, and the script appends to the file "faults" what it did.
//
// # Usage
//
//	record, err := demo.Run(ctx, plan)
//	if err != nil {
//		return err
//	}
//	findings := demo.Check(record)
//	fmt.Print(demo.Render(record, findings))
package demo
