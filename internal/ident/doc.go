// Package ident defines the identifier types that the other packages share. A
// type of its own for each kind of identifier prevents, for example, a worker's
// name from being passed where a workspace's name is expected.
//
// # Usage
//
//	ws := ident.Workspace("foundry-a")
//	if err := ident.Check(string(ws)); err != nil {
//		return err
//	}
//
// Identifiers are parts of row keys and URL paths. Check therefore allows only
// letters, digits, dots, underscores and hyphens.
package ident
