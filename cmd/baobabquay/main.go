// Command baobabquay is the command-line client for operators and callers.
// Package cmds has the commands.
//
// # Usage
//
//	baobabquay --help
//	baobabquay config check base.ini overlay.ini
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/baobabquay/baobabquay/internal/cmds"
	"github.com/baobabquay/baobabquay/internal/keys"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cmds.Run(ctx, cmds.Env{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		ReadFile: os.ReadFile, NewKey: keys.Generate, HashOf: keys.HashOf,
	}, os.Args[1:])
	stop()
	os.Exit(int(code))
}
