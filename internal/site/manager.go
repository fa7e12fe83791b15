package site

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Deps are the dependencies of a Manager.
	Deps struct {
		Table store.Table
		// Offer sends the highest known version to the peers before it is put
		// in force. It returns after at most one exchange timeout.
		Offer func(ctx context.Context)
		Log   event.Log
		// Guards are the checks to use. NewManager sets those that are nil.
		Guards Guards
	}

	// Guards are the checks that keep the configuration from reverting to an
	// earlier version. They are fields so that tests can turn one of them off.
	Guards struct {
		// Newer reports whether version next may replace version present.
		Newer func(present, next int64) bool
	}

	// Manager maintains the configuration that is in force at this instance. It is
	// safe for concurrent use.
	Manager struct {
		deps Deps

		mu      sync.Mutex
		current *config.Config
		// highest is the configuration of the highest version that this instance
		// has read or received. It may not be in force yet.
		highest *config.Config
		// peerVersion is the highest version that a peer has reported, and
		// readFailed reports whether the last read from the store failed.
		peerVersion int64
		readFailed  bool
		changed     chan struct{}
		wake        chan struct{}
	}

	// ConflictError means that a change was based on a version that is no longer
	// the committed one.
	ConflictError struct {
		Base    int64
		Current int64
	}
)

const (
	readInterval = time.Second
	readTimeout  = 2 * time.Second
)

var (
	// ErrOutcomeUnknown means that it is not known whether a change was accepted.
	ErrOutcomeUnknown = errors.New("the change may have been accepted")
	// ErrNone means that no configuration has been accepted yet.
	ErrNone = errors.New("no configuration has been accepted yet")
)

// NewManager returns a manager with an empty configuration of version 0.
func NewManager(d Deps) *Manager {
	empty := &config.Config{Limits: config.DefaultLimits()}
	if d.Guards.Newer == nil {
		d.Guards.Newer = func(present, next int64) bool { return next > present }
	}
	return &Manager{
		deps: d, current: empty, highest: empty,
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Current returns the configuration in force. The caller must not change it.
func (m *Manager) Current() *config.Config {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Highest returns the configuration of the highest known version, in force or not.
func (m *Manager) Highest() *config.Config {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highest
}

// Changed returns a channel that is closed when another version is put in force.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Observe records a committed configuration that was read from the store or
// received from a peer. It has no effect if a version as high is already known.
// Run puts the configuration in force.
func (m *Manager) Observe(c *config.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.deps.Guards.Newer(m.highest.Version, c.Version) {
		return
	}
	m.highest = c
	m.wakeUp()
}

// ObserveVersion records the version that a peer has reported. If it is higher
// than the highest known version, the configuration is read from the store at
// once.
func (m *Manager) ObserveVersion(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version <= m.peerVersion {
		return
	}
	m.peerVersion = version
	if version > m.highest.Version {
		m.wakeUp()
	}
}

// NeedsConfig reports whether peers should send the whole configuration, because a
// higher version is known to exist and cannot be read from the store.
func (m *Manager) NeedsConfig() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readFailed && m.peerVersion > m.highest.Version
}

// wakeUp makes Run refresh without waiting for the rest of its interval.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Read returns the committed configuration and passes it to Observe. If the
// head row has the highest known version, only the head row is read. The error
// wraps ErrNone if there is no configuration yet.
func (m *Manager) Read(ctx context.Context) (*config.Config, error) {
	version, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if c := m.Highest(); c.Version == version {
		return c, nil
	}
	c, _, err := m.read(ctx)
	if err != nil {
		return nil, err
	}
	m.Observe(c)
	return c, nil
}

func (m *Manager) readHead(ctx context.Context) (int64, error) {
	row, err := m.deps.Table.Get(ctx, record.ConfigHeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, fmt.Errorf("read configuration head: %w", ErrNone)
	}
	if err != nil {
		return 0, fmt.Errorf("read configuration head: %w", err)
	}
	version, err := record.DecodeHead(row.Value)
	if err != nil {
		return 0, fmt.Errorf("read configuration head: %w", err)
	}
	return version, nil
}

// Run calls Refresh each second, and at once when a higher version is reported or
// received, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for {
		m.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-time.After(readInterval):
		}
	}
}

