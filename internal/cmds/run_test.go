package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

const (
	testHash = "sha256:00000000000000000000000000000001:0000000000000000000000000000000000000000000000000000000000000001"
	testKey  = "000000000000000000000000000000000000000000000001"
)

// run runs a command line and returns its exit code and everything that it
// printed. Files are read from testdata.
func run(t *testing.T, in, line string) (Code, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	hash, err := keys.ParseHash(testHash)
	assert.NilError(t, err)
	code := Run(t.Context(), Env{
		In: strings.NewReader(in), Out: &out, Err: &errOut,
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join("testdata", name)) },
		NewKey:   func() (string, error) { return testKey, nil },
		HashOf:   func(string) (keys.Hash, error) { return hash, nil },
		Events: func(_ context.Context, from []netip.AddrPort, id string) (wire.Events, error) {
			return wire.Events{Events: []wire.Event{{
				At: time.Unix(0, 0), Instance: from[0].String(), Name: "unitPlaced", Number: 3050,
				Fields: map[string]any{"job": id, "worker": "w1", "reason": "room", "rack": ""},
			}}}, nil
		},
	}, strings.Fields(line))
	return code, fmt.Sprintf("$ baobabquay %s\n%s--- standard error\n%s--- exit code %d\n", line, &out, &errOut, code)
}

// TestCommands guards against changes of output, exit code or help that would break
// scripts and the expectations of operators.
func TestCommands(t *testing.T) {
	for _, tc := range []struct {
		golden string
		code   Code
		line   string
	}{
		{"check", OK, "config check base.ini overlay.ini"},
		{"check-json", OK, "--output json config check base.ini"},
		{"check-mistakes", Mistakes, "config check base.ini bad.ini"},
		{"check-mistakes-json", Mistakes, "config check base.ini bad.ini -o=json"},
		{"check-absent", Failed, "config check absent.ini"},
		{"show", OK, "config show base.ini -- overlay.ini"},
		{"explain-from", OK, "explain a1 --from 10.0.0.1:7001"},
		{"explain-from-json", OK, "explain a1 --from 10.0.0.1:7001,10.0.0.2:7001 --output json"},
		{"explain-from-bad", Usage, "explain a1 --from nowhere"},
		{"show-json", OK, "config show base.ini --output json"},
		{"diff", OK, "config diff base.ini -- base.ini overlay.ini"},
		{"diff-json", OK, "config diff base.ini --output=json -- base.ini overlay.ini"},
		{"diff-none", OK, "config diff base.ini -- base.ini"},
		{"diff-none-json", OK, "config diff -o json base.ini -- base.ini"},
		{"diff-mistakes", Mistakes, "config diff base.ini -- base.ini bad.ini"},
		{"diff-mistakes-both", Mistakes, "config diff base.ini bad.ini -- bad.ini"},
		{"diff-absent", Failed, "config diff base.ini bad.ini -- absent.ini"},
		{"generate", OK, "key generate"},
		{"generate-json", OK, "key generate -o json"},
		{"help", OK, "--help"},
		{"help-config", OK, "config -h"},
		{"help-diff", OK, "config diff --help"},
		{"help-hash", OK, "key hash --help"},
	} {
		t.Run(tc.golden, func(t *testing.T) {
			code, got := run(t, "", tc.line)
			assert.Equal(t, code, tc.code)
			golden.Assert(t, got, tc.golden+".golden")
		})
	}
}

// TestUsage guards against arguments that are silently skipped, and against
// arguments for which flaggy prints a message and exits the process.
func TestUsage(t *testing.T) {
	var output strings.Builder
	for _, line := range []string{
		"", "config", "confg check", "config chek base.ini", "config check", "config check --color base.ini",
		"config check base.ini -o", "config check -o yaml base.ini", "config check -", "config check --=x",
		"--version", "completion", "completion bash", "config diff base.ini", "config diff -- base.ini",
		"key generate now", "key hash -- secret",
	} {
		code, got := run(t, "", line)
		assert.Equal(t, code, Usage, line)
		output.WriteString(got)
	}
	code := Run(t.Context(), Env{Err: &output}, []string{"config", "check", ""})
	assert.Equal(t, code, Usage)
	golden.Assert(t, output.String(), "usage.golden")
}

// TestKeyHash guards against hashing keys that are short enough to be guessed, and
// against messages that contain a key.
func TestKeyHash(t *testing.T) {
	for _, tc := range []struct {
		in   string
		code Code
	}{
		{testKey + "\n", OK}, {testKey, OK}, {testKey + "\r\nsecond line\n", OK},
		{"", Failed}, {"guessable\n", Failed}, {strings.Repeat("x", 2000), Failed},
	} {
		code, got := run(t, tc.in, "key hash")
		assert.Equal(t, code, tc.code, "%q", tc.in)
		assert.Equal(t, code == OK, strings.Contains(got, testHash))
		assert.Assert(t, !strings.Contains(got, "guessable"))
	}
}

// TestShowRoundTrip guards against output of config show that parses to other values
// because of the comments that give the origin of each value.
func TestShowRoundTrip(t *testing.T) {
	var out bytes.Buffer
	code := Run(t.Context(), Env{
		Out: &out, Err: io.Discard,
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join("testdata", name)) },
	}, strings.Fields("config show base.ini overlay.ini"))
	assert.Equal(t, code, OK)
	var sources []inifmt.Source
	for _, name := range []string{"base.ini", "overlay.ini"} {
		sources = append(sources, inifmt.Source{File: name, Text: string(golden.Get(t, name))})
	}
	want, err := inifmt.Read(t.Context(), sources[0], sources[1])
	assert.NilError(t, err)
	got, err := inifmt.Read(t.Context(), inifmt.Source{File: "show", Text: out.String()})
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Config.Values(), want.Config.Values())
}

// TestOutputWriteError guards against reporting success if the output cannot be
// written.
func TestOutputWriteError(t *testing.T) {
	r, w := io.Pipe()
	assert.NilError(t, r.CloseWithError(errors.New("closed")))
	for _, line := range []string{"--help", "config check base.ini", "config check bad.ini -o json"} {
		code := Run(t.Context(), Env{
			Out: w, Err: io.Discard,
			ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join("testdata", name)) },
		}, strings.Fields(line))
		assert.Assert(t, code != OK, line)
	}
}
