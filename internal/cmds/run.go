package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

type (
	// Code is the exit code of the process.
	Code int

	// Env holds the streams and functions through which commands access their
	// environment.
	Env struct {
		In       io.Reader
		Out      io.Writer
		Err      io.Writer
		ReadFile func(name string) ([]byte, error)
		// NewKey generates a key, and HashOf returns its salted hash. Tests set
		// them to functions with fixed results.
		NewKey func() (string, error)
		HashOf func(key string) (keys.Hash, error)
		// Getenv returns the value of an environment variable.
		Getenv func(name string) string
		// Connect returns a client for the commands that need a server.
		Connect func(s client.Settings) *client.Client
		// Events returns the decisions about a job that the instances at the
		// given metrics addresses still have in memory.
		Events func(ctx context.Context, from []netip.AddrPort, id string) (wire.Events, error)
	}

	// exitError is an error with its exit code.
	exitError struct {
		code Code
		err  error
	}
)

// The exit codes. The help text of every command documents them.
const (
	OK       Code = 0
	Failed   Code = 1
	Usage    Code = 2
	Mistakes Code = 3
	Conflict Code = 4
	Unknown  Code = 5
)

// Run runs the command named by args and returns its exit code. The args do not
// include the name of the program.
func Run(ctx context.Context, env Env, args []string) Code {
	inv, err := parse(newRootCommand(), args)
	if err == nil {
		inv.env = env
		err = inv.execute(ctx)
	}
	if err == nil {
		return OK
	}
	code := exitCodeOf(err)
	inv.reportError(env, code, err)
	return code
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error {
	return &exitError{Usage, errors.Errorf(format, args...)}
}

func exitCodeOf(err error) Code {
	var coded *exitError
	var mistakes inifmt.Mistakes
	var found *findingsError
	switch {
	case errors.As(err, &found):
		return found.code()
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &mistakes):
		return Mistakes
	}
	return exitCodeOfClientError(err)
}

// reportError prints an error. Mistakes and findings in files are a result of the command, so
// JSON output writes them to the output instead of the error output.
func (inv *invocation) reportError(env Env, code Code, err error) {
	var mistakes inifmt.Mistakes
	if errors.As(err, &mistakes) {
		inv.env = env
		if printErr := inv.printMistakes(mistakes); printErr == nil {
			return
		}
	}
	inv.env = env
	var found *findingsError
	if errors.As(err, &found) && inv.printFindings(found) == nil {
		return
	}
	inv.printClientError(err)
	text := fmt.Sprintf("%s: %v\n", inv.command.path, err)
	if code == Usage {
		text += fmt.Sprintf("Run %q for help.\n", inv.command.path+" --help")
	}
	// A failure to write to the error output cannot be reported anywhere.
	_, _ = io.WriteString(env.Err, text)
}
