package cmds

import (
	"encoding/json"
	"fmt"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/inifmt"
)

// The forms of results in JSON output.
type (
	mistakesForm struct {
		Mistakes []mistakeForm `json:"mistakes"`
	}

	mistakeForm struct {
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Detail  string `json:"detail"`
		Allowed string `json:"allowed,omitempty"`
	}

	valuesForm struct {
		// Version is that of the configuration in force, or 0 for files.
		Version int64 `json:"version,omitempty"`

		Values []valueForm `json:"values"`
	}

	// valueForm has no file where the value is a default.
	valueForm struct {
		Kind  config.Kind  `json:"kind"`
		Name  string       `json:"name,omitempty"`
		Key   config.Field `json:"key"`
		Value string       `json:"value"`
		File  string       `json:"file,omitempty"`
		Line  int          `json:"line,omitempty"`
	}

	changesForm struct {
		Changes []changeForm `json:"changes"`
	}

	changeForm struct {
		Op   config.Op    `json:"op"`
		Kind config.Kind  `json:"kind"`
		Name string       `json:"name,omitempty"`
		Key  config.Field `json:"key,omitempty"`
		Old  string       `json:"old,omitempty"`
		New  string       `json:"new,omitempty"`
	}

	countsForm struct {
		Site       string `json:"site"`
		Domains    int    `json:"domains"`
		Workspaces int    `json:"workspaces"`
		Services   int    `json:"services"`
		Operators  int    `json:"operators"`
	}

	keyForm struct {
		Key  string `json:"key,omitempty"`
		Hash string `json:"hash"`
	}
)

// print writes the result, as JSON or as the text.
func (c *call) print(form any, text string) error {
	if c.options.output == jsonOutput {
		b, err := json.MarshalIndent(form, "", "  ")
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		text = string(b) + "\n"
	}
	if _, err := c.env.Out.Write([]byte(text)); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// printMistakes writes JSON to the output, and text to the error output.
func (c *call) printMistakes(mistakes inifmt.Mistakes) error {
	if c.options.output != jsonOutput {
		if _, err := fmt.Fprintf(c.env.Err, "%v\n", mistakes); err != nil {
			return fmt.Errorf("print mistakes: %w", err)
		}
		return nil
	}
	var f mistakesForm
	for _, m := range mistakes {
		f.Mistakes = append(f.Mistakes, mistakeForm{
			File: m.Place.File, Line: m.Place.Line, Section: m.Section, Key: m.Key, Detail: m.Detail, Allowed: m.Allowed,
		})
	}
	return c.print(f, "")
}
