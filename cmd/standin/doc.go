// Command standin serves small stand-ins for the platform over HTTP: the table
// service with the object store and the list of instances, many workers in one
// process, or many endpoints in one process.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7000 --lag 2s
//	standin workers --platform 127.0.0.1:7000 --listen 127.0.0.1:7100 \
//		--domain ub1 --racks 3 --perRack 8 --accelerators 8 --processors 60 --memory 256GiB
//	standin endpoints --platform 127.0.0.1:7000 --listen 127.0.0.1:7300 \
//		--service proof --domain ub1 --region ulaanbaatar --count 10 --slots 8
//
// Each worker and endpoint has a port of its own, counting up from the one
// after that of --listen, which takes control calls:
//
//	GET  /control/log     what happened, as JSON lines
//	POST /control/faults  sets a fault, or clears all with {"clear":true}
//	POST /control/leave   makes endpoints leave: {"name":"proof-ub1-3"}
//	POST /control/return  makes them take requests again
//
// A body of faults has the fields kind, delay, next and name: the target of the
// platform is table, objects or list, and that of the others the name of a
// worker or endpoint. Without a name the call applies to all. Workers also have
// the fault kind failAll. SIGTERM ends a process after the requests in flight.
package main
