// Package ident holds the identifier types that the other packages share, so
// that a worker's name cannot be passed where a workspace's is expected.
//
// # Usage
//
//	ws := ident.Workspace("foundry-a")
//	if err := ident.Check(string(ws)); err != nil {
//		return err
//	}
//
// Identifiers travel in row keys and URL paths. Check therefore allows only
// letters, digits, dot, underscore and hyphen.
package ident
