package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/sched"
	"gotest.tools/v3/assert"
)

// BenchmarkExchange measures one exchange between two instances that own the
// given number of shards each: the time of both sides and the bytes on the wire.
// An instance makes one exchange per second with each other instance.
func BenchmarkExchange(b *testing.B) {
	for _, shards := range []int{0, 1, 7} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			s := stateOf(shards)
			path, handler := NewHandler(Server{Exchange: func(member.State) member.State { return s }})
			mux := http.NewServeMux()
			mux.Handle(path, handler)
			server := httptest.NewServer(mux)
			defer server.Close()
			bytes := new(atomic.Int64)
			c := NewClient(&http.Client{Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return fakes.Count(conn, bytes), nil
				},
			}})
			to := netip.MustParseAddrPort(server.Listener.Addr().String())
			b.ReportAllocs()
			for b.Loop() {
				_, err := c.Exchange(b.Context(), to, s)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wireB/op")
		})
	}
}

func stateOf(shards int) member.State {
	s := member.State{Instance: "entry-1-0123abcd", ConfigVersion: 1500, Ready: true}
	for i := range shards {
		s.Shards = append(s.Shards, sched.Summary{
			Domain: ident.Domain(fmt.Sprintf("domain%d", i)), Epoch: 12, Workers: 215, Accelerators: 300,
			FreeAccelerators: 40, WaitingJobs: 10, WaitingAccelerators: 200, RunningJobs: 76,
		})
	}
	return s
}
