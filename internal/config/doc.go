// Package config defines the configuration of a site: failure domains,
// workspaces with their guarantees, services, operators and limits.
//
// A configuration is one value with a version. It is replaced only as a whole,
// by compare-and-set against the version that was read, and an instance puts a
// version in force only if it is higher than the one already in force. Package
// inifmt reads a configuration from INI files and package record stores it.
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
// A part is the site, one domain, workspace, guarantee, service or operator, or
// the limits. Each part has values. A Path identifies a part or a value in the
// same way in problems, in changes and in the files of package inifmt. Values
// lists a configuration as paths with their values in text form.
//
// A Config is not modified once it is in force; WithDomain returns a modified
// copy.
package config
