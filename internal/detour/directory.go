package detour

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

type (
	// DirectoryDeps are the dependencies of a Directory.
	DirectoryDeps struct {
		Table store.Table
		Feed  store.Feed
		// Name and Address are the name of this instance and the address at
		// which its peers reach it.
		Name    string
		Address netip.AddrPort
		// Region is the region of this instance, and Cores its processor limit.
		Region string
		Cores  float64
		// Leader returns the address of the leader, invalid if there is none.
		Leader func() netip.AddrPort
		Log    event.Log
	}

	// Directory is a directory of the addresses of all instances, kept up to date
	// from the table "instances". It is safe for concurrent use.
	Directory struct {
		DirectoryDeps

		mu   sync.Mutex
		rows map[string]instanceRow
		// avoid has the time at which each peer last failed to answer, by address.
		avoid map[netip.AddrPort]time.Time
	}

	// instanceRow is the row of an instance.
	instanceRow struct {
		Address netip.AddrPort `json:"peer"`
		// WrittenAt is when the instance wrote the row.
		WrittenAt time.Time `json:"at"`
		// Region and Cores are absent in rows of earlier versions of the program.
		Region string  `json:"region,omitempty"`
		Cores  float64 `json:"cores,omitempty"`
	}
)

const (
	// InstanceTable has a row for each instance.
	InstanceTable = "instances"
	// minReadInterval is the first interval between two reads, which doubles up
	// to maxReadInterval: all instances start together, and a directory that is
	// half a minute old still has most of them.
	minReadInterval = 2 * time.Second
	maxReadInterval = 32 * time.Second
	// rowRefreshAge is the age at which an instance writes its row again, and
	// rowExpiry the age at which other instances remove it. Clocks differ by
	// seconds.
	rowRefreshAge = 10 * time.Minute
	rowExpiry     = time.Hour
	// callTimeout bounds one call of the table service, and the pauses of the answer
	// to a read; a slow service answers within a quarter of a second.
	callTimeout = 900 * time.Millisecond
	// avoidDuration is how long a peer that has not answered is listed last.
	avoidDuration = 5 * time.Second
	// fanOut is the number of children of an instance in the tree of its region. The
	// 74 instances of the largest region today are at most 3 levels below the root.
	fanOut = 4
	// maxRemovedRows bounds the expired rows that one transaction removes.
	maxRemovedRows = 50
)

// NewDirectory returns an empty directory.
func NewDirectory(d DirectoryDeps) *Directory {
	return &Directory{DirectoryDeps: d, rows: make(map[string]instanceRow), avoid: make(map[netip.AddrPort]time.Time)}
}

// Run maintains the row of this instance and reads those of its peers until ctx
// ends. It polls for changes instead of waiting for each: after a restart of all
// instances, each of them would otherwise make one call for every other.
func (d *Directory) Run(ctx context.Context) {
	version, interval := int64(0), minReadInterval
	for ctx.Err() == nil {
		next, err := d.refresh(ctx, version)
		version = next
		if err == nil && !d.rowIsCurrent() {
			err = d.writeRow(ctx)
		}
		if err != nil && ctx.Err() == nil {
			d.Log.Write(event.BookFailed, "reason", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
		interval = min(2*interval, maxReadInterval)
	}
}

// refresh applies the changes after a version, or the whole table if the version
// is 0, and returns the version after which to read next.
func (d *Directory) refresh(ctx context.Context, version int64) (int64, error) {
	ctx, cancel := store.AnswerTimeout{First: callTimeout, Stall: callTimeout, Transfer: maxReadInterval}.Context(ctx)
	defer cancel()
	var changes store.Changes
	var err error
	if version == 0 {
		changes, err = d.Feed.Read(ctx, InstanceTable)
	} else {
		changes, err = d.Feed.Wait(ctx, InstanceTable, version, 0)
	}
	if err != nil {
		if errors.Is(err, store.ErrCompacted) {
			version = 0
		}
		return version, fmt.Errorf("read instances: %w", err)
	}
	d.apply(changes, version == 0)
	return max(version, changes.Version), nil
}

func (d *Directory) apply(changes store.Changes, replace bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if replace {
		clear(d.rows)
	}
	for _, change := range changes.Rows {
		name := store.RowName(change.Row.Key)
		if change.Deleted {
			delete(d.rows, name)
			continue
		}
		var row instanceRow
		if err := ledger.Decode(change.Row, &row); err != nil {
			d.Log.Write(event.RowUnread, "key", change.Row.Key, "reason", err.Error())
			continue
		}
		d.rows[name] = row
	}
}

// rowIsCurrent reports whether the stored row of this instance is present, has
// the present values and is younger than rowRefreshAge.
func (d *Directory) rowIsCurrent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, ok := d.rows[d.Name]
	age := time.Since(row.WrittenAt).Abs()
	row.WrittenAt = time.Time{}
	return ok && row == d.ownRow() && age < rowRefreshAge
}

// ownRow returns the row of this instance without the time.
func (d *Directory) ownRow() instanceRow {
	return instanceRow{Address: d.Address, Region: d.Region, Cores: d.Cores}
}

func (d *Directory) writeRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row := d.ownRow()
	row.WrittenAt = time.Now()
	value, err := ledger.Encode(row)
	if err != nil {
		return fmt.Errorf("write own row: %w", err)
	}
	t := store.Txn{Puts: []store.Put{{Key: InstanceTable + "/" + d.Name, Value: value}}, Deletes: d.expiredKeys()}
	if _, err := d.Table.Commit(ctx, t); err != nil {
		return fmt.Errorf("write own row: %w", err)
	}
	return nil
}

