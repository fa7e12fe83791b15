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

// decisionPackages are the packages that make scheduling decisions (admission,
// routing, placement, reclaim and retry) and the packages they depend on.
var decisionPackages = []string{
	"claim", "config", "fleet", "gang", "intake", "jobs", "lease", "limit", "member", "owner",
	"quota", "relay", "roster", "route", "sched", "shape", "site", "worker",
}

// encodingPackages are the packages of encodings and front ends that decision
// packages must not import, so that another front end can use them unchanged.
// Package record, which encodes the rows of the store, is exempt.
var encodingPackages = []string{
	"net/http", "encoding/json", "google.golang.org/protobuf", "connectrpc.com/connect",
	"gopkg.in/ini.v1", "go.uber.org/fx", "github.com/gorilla/mux",
	module + "internal/plat", module + "internal/peer", module + "internal/peerv1",
	module + "internal/entry", module + "internal/inifmt", module + "pkg/wire",
}

// TestDecisionPackagesImportNoEncoding guards against a decision package that
// depends on one front end or encoding.
func TestDecisionPackagesImportNoEncoding(t *testing.T) {
	for _, p := range decisionPackages {
		for _, i := range transitiveImports(t, "internal/"+p, map[string]bool{}) {
			for _, e := range encodingPackages {
				assert.Assert(t, i != e && !strings.HasPrefix(i, e+"/"), "package %s imports %s, directly or transitively", p, i)
			}
		}
	}
}

// transitiveImports returns the imports of the package in dir, including those
// of the packages of this module that it imports, except package record.
func transitiveImports(t *testing.T, dir string, seen map[string]bool) []string {
	if seen[dir] || dir == "internal/record" {
		return nil
	}
	seen[dir] = true
	files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no Go files in %s", dir)
	var all []string
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		all = append(all, fileImports(t, f)...)
	}
	for _, i := range slices.Clone(all) {
		if inner, ok := strings.CutPrefix(i, module); ok {
			all = append(all, transitiveImports(t, inner, seen)...)
		}
	}
	return all
}

// fileImports returns the import paths of a source file.
func fileImports(t *testing.T, file string) []string {
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
