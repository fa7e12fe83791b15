package node

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

type (
	// Settings are what an instance on the platform is told when it starts.
	Settings struct {
		Name   string
		Domain string
		Region string
		// Listen is the address for callers, Ready the one for the balancer's
		// question, Peer the one for other instances and Metrics the one for
		// counters.
		Listen  netip.AddrPort
		Ready   netip.AddrPort
		Peer    netip.AddrPort
		Metrics netip.AddrPort
		// Store is the address of the platform's store.
		Store netip.AddrPort
		// Advice is the address of the advice service, invalid for none.
		Advice netip.AddrPort
		// Cores is the processor time of the instance, in cores.
		Cores float64
		// LongestLease is the longest lease that a worker grants.
		LongestLease time.Duration
		// Grace is the time between the stop signal and the end.
		Grace time.Duration
		// Retention is how long the state of an ended job is shown.
		Retention time.Duration
		// Logs reports whether decisions are logged.
		Logs bool
	}

	// reader collects the mistakes of a settings file.
	reader struct {
		file     *ini.File
		known    map[string]bool
		mistakes []string
	}
)

// ErrSettings is wrapped by errors about the settings file.
var ErrSettings = errors.New("invalid settings")

// ReadSettings reads the settings file at path. The error lists all mistakes.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, mistakes := parseSettings(text)
	if len(mistakes) > 0 {
		return Settings{}, fmt.Errorf("read settings %s: %w:\n%s", path, ErrSettings, strings.Join(mistakes, "\n"))
	}
	return s, nil
}

// Reread reads the settings file again and logs what it finds. Addresses and
// limits cannot change while the instance runs, so nothing else happens.
func Reread(present Settings, path string, log event.Log) {
	next, err := ReadSettings(path)
	outcome := "unchanged"
	switch {
	case err != nil:
		outcome = err.Error()
	case next != present:
		outcome = "changed, in force at the next start"
	}
	log.Write(event.SettingsReread, "instance", present.Name, "outcome", outcome)
}

// parseSettings returns the settings of a text and its mistakes, a line each.
func parseSettings(text []byte) (Settings, []string) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return Settings{}, []string{err.Error()}
	}
	r := &reader{file: file, known: make(map[string]bool)}
	s := Settings{
		Name: r.text("instance", "name"), Domain: r.text("instance", "domain"), Region: r.text("instance", "region"),
		Listen: r.address("instance", "listen"), Ready: r.address("instance", "ready"),
		Peer: r.address("instance", "peer"), Metrics: r.address("instance", "metrics"),
		Store: r.address("platform", "store"), Advice: r.optionalAddress("platform", "advice"),
		Cores: r.amount("limits", "cores"), LongestLease: r.span("limits", "longestLease"), Grace: r.span("limits", "grace"),
		Retention: r.span("limits", "retention"), Logs: r.flag("logs", "decisions"),
	}
	r.unknown()
	return s, r.mistakes
}

func (r *reader) mistake(section, key, format string, args ...any) {
	r.mistakes = append(r.mistakes, fmt.Sprintf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
}

func (r *reader) value(section, key string) string {
	r.known[section+"/"+key] = true
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) text(section, key string) string {
	v := r.value(section, key)
	if v == "" {
		r.mistake(section, key, "is missing")
	}
	return v
}

func (r *reader) address(section, key string) netip.AddrPort {
	v := r.text(section, key)
	if v == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		r.mistake(section, key, "%q is no IP address with a port, such as 10.0.0.1:8080", v)
	}
	return a
}

func (r *reader) optionalAddress(section, key string) netip.AddrPort {
	if r.value(section, key) == "" {
		return netip.AddrPort{}
	}
	return r.address(section, key)
}

func (r *reader) span(section, key string) time.Duration {
	v := r.text(section, key)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.mistake(section, key, "%q is no duration above 0, such as 1m30s", v)
	}
	return d
}

func (r *reader) amount(section, key string) float64 {
	v := r.text(section, key)
	f, err := strconv.ParseFloat(v, 64)
	if v != "" && (err != nil || f <= 0) {
		r.mistake(section, key, "%q is no number above 0", v)
	}
	return f
}

func (r *reader) flag(section, key string) bool {
	v := r.text(section, key)
	b, err := strconv.ParseBool(v)
	if v != "" && err != nil {
		r.mistake(section, key, "%q is neither true nor false", v)
	}
	return b
}

// unknown reports keys that have no meaning, which are often misspelt ones.
func (r *reader) unknown() {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.known[s.Name()+"/"+k.Name()] {
				r.mistake(s.Name(), k.Name(), "there is no such key")
			}
		}
	}
}
