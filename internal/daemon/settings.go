package daemon

import (
	"fmt"
	"net/netip"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Settings are what an instance is told when it starts.
type Settings struct {
	// Name is the instance's name. The process adds an incarnation to it, so
	// that a restarted instance is another one to the others.
	Name   string
	Domain ident.Domain
	Region ident.Region
	// Listen is the address for callers and operators.
	Listen netip.AddrPort
	// Peer is the address for other instances.
	Peer netip.AddrPort
	// Platform is the address of the platform's services.
	Platform netip.AddrPort
}

// ErrSettings is wrapped by errors about the settings file.
var ErrSettings = errors.New("invalid settings")

const section = "instance"

// ReadSettings reads the settings file at path.
func ReadSettings(path string) (Settings, error) {
	f, err := ini.Load(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings %s: %w", path, err)
	}
	s := f.Section(section)
	set := Settings{
		Name:   s.Key("name").String(),
		Domain: ident.Domain(s.Key("domain").String()),
		Region: ident.Region(s.Key("region").String()),
	}
	for _, n := range []string{set.Name, string(set.Domain), string(set.Region)} {
		if err := ident.Check(n); err != nil {
			return Settings{}, fmt.Errorf("%s: name, domain and region of [%s]: %w: %w", path, section, ErrSettings, err)
		}
	}
	addresses := []struct {
		key string
		to  *netip.AddrPort
	}{{"listen", &set.Listen}, {"peer", &set.Peer}, {"platform", &set.Platform}}
	for _, a := range addresses {
		if *a.to, err = netip.ParseAddrPort(s.Key(a.key).String()); err != nil {
			return Settings{}, fmt.Errorf("%s: %s of [%s]: %w: %w", path, a.key, section, ErrSettings, err)
		}
	}
	return set, nil
}
