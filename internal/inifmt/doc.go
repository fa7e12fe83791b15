// Package inifmt converts between INI files and package config.
//
// An installation is described by one base file and any number of overlays. An
// overlay says only what differs. Read runs them through the first filters of
// the configuration path, parse, overlay, decode and check, and returns either
// a configuration or every mistake of all files. Write is the opposite
// direction.
//
// # Format
//
// The sections are [site], [limits], and the named ones such as
// [domain "ub1"], [workspace "foundryA"], [guarantee "foundryA/proofing"],
// [service "stamp"] and [operator "desk"]. Keys are camelCase. A duration is
// written as 1m30s, an amount of memory as 64GiB, and a list with commas. A
// comment starts with # or ; on its own line or after a space. A section
// stands once in a file and a key once in a section.
//
// In an overlay, the keys of a section override those of the section that the
// files before it have. A section that they do not have needs the key
// "add = true", so that a misspelt name is not taken for a new section.
// "remove = true" removes a section; the guarantees of a removed workspace are
// removed by sections of their own.
//
// The keys "version" and "homes" are set by the system when it accepts a
// configuration. Files may have them, because Write renders what is in force.
//
// # Usage
//
//	r, err := inifmt.Read(ctx,
//		inifmt.Source{File: "base.ini", Text: base},
//		inifmt.Source{File: "erdenet.ini", Text: overlay},
//	)
//	var mistakes inifmt.Mistakes
//	if errors.As(err, &mistakes) {
//		for _, m := range mistakes { ... }
//	}
//	for _, o := range r.Origins { ... } // the file of each value
//	text := inifmt.Write(r.Config)
package inifmt
