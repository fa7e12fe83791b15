package main

import (
	"context"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/plat"
)

type (
	// target is a service of the platform on which faults can be set.
	target struct {
		name   string
		faults *fakes.Faults
	}

	// commitLogLine is one line of the log of the table service, the change of
	// one row by a commit.
	commitLogLine struct {
		At      time.Time `json:"at"`
		Kind    string    `json:"kind"`
		Key     string    `json:"key"`
		Version int64     `json:"version"`
		// Before is the version of the row before the commit, 0 if there was
		// no such row.
		Before  int64  `json:"before"`
		Deleted bool   `json:"deleted,omitempty"`
		Value   []byte `json:"value,omitempty"`
	}
)

// runPlatform serves the services of the platform until ctx ends.
func runPlatform(ctx context.Context, o *options) error {
	table, objects, list := fakes.NewTable(), fakes.NewObjects(), fakes.NewList(o.lag)
	r := fakes.Router(slices.Concat(
		plat.TableRoutes(table.Store()), plat.ObjectsRoutes(objects.Store()), plat.ListRoutes(list.Plat()),
	)...)
	targets := []target{{"table", &table.Faults}, {"objects", &objects.Faults}, {"list", &list.Faults}}
	addControl(r, "/control/faults", func(body controlRequest) error {
		return forEachSelected(targets, func(t target) string { return t.name }, body, func(t target) error {
			return setFault(t.faults, body)
		})
	})
	addLog(r, func(emit func(any) error) error {
		for _, c := range table.Log() {
			line := commitLogLine{
				At: c.At, Kind: "commit", Key: c.Key, Version: c.Version, Before: c.Before,
				Deleted: c.Deleted, Value: c.Value,
			}
			if err := emit(line); err != nil {
				return err
			}
		}
		return nil
	})
	group := newServerGroup(o)
	if err := group.listen(o.listen, 0, r); err != nil {
		return err
	}
	return group.wait(ctx)
}
