package daemon

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/baobabquay/baobabquay/"

// decisions are the packages that decide: admission, routing, placement,
// reclaim, retry and what they rest on.
var decisions = []string{
	"claim", "config", "fleet", "gang", "intake", "jobs", "lease", "limit", "member", "owner",
	"quota", "relay", "roster", "route", "sched", "shape", "site", "worker",
}

// encodings are what a decision must not know, so that another front end can
// drive it unchanged. The rows of the store have their own package, record.
var encodings = []string{
	"net/http", "encoding/json", "google.golang.org/protobuf", "connectrpc.com/connect",
	"gopkg.in/ini.v1", "go.uber.org/fx", "github.com/gorilla/mux",
	module + "internal/plat", module + "internal/peer", module + "internal/peerv1",
	module + "internal/entry", module + "internal/inifmt", module + "pkg/wire",
}

// TestDecisionsKnowNoEncoding guards against a decision that can only be
// reached through one front end.
func TestDecisionsKnowNoEncoding(t *testing.T) {
	for _, p := range decisions {
		for _, i := range importsOf(t, "internal/"+p, map[string]bool{}) {
			for _, e := range encodings {
				assert.Assert(t, i != e && !strings.HasPrefix(i, e+"/"), "package %s reaches %s", p, i)
			}
		}
	}
}

// importsOf returns what the package imports, through packages of this module
// other than record too.
func importsOf(t *testing.T, dir string, seen map[string]bool) []string {
	if seen[dir] || dir == "internal/record" {
		return nil
	}
	seen[dir] = true
	files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no package in %s", dir)
	var all []string
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		all = append(all, importsIn(t, f)...)
	}
	for _, i := range slices.Clone(all) {
		if inner, ok := strings.CutPrefix(i, module); ok {
			all = append(all, importsOf(t, inner, seen)...)
		}
	}
	return all
}

func importsIn(t *testing.T, file string) []string {
	source, err := os.ReadFile(file)
	assert.NilError(t, err)
	parsed, err := parser.ParseFile(token.NewFileSet(), file, source, parser.ImportsOnly)
	assert.NilError(t, err)
	var all []string
	for _, i := range parsed.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		assert.NilError(t, err)
		all = append(all, path)
	}
	return all
}
