// Command platform plays the scripted cases of the third review. It starts instances of
// baobabquayd as separate processes, with the settings of the deploy file, and small
// stand-ins for the platform's store, the runners and the callers on loopback addresses.
//
// Usage:
//
//	third CASE DIR
//
// CASE is the name of a case and DIR its folder, to which record.txt is written. With
// TROUBLE=0 in the environment the case is played without its disruption. The exit code is
// 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
