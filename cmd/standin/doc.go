// Command standin simulates the platform over HTTP, for the demo and for
// measurements. A process serves either the table service with the object store
// and the list of instances, or many workers, or many endpoints. These
// simulated services, workers and endpoints are called stand-ins.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7000 --lag 2s
//	standin workers --platform 127.0.0.1:7000 --listen 127.0.0.1:7100 \
//		--domain ub1 --racks 3 --perRack 8 --accelerators 8 --processors 60 --memory 256GiB
//	standin endpoints --platform 127.0.0.1:7000 --listen 127.0.0.1:7300 \
//		--service proof --domain ub1 --region ulaanbaatar --count 10 --slots 8
//
// The control calls are served at the address of --listen. The first worker or
// endpoint listens on the port after it, the second on the next one, and so on.
// The control calls are:
//
//	GET  /control/log     returns the log of events as JSON lines
//	POST /control/faults  sets a fault, or clears all faults with {"clear":true}
//	POST /control/leave   makes endpoints leave: {"name":"proof-ub1-3"}
//	POST /control/return  makes endpoints that left accept requests again
//
// The body of /control/faults has the fields kind, delay, next and name. The
// name is table, objects or list for the platform, and the name of a worker or
// an endpoint otherwise. Without a name the call applies to all. Workers also
// accept the fault kind failAll, which makes every task that they start fail.
// On SIGTERM a process completes the requests in flight and exits.
package main