// expiredKeys returns the keys of rows that their instances no longer refresh.
func (d *Directory) expiredKeys() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []string
	for name, row := range d.rows {
		if name != d.Name && time.Since(row.WrittenAt) > rowExpiry && len(keys) < maxRemovedRows {
			keys = append(keys, InstanceTable+"/"+name)
		}
	}
	slices.Sort(keys)
	return keys
}

// Avoid lists a peer after all others for the next avoidDuration.
func (d *Directory) Avoid(a netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[a] = time.Now()
}

// Peers returns the addresses of the peers in order of preference: the leader
// first, since it reaches the service to renew its lease, then the rest in the
// order of their names, starting after the name of this instance so that
// different instances choose different peers. Peers that have recently failed to
// answer come last.
func (d *Directory) Peers() []netip.AddrPort {
	leader := d.Leader()
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.rows))
	for name, row := range d.rows {
		if name != d.Name && row.Address != d.Address {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	start, _ := slices.BinarySearch(names, d.Name)
	var preferred, avoided []netip.AddrPort
	add := func(a netip.AddrPort) {
		if failedAt, ok := d.avoid[a]; ok && time.Since(failedAt) < avoidDuration {
			avoided = append(avoided, a)
			return
		}
		preferred = append(preferred, a)
	}
	if leader.IsValid() && leader != d.Address {
		add(leader)
	}
	for i := range names {
		if a := d.rows[names[(start+i)%len(names)]].Address; a != leader {
			add(a)
		}
	}
	return append(preferred, avoided...)
}

// Parent returns the address of the parent of this instance in the tree of its region,
// invalid for the root: the instances of the region, without those that have recently
// failed to answer, are ordered by decreasing processor limit and then by the hash of
// their names, and each has the next fanOut of them as children. So the instances with
// children are those that serve them fastest, and neighbours by name, which often stop
// one after the other, are not parent and child.
func (d *Directory) Parent() netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, ok := d.rows[d.Name]
	if !ok || own.Region == "" {
		return netip.AddrPort{}
	}
	preceding := make([]string, 0, len(d.rows))
	for name, row := range d.rows {
		failedAt, failed := d.avoid[row.Address]
		usable := row.Region == own.Region && (!failed || time.Since(failedAt) >= avoidDuration)
		if usable && d.compare(name, d.Name) < 0 {
			preceding = append(preceding, name)
		}
	}
	if len(preceding) == 0 {
		return netip.AddrPort{}
	}
	slices.SortFunc(preceding, d.compare)
	return d.rows[preceding[(len(preceding)-1)/fanOut]].Address
}

// compare orders two instances of a region as Parent states. The caller must hold mu.
func (d *Directory) compare(a, b string) int {
	return cmp.Or(
		cmp.Compare(d.rows[b].Cores, d.rows[a].Cores),
		cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)),
		strings.Compare(a, b),
	)
}
