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
	// Settings holds the start-up settings of an instance on the platform. They
	// are read from a file and do not change while the instance runs.
	Settings struct {
		Name   string
		Domain string
		Region string
		// Listen is the address for callers, Ready the one for the readiness
		// checks of the load balancer, Peer the one for other instances and
		// Metrics the one for metrics and events.
		Listen  netip.AddrPort
		Ready   netip.AddrPort
		Peer    netip.AddrPort
		Metrics netip.AddrPort
		// Store is the address of the platform's store.
		Store netip.AddrPort
		// Advice is the address of the advice service, or invalid if there is
		// none.
		Advice netip.AddrPort
		// Cores is the CPU limit of the instance, in cores.
		Cores float64
		// LinkMegabits is the rate of the instance's link in megabits per second, 0 if it
		// is unknown.
		LinkMegabits float64
		// LongestLease is the longest lease that a worker accepts.
		LongestLease time.Duration
		// Grace is the time between the stop signal and the forced end of the
		// process.
		Grace time.Duration
		// Retention is how long the state of an ended job can be queried.
		Retention time.Duration
		// Logs reports whether decisions are logged.
		Logs bool
		// Scheduling switches on decisions that a deployment may do without.
		Scheduling Scheduling
	}

	// Scheduling holds the settings of the section scheduling. A missing key
	// switches its decision off.
	Scheduling struct {
		// SubmitWait is the longest time for which a submission that the store
		// refuses is tried again before the caller is refused.
		SubmitWait time.Duration
		// Overload switches on the order and the preemption rules for a full site.
		Overload bool
		// DrainRuns has runs stopped that would be lost with a draining worker.
		DrainRuns bool
		// LearnRunTimes has finished runs decide what run time is expected.
		LearnRunTimes bool
	}

	// parser reads the values of a settings file and collects its mistakes.
	parser struct {
		file *ini.File
		// known holds the keys that have a meaning, as section/key.
		known map[string]bool
		// mistakes are the messages about invalid, missing and unknown keys.
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

// CheckSettings reads the settings file again and logs whether it is valid and
// differs from the current settings. It applies nothing: addresses and limits
// cannot change while the instance runs.
func CheckSettings(current Settings, path string, log event.Log) {
	latest, err := ReadSettings(path)
	outcome := "unchanged"
	switch {
	case err != nil:
		outcome = err.Error()
	case latest != current:
		outcome = "changed, takes effect at the next start"
	}
	log.Write(event.SettingsReread, "instance", current.Name, "outcome", outcome)
}

// parseSettings returns the settings of a file and its mistakes, one line each.
func parseSettings(text []byte) (Settings, []string) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return Settings{}, []string{err.Error()}
	}
	p := &parser{file: file, known: make(map[string]bool)}
	s := Settings{
		Name: p.required("instance", "name"), Domain: p.required("instance", "domain"), Region: p.required("instance", "region"),
		Listen: p.address("instance", "listen"), Ready: p.address("instance", "ready"),
		Peer: p.address("instance", "peer"), Metrics: p.address("instance", "metrics"),
		Store: p.address("platform", "store"), Advice: p.optionalAddress("platform", "advice"),
		Cores: p.positiveNumber("limits", "cores"), LinkMegabits: p.optionalNumber("limits", "linkMegabits"), LongestLease: p.duration("limits", "longestLease"), Grace: p.duration("limits", "grace"),
		Retention: p.duration("limits", "retention"), Logs: p.boolean("logs", "decisions"),
		Scheduling: Scheduling{
			SubmitWait: p.optionalDuration("scheduling", "submitWait"), Overload: p.optionalBoolean("scheduling", "overload"),
			DrainRuns: p.optionalBoolean("scheduling", "drainRuns"), LearnRunTimes: p.optionalBoolean("scheduling", "learnRunTimes"),
		},
	}
	p.reportUnknownKeys()
	return s, p.mistakes
}

func (p *parser) addMistake(section, key, format string, args ...any) {
	p.mistakes = append(p.mistakes, fmt.Sprintf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
}

func (p *parser) value(section, key string) string {
	p.known[section+"/"+key] = true
	return strings.TrimSpace(p.file.Section(section).Key(key).String())
}

// required returns the value of a key that must not be empty.
func (p *parser) required(section, key string) string {
	v := p.value(section, key)
	if v == "" {
		p.addMistake(section, key, "is missing")
	}
	return v
}

func (p *parser) address(section, key string) netip.AddrPort {
	v := p.required(section, key)
	if v == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		p.addMistake(section, key, "%q is not an IP address with a port, such as 10.0.0.1:8080", v)
	}
	return a
}

func (p *parser) optionalAddress(section, key string) netip.AddrPort {
	if p.value(section, key) == "" {
		return netip.AddrPort{}
	}
	return p.address(section, key)
}

func (p *parser) duration(section, key string) time.Duration {
	v := p.required(section, key)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		p.addMistake(section, key, "%q is not a duration above 0, such as 1m30s", v)
	}
	return d
}

// optionalDuration returns the value of a key that may be missing, 0 if it is.
func (p *parser) optionalDuration(section, key string) time.Duration {
	if v := p.value(section, key); v == "" || v == "0s" {
		return 0
	}
	return p.duration(section, key)
}

func (p *parser) positiveNumber(section, key string) float64 {
	v := p.required(section, key)
	f, err := strconv.ParseFloat(v, 64)
	if v != "" && (err != nil || f <= 0) {
		p.addMistake(section, key, "%q is not a number above 0", v)
	}
	return f
}

// optionalNumber returns the value of a key that may be missing, 0 if it is.
func (p *parser) optionalNumber(section, key string) float64 {
	if p.value(section, key) == "" {
		return 0
	}
	return p.positiveNumber(section, key)
}

func (p *parser) boolean(section, key string) bool {
	v := p.required(section, key)
	b, err := strconv.ParseBool(v)
	if v != "" && err != nil {
		p.addMistake(section, key, "%q is neither true nor false", v)
	}
	return b
}

// optionalBoolean returns the value of a key that may be missing, false if it is.
func (p *parser) optionalBoolean(section, key string) bool {
	return p.value(section, key) != "" && p.boolean(section, key)
}

// reportUnknownKeys adds a mistake for each unknown key, which is often a
// misspelt one.
func (p *parser) reportUnknownKeys() {
	for _, s := range p.file.Sections() {
		for _, k := range s.Keys() {
			if !p.known[s.Name()+"/"+k.Name()] {
				p.addMistake(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}
