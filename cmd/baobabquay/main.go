// Command baobabquay is the command-line client for operators and callers.
// Package cmds implements its commands.
//
// # Usage
//
//	baobabquay --help
//	baobabquay config check base.ini overlay.ini
//	baobabquay status --server 10.0.0.1:8080
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/baobabquay/baobabquay/internal/cmds"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/pkg/client"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cmds.Run(ctx, cmds.Env{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		ReadFile: cmds.ReadFile, NewKey: keys.Generate, HashOf: keys.HashOf,
		Getenv: os.Getenv, Connect: client.New, Events: client.Events,
	}, os.Args[1:])
	stop()
	os.Exit(int(code))
}
