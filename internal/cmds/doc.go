// Package cmds is the command-line client as a tree of commands.
//
// A command reads its input and writes its output through Env, and its result
// is an exit code, so that tests run commands in their own process. Package
// flaggy parses the arguments. It prints and ends the process by itself in some
// cases; parse turns these cases off or refuses them before flaggy sees them.
//
// Every command that prints takes "--output json". Commands and their flags are
// declared as data in one function for each group, and newRoot lists the
// groups. Commands that need a server call it through package client, and the
// outcome of the call decides the exit code.
//
// # Usage
//
//	env := cmds.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
//		ReadFile: os.ReadFile, NewKey: keys.Generate, HashOf: keys.HashOf,
//		Getenv: os.Getenv, Connect: client.New}
//	code := cmds.Run(ctx, env, os.Args[1:])
//	os.Exit(int(code))
package cmds
