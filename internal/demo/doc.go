// Package demo sends load to running installations, as their callers and
// operators do, and checks promises of the system from outside.
//
// The load comes from workload files: requests and jobs of several workspaces,
// and failure domains that an operator takes out of service and brings back.
// All calls go over HTTP to instances that report that they are ready, as a
// load balancer would send them. A call is repeated only where its outcome
// allows it: after notRun, after unknown and after a broken connection, always
// with the same identifier and never with a new one.
//
// The platform, the workers and the endpoints of an installation are stand-ins
// (command standin), which log what happens to them. The outcomes of the calls
// and these logs make up a Record. Check and Render are pure functions of it.
// No check relies on what the instances say about themselves, except for the
// configuration version in force and the last line of the log of an instance
// that was stopped.
//
// Processes are started, killed and stopped by the script scripts/demo. The
// program and the script communicate through files in one directory: the
// program writes the file "serving" when the load begins, with the instance to
// kill and the one to stop, and the script appends each fault that it has
// injected to the file "faults".
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
