package accept

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/pipe"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/shard"
	"github.com/baobabquay/baobabquay/internal/share"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Call holds the parts that all calls have in common.
	Call struct {
		Host string
		Path string
		// Key is the key of a workspace. It is empty if the call has none.
		Key string
	}

	// Outcome is the result of a call.
	Outcome int

	// Answer is the answer to a call.
	Answer struct {
		Outcome Outcome
		// Reason describes why the call did not succeed.
		Reason string
		// RetryAfter is the time after which the caller may try again. It is 0
		// if unknown.
		RetryAfter time.Duration
		// Phase is the phase of the job in an answer about a job.
		Phase graph.Phase
		// Waiting is the length of the queue in an answer about a queue.
		Waiting int
	}

	// QueueState is the state of a queue at the leader.
	QueueState struct {
		Waiting int
		// Full is set when the queue takes no further jobs for RetryAfter.
		Full       bool
		RetryAfter time.Duration
	}

	// Leader holds the queries to the leader. Their last result is false if
	// the leader does not answer or does not know the job or queue.
	Leader struct {
		Phase func(ctx context.Context, id graph.ID) (graph.Phase, bool)
		Queue func(ctx context.Context, queue string) (QueueState, bool)
	}

	// Deps are the dependencies of a Service.
	Deps struct {
		Queues *queues.ActiveConfig
		Ledger *ledger.Ledger
		Leader Leader
		// SubmitWait is the longest time for which a submission that the store
		// refuses is tried again. With 0 its caller is refused at once.
		SubmitWait time.Duration
		Log        event.Log
	}

	// Service handles the calls about jobs. It is safe for concurrent use.
	Service struct {
		Deps
		chain *pipe.Chain[*submission]
		// finalPhases caches the phases of completed and failed jobs, which
		// never change.
		finalPhases *shard.Map[graph.ID, graph.Phase]
		// loggedPhases holds the final phases whose first answer was logged.
		loggedPhases *shard.Map[graph.ID, graph.Phase]
		// retryQueue is nil if submissions do not wait.
		retryQueue *retryQueue
	}

	// submission is the value that passes through the submit chain.
	submission struct {
		call      Call
		job       *graph.Job
		config    *queues.Config
		queue     *queues.Queue
		workspace string
		answer    Answer
		wait      waitResult
	}
)

// The outcomes.
const (
	// Accepted means that the job or its cancellation is stored, or that the
	// job to cancel has ended.
	Accepted Outcome = iota
	// Shown means that Phase or Waiting is set.
	Shown
	// Refused means that the job is not stored and will never run.
	Refused
	// Unknown means that the job or its cancellation may be stored.
	Unknown
	// NoConfig means that no configuration is in force yet. Nothing is stored.
	NoConfig
	// NoQueue means that no queue has the host and path of the call.
	NoQueue
	// NoKey means that the key belongs to no workspace and the queue needs one.
	NoKey
	// NoJob means that there is no such job.
	NoJob
	// Invalid means that the job is malformed or that the store rejects it as
	// invalid. Nothing is stored.
	Invalid
	// Unavailable means that a query has no answer for now. Queries change nothing, so
	// they can be repeated.
	Unavailable
)

const (
	// phaseShards is the number of locks over each map of final phases.
	phaseShards = 16
	// defaultRetryAfter is the retry time after a failure that load did not
	// cause: the store is usually back in a few seconds.
	defaultRetryAfter = time.Second
)

var (
	// errDone ends the chain after a filter has set the answer.
	errDone = errors.New("answered")
	// submitTime is the time until a submission is answered.
	submitTime = metrics.NewHistogram("baobabquay_submit_seconds")
)

// New returns a Service with the given dependencies.
func New(deps Deps) *Service {
	s := &Service{
		Deps: deps, finalPhases: shard.New[graph.ID, graph.Phase](phaseShards), loggedPhases: shard.New[graph.ID, graph.Phase](phaseShards),
	}
	if deps.SubmitWait > 0 {
		s.retryQueue = newRetryQueue(deps.SubmitWait, rand.Float64)
	}
	s.chain = pipe.New("submit",
		pipe.Filter[*submission]{Name: "identify", Do: s.identify},
		pipe.Filter[*submission]{Name: "validate", Do: s.validate},
		pipe.Filter[*submission]{Name: "admit", Do: s.admit},
		pipe.Filter[*submission]{Name: "record", Do: s.record},
	)
	return s
}

