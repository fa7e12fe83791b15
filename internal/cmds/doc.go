// Package cmds implements the command-line client as a tree of commands.
//
// A command reads its input and writes its output through Env and results in an
// exit code, so that tests can run commands within the test process. Package
// flaggy parses the arguments. In some cases flaggy prints a message and exits
// the process by itself; parse disables these cases or rejects the arguments
// before flaggy sees them.
//
// Every command that prints a result accepts "--output json". Commands and their
// flags are declared as data, in one function for each group of commands;
// newRootCommand lists the groups. Commands that need a server call it through
// package client, and the outcome of the call determines the exit code.
//
// # Usage
//
//	env := cmds.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
//		ReadFile: cmds.ReadFile, NewKey: keys.Generate, HashOf: keys.HashOf,
//		Getenv: os.Getenv, Connect: client.New}
//	code := cmds.Run(ctx, env, os.Args[1:])
//	os.Exit(int(code))
package cmds
