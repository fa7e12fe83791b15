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

// failureJSON is the JSON output for a call with an outcome other than done.
type failureJSON struct {
	Outcome    wire.Outcome  `json:"outcome"`
	Reason     string        `json:"reason"`
	Detail     string        `json:"detail"`
	RetryAfter wire.Duration `json:"retryAfter,omitempty"`
	RequestID  string        `json:"requestId,omitempty"`
}

const (
	// serverEnvVar and keyEnvVar name the environment variables that are read if
	// the flags --server and --key are not given.
	serverEnvVar = "BAOBABQUAY_SERVER"
	keyEnvVar    = "BAOBABQUAY_KEY"

	// defaultTimeout limits the run time of a command, including retries.
	defaultTimeout = time.Minute
)

// Reasons in error responses of the server that have their own exit codes.
const (
	reasonVersionConflict      = "versionConflict"
	reasonInvalidConfiguration = "invalidConfiguration"
)

// serverFlags returns the flags of all commands that need a server.
func serverFlags() []flag {
	return []flag{
		{
			long: "server", short: "s", arg: "ADDR[,ADDR]",
			summary:   "addresses of entry instances, such as 10.0.0.1:8080 (default $" + serverEnvVar + ")",
			stringVar: func(o *options) *string { return &o.server },
		},
		{
			long: "key", short: "k", arg: "KEY",
			summary:   "key of the workspace or operator (default $" + keyEnvVar + ", which other users cannot see)",
			stringVar: func(o *options) *string { return &o.key },
		},
		{
			long: "timeout", short: "t", arg: "DURATION",
			summary:   fmt.Sprintf("time limit of the whole command (default %v; none for job wait and request)", defaultTimeout),
			stringVar: func(o *options) *string { return &o.timeout },
		},
	}
}

// withClient calls fn with a client and with a context that ends after the value
// of the flag --timeout, or after timeout if the flag is not given. A timeout of
// 0 means no limit.
func (inv *invocation) withClient(ctx context.Context, timeout time.Duration, fn func(ctx context.Context, c *client.Client) error) error {
	servers, err := parseServers(inv.flagOrEnv(inv.options.server, serverEnvVar))
	if err != nil {
		return err
	}
	if text := inv.options.timeout; text != "" {
		if timeout, err = time.ParseDuration(text); err != nil || timeout <= 0 {
			return usageErrorf("invalid timeout %q: must be a positive duration such as 10s", text)
		}
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	c := inv.env.Connect(client.Settings{Servers: servers, Key: inv.flagOrEnv(inv.options.key, keyEnvVar)})
	defer c.Close()
	return fn(ctx, c)
}

// flagOrEnv returns the value of a flag, or the value of the environment variable
// if the flag is not given.
func (inv *invocation) flagOrEnv(value, variable string) string {
	if value == "" && inv.env.Getenv != nil {
		return inv.env.Getenv(variable)
	}
	return value
}

func parseServers(text string) ([]netip.AddrPort, error) {
	if text == "" {
		return nil, usageErrorf("missing server address: use --server ADDR[,ADDR] or set %s", serverEnvVar)
	}
	var servers []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, usageErrorf("invalid server address %q: must be an IP address with a port, such as 10.0.0.1:8080", part)
		}
		servers = append(servers, a)
	}
	return servers, nil
}

// singleArg returns the only argument. The name is its name in the usage line.
func (inv *invocation) singleArg(name string) (string, error) {
	all := append(inv.args, inv.rest...)
	if len(all) != 1 {
		return "", usageErrorf("the command takes one argument %s, got %d", name, len(all))
	}
	return all[0], nil
}

// exitCodeOfClientError returns the exit code for an error of a call to a server.
func exitCodeOfClientError(err error) Code {
	var e *client.Error
	switch {
	case !errors.As(err, &e):
		return Failed
	case e.Outcome == wire.Unknown:
		return Unknown
	case e.Reason == reasonVersionConflict:
		return Conflict
	case e.Reason == reasonInvalidConfiguration:
		return Mistakes
	}
	return Failed
}

// printClientError writes an error of a call to the output if the output format
// is JSON. The text of the error is written to the error output in any case.
func (inv *invocation) printClientError(err error) {
	var e *client.Error
	if inv.options.output != jsonOutput || !errors.As(err, &e) {
		return
	}
	detail := e.Detail
	if detail == "" && e.Err != nil {
		detail = e.Err.Error()
	}
	// If this write fails, the exit code still indicates the outcome.
	_ = inv.print(failureJSON{e.Outcome, e.Reason, detail, wire.Duration(e.RetryAfter), e.RequestID}, "")
}
