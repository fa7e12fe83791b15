package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// failureForm is a call that is not done.
type failureForm struct {
	Outcome    wire.Outcome  `json:"outcome"`
	Reason     string        `json:"reason"`
	Detail     string        `json:"detail"`
	RetryAfter wire.Duration `json:"retryAfter,omitempty"`
	RequestID  string        `json:"requestId,omitempty"`
}

const (
	// serverVariable and keyVariable are read where the flags are not given.
	serverVariable = "BAOBABQUAY_SERVER"
	keyVariable    = "BAOBABQUAY_KEY"

	// defaultTimeout bounds the time of a command, retries included.
	defaultTimeout = time.Minute
)

// Reasons of the server that have their own exit codes.
const (
	conflictReason = "versionConflict"
	mistakesReason = "invalidConfiguration"
)

// serverFlags returns the flags of all commands that need a server.
func serverFlags() []flag {
	return []flag{
		{
			long: "server", short: "s", arg: "ADDR[,ADDR]",
			summary: "addresses of entry instances, such as 10.0.0.1:8080 (default $" + serverVariable + ")",
			text:    func(o *options) *string { return &o.server },
		},
		{
			long: "key", short: "k", arg: "KEY",
			summary: "key of the workspace or operator (default $" + keyVariable + ", which other users cannot see)",
			text:    func(o *options) *string { return &o.key },
		},
		{
			long: "timeout", short: "t", arg: "DURATION",
			summary: fmt.Sprintf("time for the whole command (default %v; none for job wait and request)", defaultTimeout),
			text:    func(o *options) *string { return &o.timeout },
		},
	}
}

// online calls do with a client and a context that ends after the flag
// --timeout or else after limit. A limit of 0 is none.
func (c *call) online(ctx context.Context, limit time.Duration, do func(ctx context.Context, cl *client.Client) error) error {
	servers, err := parseServers(c.setting(c.options.server, serverVariable))
	if err != nil {
		return err
	}
	if text := c.options.timeout; text != "" {
		if limit, err = time.ParseDuration(text); err != nil || limit <= 0 {
			return usageErrorf("timeout %q, allowed is a positive duration such as 10s", text)
		}
	}
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	cl := c.env.Connect(client.Settings{Servers: servers, Key: c.setting(c.options.key, keyVariable)})
	defer cl.Close()
	return do(ctx, cl)
}

// setting returns the flag's value or else that of the environment variable.
func (c *call) setting(value, variable string) string {
	if value == "" && c.env.Getenv != nil {
		return c.env.Getenv(variable)
	}
	return value
}

func parseServers(text string) ([]netip.AddrPort, error) {
	if text == "" {
		return nil, usageErrorf("no server: give --server ADDR[,ADDR] or set %s", serverVariable)
	}
	var servers []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, usageErrorf("server %q, allowed is an IP address with a port, such as 10.0.0.1:8080", part)
		}
		servers = append(servers, a)
	}
	return servers, nil
}

// oneArg returns the only argument, which the usage calls name.
func (c *call) oneArg(name string) (string, error) {
	all := append(c.args, c.rest...)
	if len(all) != 1 {
		return "", usageErrorf("the command takes one argument %s, got %d", name, len(all))
	}
	return all[0], nil
}

// codeOfCall returns the exit code for an error of a call to a server.
func codeOfCall(err error) Code {
	var e *client.Error
	switch {
	case !errors.As(err, &e):
		return Failed
	case e.Outcome == wire.Unknown:
		return Unknown
	case e.Reason == conflictReason:
		return Conflict
	case e.Reason == mistakesReason:
		return Mistakes
	}
	return Failed
}

// printFailure writes an error of a call to the output if that is JSON. The
// text of the error goes to the error output in any case.
func (c *call) printFailure(err error) {
	var e *client.Error
	if c.options.output != jsonOutput || !errors.As(err, &e) {
		return
	}
	detail := e.Detail
	if detail == "" && e.Err != nil {
		detail = e.Err.Error()
	}
	// Without an output the exit code still tells the outcome.
	_ = c.print(failureForm{e.Outcome, e.Reason, detail, wire.Duration(e.RetryAfter), e.RequestID}, "")
}