// Refresh reads the committed configuration once and puts the highest known
// version in force.
func (m *Manager) Refresh(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	// If the store cannot be read, the instance relies on the versions that its
	// peers report.
	_, err := m.Read(readCtx)
	cancel()
	m.mu.Lock()
	m.readFailed = err != nil
	m.mu.Unlock()
	m.putInForce(ctx)
}

// putInForce puts the highest known version in force, after it has been offered
// to the peers.
func (m *Manager) putInForce(ctx context.Context) {
	next := m.Highest()
	if !m.deps.Guards.Newer(m.Current().Version, next.Version) || m.isBehind() {
		return
	}
	if m.deps.Offer != nil {
		m.deps.Offer(ctx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.deps.Guards.Newer(m.current.Version, next.Version) {
		return
	}
	m.current = next
	close(m.changed)
	m.changed = make(chan struct{})
	m.deps.Log.Write(event.ConfigInForce, "version", next.Version)
}

// isBehind reports whether no version has been in force at this instance since
// its start, while a peer has reported a higher version than the highest one
// here. The higher version may have been in force at this instance before it
// restarted, so a lower one must not be put in force.
func (m *Manager) isBehind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Version == 0 && m.highest.Version < m.peerVersion
}

// Apply commits next as the version after base and puts it in force at this
// instance. The error wraps a *ConflictError if base is not the committed
// version, and ErrOutcomeUnknown if the answer of the store was lost and the
// outcome cannot be determined by another read.
func (m *Manager) Apply(ctx context.Context, base int64, next *config.Config) (*config.Config, error) {
	present, version, err := m.read(ctx)
	switch {
	case errors.Is(err, ErrNone):
		present = &config.Config{}
	case err != nil:
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	if present.Version != base {
		return nil, fmt.Errorf("apply configuration: %w", &ConflictError{Base: base, Current: present.Version})
	}
	accepted := *next
	accepted.Version = base + 1
	value, err := record.EncodeConfig(&accepted)
	if err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	head, err := record.EncodeHead(accepted.Version)
	if err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	if err := m.commit(ctx, version, value, head, base); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	m.deps.Log.Write(event.ConfigApplied, "version", accepted.Version)
	m.Observe(&accepted)
	m.putInForce(ctx)
	return &accepted, nil
}

func (m *Manager) commit(ctx context.Context, version int64, value, head []byte, base int64) error {
	_, err := store.CommitResolved(ctx, m.deps.Table, store.Txn{
		Checks: []store.Check{{Key: record.ConfigKey, Version: version}},
		Puts:   []store.Put{{Key: record.ConfigKey, Value: value}, {Key: record.ConfigHeadKey, Value: head}},
	})
	switch {
	case store.IsConflict(err):
		return &ConflictError{Base: base, Current: base + 1}
	case errors.Is(err, store.ErrUncertain):
		return m.resolveUncertain(ctx, base, err)
	}
	return err
}

// resolveUncertain determines the outcome of a commit whose answer was lost and
// whose value is not the committed one. If the version that the commit was to
// write has another value, the commit was not accepted. If the committed version
// is a later one, the outcome remains unknown.
func (m *Manager) resolveUncertain(ctx context.Context, base int64, cause error) error {
	present, _, err := m.read(ctx)
	if err == nil && present.Version == base+1 {
		return &ConflictError{Base: base, Current: present.Version}
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

func (m *Manager) read(ctx context.Context) (*config.Config, int64, error) {
	row, err := m.deps.Table.Get(ctx, record.ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, fmt.Errorf("read configuration: %w", ErrNone)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read configuration: %w", err)
	}
	c, err := record.DecodeConfig(row.Value)
	if err != nil {
		return nil, 0, fmt.Errorf("read configuration: %w", err)
	}
	return c, row.Version, nil
}

// Error returns a message with the version that the change was based on and the
// committed one.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration was read at version %d and is now at version %d or higher", e.Base, e.Current)
}