// Submit accepts or refuses a job. The caller sets the job's specification,
// steps and times. The identifier comes from the path, the workspace from the
// key, and the other fields from the queue.
func (s *Service) Submit(ctx context.Context, c Call, j *graph.Job) Answer {
	sub := &submission{call: c, job: j}
	// The identifier is set before the queue is known, so that the log line of
	// a refusal has it even if no queue matches the call.
	j.ID = graph.ID(c.Path[strings.LastIndexByte(c.Path, '/')+1:])
	start := time.Now()
	if err := s.chain.Run(ctx, sub); err != nil && !errors.Is(err, errDone) {
		sub.answer = Answer{Outcome: Unknown, Reason: err.Error()}
	}
	submitTime.Update(time.Since(start).Seconds())
	id := event.JobAccepted
	if sub.answer.Outcome != Accepted {
		id = event.JobRefused
	}
	s.Log.With(sub.wait.logPairs()...).Write(id, "job", string(j.ID), "queue", j.Queue, "workspace", sub.workspace,
		"outcome", sub.answer.Outcome.String(), "reason", sub.answer.Reason, "took", time.Since(start).String())
	return sub.answer
}

// locate returns the configuration, queue and workspace of a call. If one is
// missing, the outcome of the answer is not Accepted.
func (s *Service) locate(c Call) (*queues.Config, *queues.Queue, string, Answer) {
	config := s.Queues.Current()
	if config == nil {
		return nil, nil, "", Answer{Outcome: NoConfig, Reason: "no configuration", RetryAfter: defaultRetryAfter}
	}
	q, ok := config.Queue(c.Host, c.Path)
	if !ok {
		return config, nil, "", Answer{Outcome: NoQueue, Reason: "no such queue"}
	}
	w, ok := config.Workspace(c.Key)
	if !ok && !q.Public {
		return config, q, "", Answer{Outcome: NoKey, Reason: "unknown key"}
	}
	return config, q, w, Answer{}
}

// ID returns the job identifier that follows the queue's prefix in the path. It
// is empty if the path is that of the queue itself.
func ID(q *queues.Queue, path string) graph.ID {
	return graph.ID(strings.Trim(strings.TrimPrefix(path, q.Prefix), "/"))
}

// identify sets the configuration, queue and workspace of the submission.
func (s *Service) identify(_ context.Context, sub *submission) error {
	config, q, w, answer := s.locate(sub.call)
	if answer.Outcome != Accepted {
		sub.answer = answer
		return errDone
	}
	sub.config, sub.queue, sub.workspace = config, q, w
	return nil
}

// validate sets the fields of the job that come from the call and the queue, and
// refuses a malformed job.
func (s *Service) validate(_ context.Context, sub *submission) error {
	j, q := sub.job, sub.queue
	j.ID = ID(q, sub.call.Path)
	j.Queue, j.Workspace, j.Accepted = q.Name, sub.workspace, time.Now()
	j.ConfigVersion = sub.config.Version
	j.Service, j.Priority, j.MaxAttempts = q.Service, q.Priority, q.MaxAttempts
	j.Slack, j.Objective = q.Slack, q.Objective
	if err := j.Check(); err != nil {
		sub.answer = Answer{Outcome: Invalid, Reason: err.Error()}
		return errDone
	}
	if !validID(j.ID) {
		sub.answer = Answer{Outcome: Invalid, Reason: "job identifier is not 16 hexadecimal digits"}
		return errDone
	}
	return nil
}

