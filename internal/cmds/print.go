package cmds

import (
	"encoding/json"
	"fmt"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/inifmt"
)

// The results of commands in JSON output.
type (
	mistakesJSON struct {
		Mistakes []mistakeJSON `json:"mistakes"`
	}

	mistakeJSON struct {
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Detail  string `json:"detail"`
		Allowed string `json:"allowed,omitempty"`
	}

	valuesJSON struct {
		// Version is the version of the configuration in force. It is 0 if the
		// values come from files.
		Version int64 `json:"version,omitempty"`

		Values []valueJSON `json:"values"`
	}

	// valueJSON has no file and no line if the value is a default.
	valueJSON struct {
		Kind  config.Kind  `json:"kind"`
		Name  string       `json:"name,omitempty"`
		Key   config.Field `json:"key"`
		Value string       `json:"value"`
		File  string       `json:"file,omitempty"`
		Line  int          `json:"line,omitempty"`
	}

	changesJSON struct {
		Changes []changeJSON `json:"changes"`
	}

	changeJSON struct {
		Op   config.Op    `json:"op"`
		Kind config.Kind  `json:"kind"`
		Name string       `json:"name,omitempty"`
		Key  config.Field `json:"key,omitempty"`
		Old  string       `json:"old,omitempty"`
		New  string       `json:"new,omitempty"`
	}

	countsJSON struct {
		Site       string `json:"site"`
		Domains    int    `json:"domains"`
		Workspaces int    `json:"workspaces"`
		Services   int    `json:"services"`
		Operators  int    `json:"operators"`
	}

	keyJSON struct {
		Key  string `json:"key,omitempty"`
		Hash string `json:"hash"`
	}
)

// print writes the result to the output, encoded as JSON or as the given text,
// depending on the flag --output.
func (inv *invocation) print(result any, text string) error {
	if inv.options.output == jsonOutput {
		b, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		text = string(b) + "\n"
	}
	if _, err := inv.env.Out.Write([]byte(text)); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// printMistakes writes JSON to the output or text to the error output, depending
// on the flag --output.
func (inv *invocation) printMistakes(mistakes inifmt.Mistakes) error {
	if inv.options.output != jsonOutput {
		if _, err := fmt.Fprintf(inv.env.Err, "%v\n", mistakes); err != nil {
			return fmt.Errorf("print mistakes: %w", err)
		}
		return nil
	}
	var result mistakesJSON
	for _, m := range mistakes {
		result.Mistakes = append(result.Mistakes, mistakeJSON{
			File: m.Position.File, Line: m.Position.Line, Section: m.Section, Key: m.Key, Detail: m.Detail, Allowed: m.Allowed,
		})
	}
	return inv.print(result, "")
}
