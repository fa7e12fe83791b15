package cmds

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/internal/check"
	"github.com/baobabquay/baobabquay/platform"
)

type (
	// findingsError is the result of a command that found errors.
	findingsError struct {
		findings []fileFinding
		// printed is set if the findings are part of the output already.
		printed bool
	}

	fileFinding struct {
		file string
		check.Finding
	}

	findingJSON struct {
		Severity   check.Severity `json:"severity"`
		Kind       check.Kind     `json:"kind"`
		File       string         `json:"file"`
		Line       int            `json:"line,omitempty"`
		Path       string         `json:"path,omitempty"`
		Detail     string         `json:"detail"`
		Suggestion string         `json:"suggestion,omitempty"`
	}

	findingsJSON struct {
		Findings []findingJSON `json:"findings"`
	}

	platformCountsJSON struct {
		Version    int64         `json:"version"`
		Queues     int           `json:"queues"`
		Services   int           `json:"services"`
		Workspaces int           `json:"workspaces"`
		Findings   []findingJSON `json:"findings"`
	}

	platformChangesJSON struct {
		Changes  []platformChangeJSON `json:"changes"`
		Findings []findingJSON        `json:"findings"`
	}

	platformChangeJSON struct {
		Op      check.Op    `json:"op"`
		Kind    check.Part  `json:"kind"`
		Name    string      `json:"name,omitempty"`
		Key     check.Field `json:"key,omitempty"`
		Old     string      `json:"old,omitempty"`
		New     string      `json:"new,omitempty"`
		Meaning string      `json:"meaning"`
		Line    int         `json:"line,omitempty"`
		Path    string      `json:"path,omitempty"`
	}
)

const (
	// maxFileSize bounds what is read of a file before its kind is known, in bytes.
	maxFileSize = 2 * platform.MaxConfigSize

	platformHelp = "A FILE that begins with { is the platform's configuration (row op/config, JSON)."
)

var (
	errLargeFile = errors.New("file is too large")

	acceleratorsFlag = flag{
		long: "accelerators", arg: "N", summary: "accelerators of all workers, to compare with the guarantees",
		stringVar: func(o *options) *string { return &o.accelerators },
	}
)

// ReadFile reads a file of limited size.
func ReadFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if len(b) > maxFileSize {
		return nil, fmt.Errorf("%w: %s has more than %d bytes", errLargeFile, name, maxFileSize)
	}
	return b, nil
}

// holdsPlatformConfig reports whether any of the files holds the platform's
// configuration. A file that cannot be read is reported by who reads it next.
func (inv *invocation) holdsPlatformConfig(files []string) bool {
	for _, name := range files {
		if b, err := inv.env.ReadFile(name); err == nil && platform.HoldsConfig(b) {
			return true
		}
	}
	return false
}

// readPlatformConfig reads the platform's configuration and what its decoder found.
func (inv *invocation) readPlatformConfig(file string) (*check.Document, []check.Finding, error) {
	b, err := inv.env.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read file: %w", err)
	}
	if !platform.HoldsConfig(b) {
		return nil, nil, usageErrorf("%s does not hold the platform's configuration", file)
	}
	d, findings := platform.ReadStrict(b)
	return d, findings, nil
}

// checkPlatform prints what is wrong with the platform's configuration.
func (inv *invocation) checkPlatform(files []string) error {
	if len(files) != 1 {
		return usageErrorf("the platform's configuration is one file, got %d", len(files))
	}
	options, err := inv.checkOptions()
	if err != nil {
		return err
	}
	d, findings, err := inv.readPlatformConfig(files[0])
	if err != nil {
		return err
	}
	if d != nil {
		findings = check.Merge(findings, check.Findings(d, options))
	}
	if check.HasErrors(findings) {
		return &findingsError{findings: inFile(files[0], findings)}
	}
	notes := inFile(files[0], findings)
	c := d.Config
	result := platformCountsJSON{c.Version, len(c.Queues), len(d.Services), len(c.Workspaces), encodeFindings(notes)}
	return inv.print(result, textOf(notes)+fmt.Sprintf("version %d: no errors; queues %d, services %d, workspaces %d\n",
		result.Version, result.Queues, result.Services, result.Workspaces))
}

func (inv *invocation) checkOptions() (check.Options, error) {
	if inv.options.accelerators == "" {
		return check.Options{}, nil
	}
	n, err := strconv.ParseInt(inv.options.accelerators, 10, 64)
	if err != nil || n < 1 {
		return check.Options{}, usageErrorf("invalid number of accelerators %q: must be a whole number from 1", inv.options.accelerators)
	}
	return check.Options{Accelerators: n}, nil
}

