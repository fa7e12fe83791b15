package main

import (
	"context"
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/plat"
)

type (
	// target is a part of the platform that has faults.
	target struct {
		name   string
		faults *fakes.Faults
	}

	commitLine struct {
		At      time.Time `json:"at"`
		Kind    string    `json:"kind"`
		Key     string    `json:"key"`
		Version int64     `json:"version"`
		Before  int64     `json:"before"`
		Deleted bool      `json:"deleted,omitempty"`
		Value   []byte    `json:"value,omitempty"`
	}
)

func runPlatform(ctx context.Context, o *options) error {
	table, objects, list := fakes.NewTable(), fakes.NewObjects(), fakes.NewList(o.lag)
	r := fakes.Router(slices.Concat(
		plat.TableRoutes(table.Store()), plat.ObjectsRoutes(objects.Store()), plat.ListRoutes(list.Plat()),
	)...)
	targets := []target{{"table", &table.Faults}, {"objects", &objects.Faults}, {"list", &list.Faults}}
	control(r, "/control/faults", func(o order) error {
		return selected(targets, func(t target) string { return t.name }, o, func(t target) error {
			return setFault(t.faults, o)
		})
	})
	controlLog(r, func(yield func(any) error) error {
		for _, c := range table.Log() {
			line := commitLine{
				At: c.At, Kind: "commit", Key: c.Key, Version: c.Version, Before: c.Before,
				Deleted: c.Deleted, Value: c.Value,
			}
			if err := yield(line); err != nil {
				return err
			}
		}
		return nil
	})
	p := newProcess(o)
	if err := p.listen(o.listen, 0, r); err != nil {
		return err
	}
	return p.wait(ctx)
}
