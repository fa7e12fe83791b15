package entry

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/relay"
)

// declaredReasons returns the values of the constants in a file whose names
// start with "reason" in any case.
func declaredReasons(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	assert.NilError(t, err)
	var reasons []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(strings.ToLower(spec.Names[0].Name), "reason") {
			return true
		}
		if text, ok := spec.Values[0].(*ast.BasicLit); ok && text.Value != `""` {
			value, err := strconv.Unquote(text.Value)
			assert.NilError(t, err)
			reasons = append(reasons, value)
		}
		return true
	})
	assert.Assert(t, len(reasons) > 0, file)
	return reasons
}

// TestReasonsDocumented guards against a reason that docs/api.md does not list
// or lists with a wrong status.
func TestReasonsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/api.md")
	assert.NilError(t, err)
	frontEndStatus := map[string]int{
		reasonKey: http.StatusUnauthorized, reasonPath: http.StatusNotFound, reasonBody: http.StatusBadRequest,
		reasonTooLarge: http.StatusRequestEntityTooLarge, reasonHeader: http.StatusBadRequest,
		reasonConflict: http.StatusConflict, reasonConfig: http.StatusUnprocessableEntity,
		reasonInternal: http.StatusInternalServerError,
	}
	for file, status := range map[string]func(reason string) string{
		"write.go": func(r string) string { return strconv.Itoa(frontEndStatus[r]) },
		"../intake/refusal.go": func(r string) string {
			return strconv.Itoa(refusalStatus(&intake.Refusal{Reason: intake.Reason(r)}))
		},
		"../relay/message.go": func(r string) string {
			return strconv.Itoa(answerStatus(relay.Answer{Reason: relay.Reason(r)}))
		},
		"../../pkg/client/client.go": func(string) string { return "" },
	} {
		for _, reason := range declaredReasons(t, file) {
			row := strings.Replace(fmt.Sprintf("| `%s` | %s | ", reason, status(reason)), "|  |", "| |", 1)
			assert.Assert(t, strings.Contains(string(page), row), "%s: no row %q", file, row)
		}
	}
}