// diffPlatform prints the changes from one version of the platform's configuration to
// another.
func (inv *invocation) diffPlatform(files []string) error {
	if len(files) != 2 {
		return usageErrorf("two versions of the platform's configuration are compared, got %d files", len(files))
	}
	before, beforeFindings, err := inv.readPlatformConfig(files[0])
	if err != nil {
		return err
	}
	after, afterFindings, err := inv.readPlatformConfig(files[1])
	if err != nil {
		return err
	}
	if before == nil || after == nil {
		findings := inFile(files[0], undecodable(before, beforeFindings))
		return &findingsError{findings: append(findings, inFile(files[1], undecodable(after, afterFindings))...)}
	}
	var findings []fileFinding
	if f, ok := check.VersionFinding(before, after); ok {
		findings = inFile(files[1], []check.Finding{f})
	}
	if err := inv.printPlatformChanges(check.Changes(before, after), findings); err != nil {
		return err
	}
	if len(findings) > 0 {
		return &findingsError{findings: findings, printed: inv.options.output == jsonOutput}
	}
	return nil
}

// undecodable returns the findings of a configuration that has no document.
func undecodable(d *check.Document, findings []check.Finding) []check.Finding {
	if d != nil {
		return nil
	}
	return findings
}

func (inv *invocation) printPlatformChanges(changes []check.Change, findings []fileFinding) error {
	result := platformChangesJSON{Changes: []platformChangeJSON{}, Findings: encodeFindings(findings)}
	var b strings.Builder
	for _, c := range changes {
		result.Changes = append(result.Changes, platformChangeJSON{
			c.Op, c.Part, c.Name, c.Field, c.Old, c.New, c.Meaning, c.Position.Line, c.Position.Path,
		})
		fmt.Fprintln(&b, changeText(c))
	}
	if b.Len() == 0 {
		b.WriteString("no changes\n")
	}
	return inv.print(result, b.String())
}

// changeText returns a line such as
// `set workspace "north" weight: 3 -> 2 (tenants[0].weight): a smaller share`.
func changeText(c check.Change) string {
	text := fmt.Sprintf("%s %s", c.Op, c.Part)
	if c.Name != "" {
		text += fmt.Sprintf(` "%s"`, check.Clip(c.Name))
	}
	if c.Field != "" {
		text += " " + string(c.Field)
	}
	if c.Old != c.New {
		text += fmt.Sprintf(": %s -> %s", check.Clip(c.Old), check.Clip(c.New))
	}
	return fmt.Sprintf("%s (%s): %s", text, c.Position.Path, c.Meaning)
}

func inFile(file string, findings []check.Finding) []fileFinding {
	var all []fileFinding
	for _, f := range check.Limit(findings) {
		all = append(all, fileFinding{file, f})
	}
	return all
}

// Error returns one line for each finding.
func (e *findingsError) Error() string { return strings.TrimSuffix(textOf(e.findings), "\n") }

// code returns the exit code: a file in which nothing could be checked counts as one that
// cannot be read.
func (e *findingsError) code() Code {
	for _, f := range e.findings {
		if f.Kind.IsUnreadable() {
			return Failed
		}
	}
	return Mistakes
}

// textOf returns lines such as
// `op.json:7: error: routes[0].max_attempts: 0 attempts (noAttempts); set it to 1 or more`.
func textOf(findings []fileFinding) string {
	var b strings.Builder
	for _, f := range findings {
		b.WriteString(f.file + ":")
		if f.Position.Line > 0 {
			fmt.Fprintf(&b, "%d:", f.Position.Line)
		}
		fmt.Fprintf(&b, " %s: ", f.Severity)
		if f.Position.Path != "" {
			b.WriteString(f.Position.Path + ": ")
		}
		fmt.Fprintf(&b, "%s (%s)", f.Detail, f.Kind)
		if f.Suggestion != "" {
			b.WriteString("; " + f.Suggestion)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func encodeFindings(findings []fileFinding) []findingJSON {
	all := make([]findingJSON, 0, len(findings))
	for _, f := range findings {
		all = append(all, findingJSON{f.Severity, f.Kind, f.file, f.Position.Line, f.Position.Path, f.Detail, f.Suggestion})
	}
	return all
}

// printFindings writes JSON to the output or text to the error output, as for mistakes
// in the product's own files.
func (inv *invocation) printFindings(e *findingsError) error {
	if e.printed {
		return nil
	}
	if inv.options.output == jsonOutput {
		return inv.print(findingsJSON{encodeFindings(e.findings)}, "")
	}
	if _, err := io.WriteString(inv.env.Err, textOf(e.findings)); err != nil {
		return fmt.Errorf("print findings: %w", err)
	}
	return nil
}
