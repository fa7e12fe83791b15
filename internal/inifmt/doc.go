// Package inifmt converts between INI files and package config.
//
// A site is described by one base file and any number of overlays, which
// contain only what differs. Read passes the files through the filters parse,
// overlay, decode and check, and returns either a configuration or all mistakes
// of all files. Write renders a configuration as one file.
//
// # Format
//
// The sections are [site], [limits], and the named ones such as
// [domain "ub1"], [workspace "foundryA"], [guarantee "foundryA/proofing"],
// [service "stamp"] and [operator "desk"]. Keys are in camel case. A duration
// is written as 1m30s, an amount of memory as 64GiB, and a list with commas
// between its elements. A comment starts with # or ;, on a line of its own or
// after a space. A section appears at most once in a file and a key at most
// once in a section.
//
// In an overlay, the keys of a section override those of the same section in
// earlier files. A section that no earlier file has needs the key "add = true",
// so that a misspelt name is not taken for a new section. "remove = true"
// removes a section. The guarantees of a removed workspace have to be removed
// by sections of their own.
//
// The keys "version" and "homes" are set by the system when it accepts a
// configuration. Files may contain them, because Write also renders
// configurations in force.
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
