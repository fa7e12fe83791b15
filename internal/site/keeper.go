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
	// Deps are the calls that a Keeper makes.
	Deps struct {
		Table store.Table
		// Offer tells the peers the version in Pending before it is put in
		// force. It returns after at most one exchange timeout.
		Offer func(ctx context.Context)
		Log   event.Log
		// Guards is set by NewKeeper where fields are nil.
		Guards Guards
	}

	// Guards are the checks that keep the configuration from reverting, as
	// seams for tests that turn one of them off.
	Guards struct {
		// Newer tells whether version next may replace version present.
		Newer func(present, next int64) bool
	}

	// Keeper holds the configuration in force. It is safe for concurrent use.
	Keeper struct {
		deps Deps

		mu      sync.Mutex
		current *config.Config
		// highest is the highest version known, which may not be in force yet.
		highest *config.Config
		// heard is the highest version that a peer has named, and readFailed
		// tells that the last read from the store failed.
		heard      int64
		readFailed bool
		changed    chan struct{}
		wake       chan struct{}
	}

	// ConflictError tells that the version has moved since it was read.
	ConflictError struct {
		Base    int64
		Current int64
	}
)

const (
	readEvery   = time.Second
	readTimeout = 2 * time.Second
)

var (
	// ErrUnknown means that a change may have been accepted.
	ErrUnknown = errors.New("the change may have been accepted")
	// ErrNone means that no configuration has been accepted yet.
	ErrNone = errors.New("no configuration has been accepted yet")
)

// NewKeeper returns a keeper with an empty configuration of version 0.
func NewKeeper(d Deps) *Keeper {
	empty := &config.Config{Limits: config.DefaultLimits()}
	if d.Guards.Newer == nil {
		d.Guards.Newer = func(present, next int64) bool { return next > present }
	}
	return &Keeper{
		deps: d, current: empty, highest: empty,
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Current returns the configuration in force. The caller must not change it.
func (k *Keeper) Current() *config.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Highest returns the highest version that this instance knows, in force or not.
func (k *Keeper) Highest() *config.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.highest
}

// Changed returns a channel that is closed when another version comes in force.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Learn takes a committed configuration from the store or from a peer. It is
// put in force by Run.
func (k *Keeper) Learn(c *config.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.deps.Guards.Newer(k.highest.Version, c.Version) {
		return
	}
	k.highest = c
	k.wakeUp()
}

// Hear takes the version that a peer has named. A higher one than known here
// is read from the store at once.
func (k *Keeper) Hear(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.heard {
		return
	}
	k.heard = version
	if version > k.highest.Version {
		k.wakeUp()
	}
}

// Wants reports whether a peer must send the configuration itself, because a
// higher version is known to exist and the store does not answer.
func (k *Keeper) Wants() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readFailed && k.heard > k.highest.Version
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Read returns the committed configuration and learns it. It reads only the
// head row if that names the highest version known here. The error wraps
// ErrNone if there is no configuration yet.
func (k *Keeper) Read(ctx context.Context) (*config.Config, error) {
	version, err := k.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if c := k.Highest(); c.Version == version {
		return c, nil
	}
	c, _, err := k.read(ctx)
	if err != nil {
		return nil, err
	}
	k.Learn(c)
	return c, nil
}

func (k *Keeper) readHead(ctx context.Context) (int64, error) {
	row, err := k.deps.Table.Get(ctx, record.ConfigHeadKey)
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

// Run reads the row each second and puts versions in force until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		k.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-time.After(readEvery):
		}
	}
}

// Refresh reads the row once and puts the highest known version in force.
func (k *Keeper) Refresh(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	// Without the store the instance goes on with what its peers told it.
	_, err := k.Read(readCtx)
	cancel()
	k.mu.Lock()
	k.readFailed = err != nil
	k.mu.Unlock()
	k.install(ctx)
}

func (k *Keeper) install(ctx context.Context) {
	next := k.Highest()
	if !k.deps.Guards.Newer(k.Current().Version, next.Version) || k.isBehind() {
		return
	}
	if k.deps.Offer != nil {
		k.deps.Offer(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.deps.Guards.Newer(k.current.Version, next.Version) {
		return
	}
	k.current = next
	close(k.changed)
	k.changed = make(chan struct{})
	k.deps.Log.Write(event.ConfigInForce, "version", next.Version)
}

// isBehind reports whether this instance has just started and knows that a
// higher version than its highest was in force elsewhere. It may itself have
// been there before its restart, so a lower one would be a step back.
func (k *Keeper) isBehind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.Version == 0 && k.highest.Version < k.heard
}

// Apply commits next as the version after base and puts it in force here. The
// error wraps a *ConflictError if base is not the committed version, and
// ErrUnknown if the answer of the store was lost for good.
func (k *Keeper) Apply(ctx context.Context, base int64, next *config.Config) (*config.Config, error) {
	present, version, err := k.read(ctx)
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
	if err := k.commit(ctx, version, value, head, base); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	k.deps.Log.Write(event.ConfigApplied, "version", accepted.Version)
	k.Learn(&accepted)
	k.install(ctx)
	return &accepted, nil
}

func (k *Keeper) commit(ctx context.Context, version int64, value, head []byte, base int64) error {
	_, err := store.CommitSure(ctx, k.deps.Table, store.Txn{
		Checks: []store.Check{{Key: record.ConfigKey, Version: version}},
		Puts:   []store.Put{{Key: record.ConfigKey, Value: value}, {Key: record.ConfigHeadKey, Value: head}},
	})
	switch {
	case store.IsConflict(err):
		return &ConflictError{Base: base, Current: base + 1}
	case errors.Is(err, store.ErrUncertain):
		return k.settle(ctx, base, err)
	}
	return err
}

// settle finds out what became of a commit whose answer was lost and whose
// value is not the committed one. Another value in the version that this
// commit was to write proves that it was not accepted; a later version leaves
// it open.
func (k *Keeper) settle(ctx context.Context, base int64, cause error) error {
	present, _, err := k.read(ctx)
	if err == nil && present.Version == base+1 {
		return &ConflictError{Base: base, Current: present.Version}
	}
	return fmt.Errorf("%w: %w", ErrUnknown, cause)
}

func (k *Keeper) read(ctx context.Context) (*config.Config, int64, error) {
	row, err := k.deps.Table.Get(ctx, record.ConfigKey)
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

// Error names the version that the change was based on and the present one.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration was read at version %d and is now at version %d or higher", e.Base, e.Current)
}
