package detour

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// BookDeps is what a book needs.
	BookDeps struct {
		Table store.Table
		Feed  store.Feed
		// Name and Peer are this instance's own.
		Name string
		Peer netip.AddrPort
		// Leader returns the leader's address, invalid for none.
		Leader func() netip.AddrPort
		Log    event.Log
	}

	// Book knows the addresses of the other instances. It is safe for
	// concurrent use.
	Book struct {
		BookDeps

		mu    sync.Mutex
		rows  map[string]entry
		avoid map[netip.AddrPort]time.Time
	}

	// entry is the row of an instance.
	entry struct {
		Peer netip.AddrPort `json:"peer"`
		// At is when the instance wrote it.
		At time.Time `json:"at"`
	}
)

const (
	// InstanceTable has a row for each instance.
	InstanceTable = "instances"
	// firstPause is the first pause between two reads, which doubles up to
	// lastPause: all instances start together, and a book that is half a minute
	// old still names most of them.
	firstPause = 2 * time.Second
	lastPause  = 32 * time.Second
	// rewrite is the age at which an instance writes its row again, and
	// forgotten the age at which others remove it. Clocks differ by seconds.
	rewrite   = 10 * time.Minute
	forgotten = time.Hour
	// callLimit bounds one call of the table service; a slow one answers in a
	// quarter of a second.
	callLimit = 900 * time.Millisecond
	// avoidFor is how long an instance that has not answered comes last.
	avoidFor = 5 * time.Second
	// mostRemoved bounds the old rows that one transaction removes.
	mostRemoved = 50
)

// NewBook returns an empty book.
func NewBook(d BookDeps) *Book {
	return &Book{BookDeps: d, rows: make(map[string]entry), avoid: make(map[netip.AddrPort]time.Time)}
}

// Run keeps this instance's row and reads those of the others until ctx ends.
// It asks for changes now and then instead of waiting for each: a restart of
// all instances would otherwise cost a call of every instance for every other.
func (b *Book) Run(ctx context.Context) {
	version, pause := int64(0), firstPause
	for ctx.Err() == nil {
		next, err := b.refresh(ctx, version)
		version = next
		if err == nil && !b.current() {
			err = b.write(ctx)
		}
		if err != nil && ctx.Err() == nil {
			b.Log.Write(event.BookFailed, "reason", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, lastPause)
	}
}

// refresh applies what has changed since a version, or the whole table if that
// is 0, and returns the version from which to go on.
func (b *Book) refresh(ctx context.Context, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var c store.Changes
	var err error
	if version == 0 {
		c, err = b.Feed.Read(ctx, InstanceTable)
	} else {
		c, err = b.Feed.Wait(ctx, InstanceTable, version, 0)
	}
	if err != nil {
		if errors.Is(err, store.ErrCompacted) {
			version = 0
		}
		return version, fmt.Errorf("read instances: %w", err)
	}
	b.apply(c, version == 0)
	return max(version, c.Version), nil
}

func (b *Book) apply(c store.Changes, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if whole {
		clear(b.rows)
	}
	for _, ch := range c.Rows {
		name := store.Name(ch.Row.Key)
		if ch.Deleted {
			delete(b.rows, name)
			continue
		}
		var e entry
		if err := ledger.Decode(ch.Row, &e); err != nil {
			b.Log.Write(event.RowUnread, "key", ch.Row.Key, "reason", err.Error())
			continue
		}
		b.rows[name] = e
	}
}

// current reports whether the stored row of this instance needs no change.
func (b *Book) current() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.rows[b.Name]
	return ok && e.Peer == b.Peer && time.Since(e.At).Abs() < rewrite
}

func (b *Book) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	value, err := ledger.Encode(entry{Peer: b.Peer, At: time.Now()})
	if err != nil {
		return fmt.Errorf("write own row: %w", err)
	}
	t := store.Txn{Puts: []store.Put{{Key: InstanceTable + "/" + b.Name, Value: value}}, Deletes: b.old()}
	if _, err := b.Table.Commit(ctx, t); err != nil {
		return fmt.Errorf("write own row: %w", err)
	}
	return nil
}

// old returns the keys of rows that nobody keeps.
func (b *Book) old() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []string
	for name, e := range b.rows {
		if name != b.Name && time.Since(e.At) > forgotten && len(keys) < mostRemoved {
			keys = append(keys, InstanceTable+"/"+name)
		}
	}
	slices.Sort(keys)
	return keys
}

// Avoid puts an instance behind the others for a while.
func (b *Book) Avoid(a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoid[a] = time.Now()
}

// Others returns the addresses of the other instances: the leader, which
// reaches the service to renew its lease, then the others from this instance's
// name on, so that instances choose different ones. Those that have not
// answered of late come last.
func (b *Book) Others() []netip.AddrPort {
	leader := b.Leader()
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make([]string, 0, len(b.rows))
	for name, e := range b.rows {
		if name != b.Name && e.Peer != b.Peer {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	at, _ := slices.BinarySearch(names, b.Name)
	var good, bad []netip.AddrPort
	add := func(a netip.AddrPort) {
		if at, ok := b.avoid[a]; ok && time.Since(at) < avoidFor {
			bad = append(bad, a)
			return
		}
		good = append(good, a)
	}
	if leader.IsValid() && leader != b.Peer {
		add(leader)
	}
	for i := range names {
		if a := b.rows[names[(at+i)%len(names)]].Peer; a != leader {
			add(a)
		}
	}
	return append(good, bad...)
}