// validID reports whether id has 16 hexadecimal digits, on which the stored rows
// and the names of tasks rely.
func validID(id graph.ID) bool {
	const digits = 16
	if len(id) != digits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// admit refuses a job that could not run, before it is stored.
func (s *Service) admit(_ context.Context, sub *submission) error {
	if sub.queue.RequiresTicket {
		// The workers refuse to start a task of the queue without a ticket.
		sub.answer = Answer{Outcome: Refused, Reason: "queue needs tickets of the advice service, which are not supported"}
		return errDone
	}
	limit := sub.config.Limits()[sub.workspace]
	for i := range sub.job.Steps {
		if need := share.Largest(&sub.job.Steps[i]); !limit.Fits(need) {
			sub.answer = Answer{Outcome: Refused, Reason: fmt.Sprintf("step %d needs %s at once, the cap of the workspace is %s", i, need.Text(), limit.Cap.Text())}
			return errDone
		}
	}
	return nil
}

// record stores the job and sets the answer.
func (s *Service) record(ctx context.Context, sub *submission) error {
	outcome, err := s.storeJob(ctx, sub)
	if errors.Is(err, errWithdrawn) {
		return errDone
	}
	if outcome == ledger.NotStored && errors.Is(err, store.ErrInvalid) {
		sub.answer = Answer{Outcome: Invalid, Reason: err.Error()}
		return nil
	}
	switch outcome {
	case ledger.Stored:
		sub.answer = Answer{Outcome: Accepted}
	case ledger.NotStored:
		sub.answer = Answer{Outcome: Refused, Reason: err.Error()}
		if !errors.Is(err, ledger.ErrCancelled) {
			sub.answer.RetryAfter = cmp.Or(sub.wait.retryAfter, defaultRetryAfter)
		}
	default:
		sub.answer = Answer{Outcome: Unknown, Reason: err.Error()}
	}
	return nil
}

// Cancel cancels the job that the path names.
func (s *Service) Cancel(ctx context.Context, c Call) Answer {
	_, q, _, answer := s.locate(c)
	if answer.Outcome != Accepted {
		return answer
	}
	id := ID(q, c.Path)
	outcome, err := ledger.NotFound, error(nil)
	if validID(id) {
		outcome, err = s.Ledger.Cancel(ctx, id)
	}
	switch outcome {
	case ledger.Stored, ledger.AlreadyEnded:
		answer = Answer{Outcome: Accepted}
	case ledger.NotFound:
		answer = Answer{Outcome: NoJob, Reason: "no such job"}
	default:
		answer = Answer{Outcome: Unknown, Reason: err.Error()}
	}
	s.Log.Write(event.JobCancel, "job", string(id), "queue", q.Name, "outcome", answer.Outcome.String(), "reason", answer.Reason)
	return answer
}

// State returns the phase of the job that the path names, or the length of the
// queue if the path names no job.
func (s *Service) State(ctx context.Context, c Call) Answer {
	_, q, _, answer := s.locate(c)
	if answer.Outcome != Accepted {
		return answer
	}
	if id := ID(q, c.Path); id != "" {
		return s.phase(ctx, id)
	}
	return s.length(ctx, q)
}

// phase returns the phase of a job from the cache, the leader or the stored
// rows, in this order.
func (s *Service) phase(ctx context.Context, id graph.ID) Answer {
	if p, ok := s.finalPhases.Load(id); ok {
		s.logFinalPhase(id, p, "cache")
		return Answer{Outcome: Shown, Phase: p}
	}
	if p, ok := s.Leader.Phase(ctx, id); ok {
		s.logFinalPhase(id, p, "leader")
		s.cachePhase(id, p)
		return Answer{Outcome: Shown, Phase: p}
	}
	p, known, err := s.Ledger.Phase(ctx, id)
	switch {
	case err != nil:
		return Answer{Outcome: Unavailable, Reason: err.Error(), RetryAfter: defaultRetryAfter}
	case !known:
		return Answer{Outcome: NoJob, Reason: "no such job"}
	}
	s.logFinalPhase(id, p, "rows")
	s.cachePhase(id, p)
	return Answer{Outcome: Shown, Phase: p}
}

// logFinalPhase logs the first answer that has a final phase of a job, and its
// source. Later answers come from the cache, except for cancelled jobs, which
// are not cached.
func (s *Service) logFinalPhase(id graph.ID, p graph.Phase, source string) {
	if p != graph.Completed && p != graph.FailedJob && p != graph.Cancelled {
		return
	}
	if _, known := s.loggedPhases.LoadOrStore(id, func() graph.Phase { return p }); !known {
		s.Log.Write(event.JobAnswered, "job", string(id), "phase", string(p), "source", source)
	}
}

// cachePhase caches the phase of a completed or failed job.
func (s *Service) cachePhase(id graph.ID, p graph.Phase) {
	if p == graph.Completed || p == graph.FailedJob {
		s.finalPhases.Store(id, p)
	}
}

// length returns the length of the queue at the leader.
func (s *Service) length(ctx context.Context, q *queues.Queue) Answer {
	state, ok := s.Leader.Queue(ctx, q.Name)
	if !ok {
		return Answer{Outcome: Unavailable, Reason: "the leader did not answer", RetryAfter: defaultRetryAfter}
	}
	return Answer{Outcome: Shown, Waiting: state.Waiting}
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{
		"accepted", "shown", "refused", "unknown", "noConfiguration", "noQueue", "noKey", "noJob", "invalid", "unavailable",
	}
	if int(o) < len(names) {
		return names[o]
	}
	return "undefined"
}
