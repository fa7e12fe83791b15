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

// linkShaper decides when requests may cross the link between regions.
// configManager and members are set by bind, because they are constructed
// later.
type linkShaper struct {
	region ident.Region
	gate   *link.Gate

	mu            sync.Mutex
	configManager *site.Manager
	members       *member.Service
}

func newLinkShaper(self member.Info) *linkShaper {
	s := &linkShaper{region: self.Region}
	s.gate = link.NewGate(s.settings, time.Now())
	return s
}

// bind sets the parts that are constructed after the shaper.
func (s *linkShaper) bind(configManager *site.Manager, members *member.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configManager, s.members = configManager, members
}

// limits returns the configured limits and the number of live instances,
// including this one.
func (s *linkShaper) limits() (config.Limits, int) {
	s.mu.Lock()
	configManager, members := s.configManager, s.members
	s.mu.Unlock()
	if configManager == nil {
		return config.DefaultLimits(), 1
	}
	return configManager.Current().Limits, 1 + len(members.Live(time.Now()))
}

// settings returns this instance's part of the link's rate. Each direction
// carries the requests of one region and the answers to the other, so the
// instances of all regions share it. They do not know one another's traffic, so
// each gets an equal part.
func (s *linkShaper) settings() link.Settings {
	limits, instances := s.limits()
	return link.Settings{Rate: limits.LinkRate / shape.Bytes(instances), BulkShare: limits.LinkBulkShare}
}

// linkWait implements relay.Calls.LinkWait.
func (s *linkShaper) linkWait(endpoint route.Endpoint, request relay.Request, now time.Time) (time.Duration, bool) {
	if endpoint.Region == s.region {
		return 0, true
	}
	action := s.gate.Enter(link.Transfer{
		Size: shape.Bytes(len(request.Body)), Bulk: s.isBulk(request.Class, request.Body), Deadline: request.Deadline,
	}, now)
	return action.After, action.Verdict != link.Refuse
}

// chargeAnswer charges the answer to a request to this instance's part of the
// link.
func (s *linkShaper) chargeAnswer(endpoint route.Endpoint, attempt relay.Attempt, size int) {
	if endpoint.Region != s.region {
		s.gate.ChargeAnswer(shape.Bytes(size), s.isBulk(attempt.Class, attempt.Body), time.Now())
	}
}

// chargeTraffic charges traffic other than requests to this instance's part of
// the link.
func (s *linkShaper) chargeTraffic(sent, received int) {
	s.gate.Charge(shape.Bytes(sent), shape.Bytes(received), time.Now())
}

// isBulk reports whether a request counts as a bulk transfer, which may use
// only a share of the link.
func (s *linkShaper) isBulk(c jobs.Class, body []byte) bool {
	limits, _ := s.limits()
	return c != jobs.Urgent && shape.Bytes(len(body)) >= limits.LinkBulkSize
}
