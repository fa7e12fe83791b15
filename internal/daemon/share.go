package daemon

import (
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/link"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/site"
)

// sharing decides when requests cross the link between regions. The site and
// the members are set when they exist.
type sharing struct {
	region ident.Region
	gate   *link.Gate

	mu      sync.Mutex
	site    *site.Keeper
	members *member.Service
}

func newSharing(self member.Info) *sharing {
	s := &sharing{region: self.Region}
	s.gate = link.NewGate(s.settings, time.Now())
	return s
}

func (s *sharing) set(k *site.Keeper, m *member.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.site, s.members = k, m
}

func (s *sharing) limits() (config.Limits, int) {
	s.mu.Lock()
	k, m := s.site, s.members
	s.mu.Unlock()
	if k == nil {
		return config.DefaultLimits(), 1
	}
	return k.Current().Limits, 1 + len(m.Live(time.Now()))
}

// settings returns this instance's part of the link. The instances of all
// regions share each direction, for requests of the one and answers to the
// other region, and do not know one another's traffic; so each has an equal
// part.
func (s *sharing) settings() link.Settings {
	l, instances := s.limits()
	return link.Settings{Rate: l.LinkRate / shape.Bytes(instances), BulkShare: l.LinkBulkShare}
}

// ask is relay.Calls.Share.
func (s *sharing) ask(e route.Endpoint, q relay.Request, now time.Time) (time.Duration, bool) {
	if e.Region == s.region {
		return 0, true
	}
	a := s.gate.Enter(link.Transfer{
		Size: shape.Bytes(len(q.Body)), Bulk: s.isBulk(q.Class, q.Body), Deadline: q.Deadline,
	}, now)
	return a.After, a.Verdict != link.Refuse
}

// answered pays for the answer to a request.
func (s *sharing) answered(e route.Endpoint, a relay.Attempt, size int) {
	if e.Region != s.region {
		s.gate.Answered(shape.Bytes(size), s.isBulk(a.Class, a.Body), time.Now())
	}
}

// spend pays for traffic other than requests.
func (s *sharing) spend(sent, received int) {
	s.gate.Spend(shape.Bytes(sent), shape.Bytes(received), time.Now())
}

func (s *sharing) isBulk(c jobs.Class, body []byte) bool {
	l, _ := s.limits()
	return c != jobs.Urgent && shape.Bytes(len(body)) >= l.LinkBulkSize
}
