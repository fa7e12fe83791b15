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
	// Code is an exit code of the process.
	Code int

	// Env is what commands use of the outside.
	Env struct {
		In       io.Reader
		Out      io.Writer
		Err      io.Writer
		ReadFile func(name string) ([]byte, error)
		// NewKey and HashOf make keys and their salted hashes. Tests set them
		// to functions with fixed results.
		NewKey func() (string, error)
		HashOf func(key string) (keys.Hash, error)
		// Getenv returns a variable of the environment.
		Getenv func(name string) string
		// Connect returns the client of the commands that need a server.
		Connect func(s client.Settings) *client.Client
		// Events returns the decisions about a job that instances know.
		Events func(ctx context.Context, from []netip.AddrPort, id string) (wire.Events, error)
	}

	// codeError is an error with the exit code that it leads to.
	codeError struct {
		code Code
		err  error
	}
)

// The exit codes. They are documented in the help text of every command.
const (
	OK       Code = 0
	Failed   Code = 1
	Usage    Code = 2
	Mistakes Code = 3
	Conflict Code = 4
	Unknown  Code = 5
)

// Run runs the command that the arguments name, without the program's name
// among them, and returns its exit code.
func Run(ctx context.Context, env Env, args []string) Code {
	c, err := parse(newRoot(), args)
	if err == nil {
		c.env = env
		err = c.execute(ctx)
	}
	if err == nil {
		return OK
	}
	code := codeOf(err)
	c.report(env, code, err)
	return code
}

// Error returns the message of the wrapped error.
func (e *codeError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *codeError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error {
	return &codeError{Usage, errors.Errorf(format, args...)}
}

func codeOf(err error) Code {
	var coded *codeError
	var mistakes inifmt.Mistakes
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &mistakes):
		return Mistakes
	}
	return codeOfCall(err)
}

// report prints an error. Mistakes in files are a result: with JSON output
// they go where the result goes.
func (c *call) report(env Env, code Code, err error) {
	var mistakes inifmt.Mistakes
	if errors.As(err, &mistakes) {
		c.env = env
		if printErr := c.printMistakes(mistakes); printErr == nil {
			return
		}
	}
	c.env = env
	c.printFailure(err)
	text := fmt.Sprintf("%s: %v\n", c.command.path, err)
	if code == Usage {
		text += fmt.Sprintf("Run %q for help.\n", c.command.path+" --help")
	}
	// There is no place left to report that this write fails.
	_, _ = io.WriteString(env.Err, text)
}
