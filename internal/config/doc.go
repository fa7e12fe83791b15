// Package config holds the configuration of a site: failure domains,
// workspaces with their guarantees, services, operators and limits.
//
// A configuration is one value with a version. It is changed only as a whole,
// by compare-and-set against the version it was read at, and an instance puts
// a version in force only when it is higher than the one before. Package
// inifmt reads it from INI files and package record stores it.
//
// # Usage
//
//	if problems := c.Check(); len(problems) > 0 {
//		return problems
//	}
//	for _, change := range config.Diff(inForce, c) {
//		fmt.Println(change) // set workspace "foundryA" weight: 3 -> 4
//	}
//	d, ok := c.Domain("ub1")
//	ws, ok := c.Workspace("foundryA")
//
// A Path names a part or a value the same way in problems, in changes and in
// the files of package inifmt. Values lists a configuration as paths with
// their values in text form.
//
// A Config is never changed once it is in force; With returns changed copies.
package config
