// Package share accounts for what each workspace uses and compares it with the
// limits of the workspaces: a cap on what may run at a time, and a weight, which
// sets the share of a workspace while not everything fits.
//
// The account counts whatever may be running, so that a start that fits the cap
// by the account fits it on the workers as well. The package does no I/O and
// starts no goroutines.
//
// # Usage
//
//	var account share.Account
//	usage := account.Usage("workspace")
//	usage.Reserved = usage.Reserved.Plus(demand)
//	if limit.Fits(usage.Total().Plus(other)) {
//		// Another start keeps to the cap.
//	}
package share
