package daemon

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/inifmt"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

type (
	// Settings holds the start-up settings of an instance.
	Settings struct {
		// Name is the instance's name. The process appends a random
		// incarnation to it, so that other instances can tell a restarted
		// instance from its predecessor.
		Name   string
		Domain ident.Domain
		Region ident.Region
		// Listen is the address for callers and operators.
		Listen netip.AddrPort
		// Peer is the address for other instances.
		Peer netip.AddrPort
		// Platform is the address of the platform's services.
		Platform netip.AddrPort
		// PlatformRegion is the region of the platform's services. It is empty
		// if they are in the same region as the instance.
		PlatformRegion ident.Region
	}

	// settingsReader reads one settings file and collects its mistakes.
	settingsReader struct {
		file     string
		section  *ini.Section
		mistakes inifmt.Mistakes
	}

	// settingKey is a key of the settings file, with a description of the
	// allowed values.
	settingKey struct {
		name    string
		allowed string
	}
)

// section is the only section of the settings file.
const section = "instance"

const (
	nameAllowed        = "letters, digits, dots, underscores and hyphens, not starting with a dot"
	addressAllowed     = "an IP address with a port above 0, such as 10.0.0.1:8080"
	lineAllowed        = "[section], key = value, or a comment after # or ;"
	peerAddressAllowed = addressAllowed + ", reachable by the other instances"
)

var (
	// ErrSettings is wrapped by errors about the settings file.
	ErrSettings = errors.New("invalid settings")

	nameKey     = settingKey{"name", nameAllowed}
	domainKey   = settingKey{"domain", nameAllowed}
	regionKey   = settingKey{"region", nameAllowed}
	listenKey   = settingKey{"listen", addressAllowed}
	peerKey     = settingKey{"peer", peerAddressAllowed}
	platformKey = settingKey{"platform", addressAllowed}

	platformRegionKey = settingKey{"platformRegion", nameAllowed}

	settingKeys = []settingKey{nameKey, domainKey, regionKey, listenKey, peerKey, platformKey, platformRegionKey}

	// settingsOptions keeps repeated sections and keys, so that they can be
	// reported as mistakes.
	settingsOptions = ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues: true, IgnoreContinuation: true, SpaceBeforeInlineComment: true,
		KeyValueDelimiters: "=",
	}
)

// ReadSettings reads the settings file at path. If the file has mistakes, the
// error wraps ErrSettings and an inifmt.Mistakes value with all of them.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, mistakes := parseSettings(path, string(text))
	if len(mistakes) > 0 {
		return Settings{}, fmt.Errorf("read settings: %w:\n%w", ErrSettings, mistakes)
	}
	return s, nil
}

// parseSettings returns the settings in the text of a file and its mistakes.
func parseSettings(file, text string) (Settings, inifmt.Mistakes) {
	r := &settingsReader{file: file}
	f, err := ini.LoadSources(settingsOptions, []byte(r.checkLines(text)))
	if err != nil {
		r.add("", "", strings.TrimSpace(err.Error()), lineAllowed)
		return Settings{}, r.mistakes
	}
	r.checkNames(f)
	if r.section == nil {
		r.add(section, "", "missing section", "one section ["+section+"]")
		return Settings{}, r.mistakes
	}
	s := Settings{
		Name:     r.name(nameKey),
		Domain:   ident.Domain(r.name(domainKey)),
		Region:   ident.Region(r.name(regionKey)),
		Listen:   r.address(listenKey),
		Peer:     r.address(peerKey),
		Platform: r.address(platformKey),
	}
	if r.section.HasKey(platformRegionKey.name) {
		s.PlatformRegion = ident.Region(r.name(platformRegionKey))
	}
	if s.Peer.IsValid() && s.Peer.Addr().IsUnspecified() {
		r.add(section, peerKey.name, fmt.Sprintf("%v does not identify one instance", s.Peer), peerKey.allowed)
	}
	if s.Peer.IsValid() && s.Peer == s.Listen {
		r.add(section, peerKey.name, fmt.Sprintf("%v is also the address for callers", s.Peer), "an address other than that of listen")
	}
	return s, r.mistakes
}

// checkLines returns the text without its malformed lines, so that they do not
// hide other mistakes.
func (r *settingsReader) checkLines(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		line = strings.TrimSpace(line)
		isHeader := strings.HasPrefix(line, "[")
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case isHeader && strings.LastIndexByte(line, ']') > 1:
		case !isHeader && strings.IndexByte(line, '=') > 0:
		default:
			r.mistakes = append(r.mistakes, inifmt.Mistake{
				Position: inifmt.Position{File: r.file, Line: i + 1}, Detail: "not a section header, a key or a comment", Allowed: lineAllowed,
			})
			lines[i] = ""
		}
	}
	return strings.Join(lines, "\n")
}

// checkNames finds the section and reports unknown or repeated sections and
// keys.
func (r *settingsReader) checkNames(f *ini.File) {
	for _, s := range f.Sections() {
		switch {
		case s.Name() == ini.DefaultSection:
			for _, k := range s.Keys() {
				r.add("", k.Name(), "key outside any section", "keys in section ["+section+"]")
			}
			continue
		case s.Name() != section:
			r.add(s.Name(), "", "unknown section", "["+section+"]")
			continue
		case r.section != nil:
			r.add(section, "", "duplicate section in this file", "one section ["+section+"]")
			continue
		}
		r.section = s
		r.checkKeys(s)
	}
}

func (r *settingsReader) checkKeys(s *ini.Section) {
	for _, k := range s.Keys() {
		known := slices.ContainsFunc(settingKeys, func(known settingKey) bool { return known.name == k.Name() })
		switch {
		case !known:
			r.add(section, k.Name(), "unknown key", keysAllowed())
		case len(k.ValueWithShadows()) > 1:
			r.add(section, k.Name(), fmt.Sprintf("the key appears %d times", len(k.ValueWithShadows())), "each key once")
		}
	}
}

// value returns the value of a key. If the key is missing or its value is
// empty, it adds a mistake and returns "".
func (r *settingsReader) value(k settingKey) string {
	if !r.section.HasKey(k.name) {
		r.add(section, k.name, "missing key", k.allowed)
		return ""
	}
	text := r.section.Key(k.name).String()
	if text == "" {
		r.add(section, k.name, "empty value", k.allowed)
	}
	return text
}

func (r *settingsReader) name(k settingKey) string {
	text := r.value(k)
	if text == "" {
		return ""
	}
	if err := ident.Check(text); err != nil {
		r.add(section, k.name, err.Error(), k.allowed)
	}
	return text
}

func (r *settingsReader) address(k settingKey) netip.AddrPort {
	text := r.value(k)
	if text == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		r.add(section, k.name, fmt.Sprintf("invalid address %q", text), k.allowed)
		return netip.AddrPort{}
	}
	return a
}

func (r *settingsReader) add(section, key, detail, allowed string) {
	r.mistakes = append(r.mistakes, inifmt.Mistake{
		Position: inifmt.Position{File: r.file}, Section: section, Key: key, Detail: detail, Allowed: allowed,
	})
}

func keysAllowed() string {
	var names []string
	for _, k := range settingKeys {
		names = append(names, k.name)
	}
	return strings.Join(names, ", ")
}
