package plat_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/store"
)

func ExampleTable() {
	table := fakes.NewTable()
	server, err := fakes.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0,
		fakes.Router(plat.TableRoutes(table.Store())...))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := plat.Table(server.Address, plat.NewClient(time.Second))
	version, err := client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "lease/ub1", Value: []byte("a")}}})
	fmt.Println(version, err)
	row, err := client.Get(ctx, "lease/ub1")
	fmt.Println(row.Key, string(row.Value), row.Version, err)
	fmt.Println(server.Close(ctx))
	// Output:
	// 1 <nil>
	// lease/ub1 a 1 <nil>
	// <nil>
}
