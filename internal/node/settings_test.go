package node

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// template is the file that the platform fills.
const template = "../../deploy/settings.ini"

// filled returns the template with a value for each key whose value has fields
// of the platform.
func filled(t *testing.T) string {
	text, err := os.ReadFile(template)
	assert.NilError(t, err)
	values := map[string]string{
		"name": "edge-1", "domain": "d1", "region": "r1", "listen": "10.1.0.19:8521", "ready": "10.1.0.19:8523",
		"peer": "10.1.0.19:7000", "metrics": "10.1.0.19:7001", "store": "10.200.1.7:8524", "advice": "", "cores": "0.4",
		"longestLease": "10000ms", "grace": "6s", "retention": "120s",
	}
	return regexp.MustCompile(`(?m)^(\w+) = .*\{\{.*$`).ReplaceAllStringFunc(string(text), func(line string) string {
		key, _, _ := strings.Cut(line, " = ")
		v, ok := values[key]
		assert.Assert(t, ok, "the template has the key %s, which this test does not know", key)
		return key + " = " + v
	})
}

// TestTemplate guards against a template that the instance does not take.
func TestTemplate(t *testing.T) {
	s, mistakes := parseSettings([]byte(filled(t)))
	assert.DeepEqual(t, mistakes, []string(nil))
	golden.Assert(t, fmt.Sprintf("%+v\n", s), "settings.golden")
}

// TestMistakes guards against operators who find the mistakes of a settings
// file one start at a time.
func TestMistakes(t *testing.T) {
	_, mistakes := parseSettings([]byte(`[instance]
name =
domain = d1
region = r1
listen = 10.1.0.19
ready = 10.1.0.19:0
peers = 10.1.0.19:1
metrics = 10.1.0.19:2
[platform]
store = nowhere:1
advice = x
[limits]
cores = many
longestLease = 10
grace = -1s
retention = 2m
[logs]
decisions = maybe
`))
	golden.Assert(t, strings.Join(mistakes, "\n")+"\n", "mistakes.golden")
}

// TestReread guards against a signal for changed settings that ends the process
// or passes without a word.
func TestReread(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(path, []byte(filled(t)), 0o600))
	present, err := ReadSettings(path)
	assert.NilError(t, err)
	var lines []string
	log := event.New(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
	Reread(present, path, log)
	changed := strings.Replace(filled(t), "grace = 6s", "grace = 7s", 1)
	assert.NilError(t, os.WriteFile(path, []byte(changed), 0o600))
	Reread(present, path, log)
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], `"outcome"="unchanged"`), lines[0])
	assert.Assert(t, strings.Contains(lines[1], `"outcome"="changed`), lines[1])
}

// TestLogs guards against a setting without an effect: lines that are not
// wanted and come all the same.
func TestLogs(t *testing.T) {
	for _, wanted := range []bool{true, false} {
		var out bytes.Buffer
		sink := event.NewSink(&out)
		newLog(Settings{Name: "n1", Logs: wanted}, sink).Write(event.InstanceReady)
		sink.Close()
		assert.Equal(t, out.Len() > 0, wanted)
	}
}
