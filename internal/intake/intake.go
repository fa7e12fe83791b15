package intake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/pipe"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

type (
	// Deps are the dependencies of an Intake.
	Deps struct {
		Table   store.Table
		Objects store.Objects
		// Config returns the configuration in force.
		Config func() *config.Config
		// Candidates returns the domains that may take a job of the workspace.
		Candidates func(w ident.Workspace, s jobs.Spec) []sched.Candidate
		// Notify informs the owner of the domain's shard that its queue changed.
		Notify func(d ident.Domain, w ident.Workspace, j ident.Job)
		// Stopping is closed when a planned stop of the instance begins. It
		// may be nil.
		Stopping <-chan struct{}
		Log      event.Log
	}

	// Submission is a caller's request to run a job.
	Submission struct {
		Workspace ident.Workspace
		// Request is the caller's identifier of the submission. If it is
		// empty, a repeated submission creates another job.
		Request ident.Request
		Spec    jobs.Spec
	}

	// Intake handles the calls about jobs. It is safe for concurrent use.
	Intake struct {
		deps   Deps
		submit *pipe.Chain[*submission]
	}

	// submission is the value that passes through the submit chain.
	submission struct {
		input  Submission
		config *config.Config
		job    jobs.Job
		// stored is set once the job is committed. A later error must not be
		// returned as a refusal.
		stored bool
	}
)

const (
	// minPollInterval and maxPollInterval bound the interval at which Wait reads a
	// job.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	// requestPrefix begins the identifiers of jobs that come from those of requests.
	requestPrefix = "req-"
	// maxCancelAttempts bounds the attempts of Cancel, which can conflict with
	// writes of the shard owner. The owner writes a job only a few times.
	maxCancelAttempts = 8
	// writeTimeout bounds the time of a submission or cancellation. The outcome
	// of a commit whose answer was lost is known only when the store is back,
	// which can take as long as the outage. The caller gets the outcome Unknown
	// before that.
	writeTimeout = 20 * time.Second
)

// errStaleRead means that reads of a job return rows that are older than its present one.
var errStaleRead = errors.New("reads of the job are out of date")

// New returns an Intake with the given dependencies.
func New(d Deps) *Intake {
	in := &Intake{deps: d}
	in.submit = pipe.New("submit",
		pipe.Filter[*submission]{Name: "validate", Do: in.validate},
		pipe.Filter[*submission]{Name: "recall", Do: in.recall},
		pipe.Filter[*submission]{Name: "assign", Do: in.assign},
		pipe.Filter[*submission]{Name: "bound", Do: in.bound},
		pipe.Filter[*submission]{Name: "record", Do: in.record},
		pipe.Filter[*submission]{Name: "notify", Do: in.notify},
	)
	return in
}

// Submit stores a job and returns it. An error is a *Refusal.
func (in *Intake) Submit(ctx context.Context, input Submission) (jobs.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	s := &submission{input: input, config: in.deps.Config()}
	if err := in.submit.Run(ctx, s); err != nil && !s.stored {
		in.deps.Log.Write(event.JobRefused, "workspace", input.Workspace, "request", input.Request, "reason", err.Error())
		return jobs.Job{}, asRefusal("submit", err)
	}
	return s.job, nil
}

// Read returns a job with its result.
func (in *Intake) Read(ctx context.Context, w ident.Workspace, id ident.Job) (jobs.Job, error) {
	j, _, err := in.load(ctx, w, id)
	if err != nil {
		return jobs.Job{}, err
	}
	if !j.ResultStored {
		return j, nil
	}
	j.Result, err = in.deps.Objects.Get(ctx, record.ResultKey(w, id))
	if err != nil {
		return jobs.Job{}, storeRefusal("read result", err)
	}
	return j, nil
}

// Wait returns the job once it has ended. It returns the job in its current
// state when d has passed, ctx ends, or the instance begins to stop, so that the
// caller can continue to wait at another instance.
func (in *Intake) Wait(ctx context.Context, w ident.Workspace, id ident.Job, d time.Duration) (jobs.Job, error) {
	deadline := time.Now().Add(d)
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		j, err := in.Read(ctx, w, id)
		if err != nil || j.State.Ended() || !time.Now().Before(deadline) {
			return j, err
		}
		select {
		case <-ctx.Done():
			return j, nil
		case <-in.deps.Stopping:
			return j, nil
		case <-time.After(min(interval, time.Until(deadline))):
		}
	}
}

// List returns the jobs of a workspace in the order of submission.
func (in *Intake) List(ctx context.Context, w ident.Workspace) ([]jobs.Job, error) {
	rows, err := in.deps.Table.Scan(ctx, record.JobPrefix(w))
	if err != nil {
		return nil, storeRefusal("list jobs", err)
	}
	all := make([]jobs.Job, 0, len(rows))
	for _, r := range rows {
		j, err := record.DecodeJob(r.Value)
		if err != nil {
			return nil, fmt.Errorf("list jobs of %s: %w", w, err)
		}
		if !j.IsNeverAccepted() {
			all = append(all, j)
		}
	}
	slices.SortStableFunc(all, func(a, b jobs.Job) int { return a.Submitted.Compare(b.Submitted) })
	return all, nil
}

// Cancel requests the cancellation of a job and returns the job. A job that has
// ended is returned with a refusal. If there is no such job, no submission with its
// request identifier is accepted later.
func (in *Intake) Cancel(ctx context.Context, w ident.Workspace, id ident.Job) (jobs.Job, error) {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	var err error
	for range maxCancelAttempts {
		j, version, loadErr := in.load(ctx, w, id)
		if errors.Is(loadErr, ErrNotFound) && version == 0 && hasRequest(id) {
			markErr := in.markNeverAccepted(ctx, w, id)
			if store.IsConflict(markErr) {
				// The job has been stored since, or the read was stale.
				continue
			}
			if markErr != nil {
				return jobs.Job{}, keepUncertainty(storeRefusal("cancel", markErr), err)
			}
		}
		if loadErr != nil {
			return jobs.Job{}, keepUncertainty(loadErr, err)
		}
		if j.CancelRequested && !j.State.Ended() {
			return j, nil
		}
		if j.State.Ended() {
			return j, keepUncertainty(refuse(ReasonEnded, nil, "job %s is %v", id, j.State), err)
		}
		j.CancelRequested = true
		if err = keepUncertainty(in.write(ctx, j, version), err); err == nil {
			in.deps.Log.Write(event.JobCancel, "workspace", w, "job", id, "domain", j.Domain)
			in.deps.Notify(j.Domain, w, id)
			return j, nil
		}
		if !store.IsConflict(err) && !errors.Is(err, store.ErrUncertain) {
			break
		}
	}
	if err == nil {
		err = errStaleRead
	}
	return jobs.Job{}, storeRefusal("cancel", err)
}

// markNeverAccepted stores that a job that does not exist is cancelled.
func (in *Intake) markNeverAccepted(ctx context.Context, w ident.Workspace, id ident.Job) error {
	value, err := record.EncodeJob(jobs.NeverAccepted(w, id, time.Now()))
	if err != nil {
		return fmt.Errorf("cancel job %s: %w", id, err)
	}
	key := record.JobKey(w, id)
	_, err = store.CommitResolved(ctx, in.deps.Table, store.Txn{
		Checks: []store.Check{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("cancel job %s: %w", id, err)
	}
	return nil
}

// keepUncertainty returns err, or a refusal with the outcome Unknown if the
// answer to an earlier write was lost, because that write may have taken effect.
func keepUncertainty(err, earlier error) error {
	if err == nil || !errors.Is(earlier, store.ErrUncertain) {
		return err
	}
	return storeRefusal("cancel", fmt.Errorf("%w: %w", earlier, err))
}

// validate refuses a malformed submission.
func (in *Intake) validate(_ context.Context, s *submission) error {
	if err := s.input.Spec.Shape.Check(); err != nil {
		return refuse(ReasonInvalid, err, "shape")
	}
	if s.input.Spec.RunTime < 0 {
		return refuse(ReasonInvalid, nil, "run time %v is negative", s.input.Spec.RunTime)
	}
	if s.input.Request == "" {
		return nil
	}
	if err := ident.Check(string(s.input.Request)); err != nil {
		return refuse(ReasonInvalid, err, "request identifier")
	}
	return nil
}

// recall uses the job of an earlier submission with the same request identifier.
// It precedes the checks whose result may have changed since then, because a
// refusal would tell the caller that the job does not exist.
func (in *Intake) recall(ctx context.Context, s *submission) error {
	if s.input.Request == "" {
		return nil
	}
	j, version, err := in.load(ctx, s.input.Workspace, jobID(s.input.Request))
	switch {
	case errors.Is(err, ErrNotFound) && version > 0:
		return s.refuseCancelled()
	case errors.Is(err, ErrNotFound):
		return nil
	case err != nil:
		return err
	}
	return s.useJob(j)
}

// assign selects the domain of a new job.
func (in *Intake) assign(_ context.Context, s *submission) error {
	if s.stored {
		return nil
	}
	d, err := sched.Assign(s.input.Spec, in.deps.Candidates(s.input.Workspace, s.input.Spec))
	switch {
	case errors.Is(err, sched.ErrNeverFits):
		return refuse(ReasonNeverFits, err, "%v", s.input.Spec.Shape)
	case err != nil:
		r := refuse(ReasonNoDomain, err, "%v", s.input.Spec.Shape)
		r.RetryAfter = defaultRetryAfter
		return r
	}
	s.job = jobs.Job{
		ID: jobID(s.input.Request), Workspace: s.input.Workspace, Spec: s.input.Spec,
		Domain: d, State: jobs.Pending, Submitted: time.Now(),
	}
	return nil
}

// bound refuses a job when its workspace has reached the number of jobs that may
// wait or run. The number can be exceeded when several instances accept jobs at
// the same time.
func (in *Intake) bound(ctx context.Context, s *submission) error {
	w, ok := s.config.Workspace(s.input.Workspace)
	if s.stored || !ok || w.MaxQueuedJobs <= 0 {
		return nil
	}
	n := 0
	for _, d := range s.config.Domains {
		rows, err := in.deps.Table.Scan(ctx, record.WorkspaceQueuePrefix(d.Name, w.Name))
		if err != nil {
			return storeRefusal("submit", err)
		}
		n += len(rows)
	}
	if n < w.MaxQueuedJobs {
		return nil
	}
	r := refuse(ReasonQueueFull, nil, "%d jobs of workspace %s have not ended, at most %d are allowed", n, w.Name, w.MaxQueuedJobs)
	r.RetryAfter = defaultRetryAfter
	return r
}

// record commits a new job.
func (in *Intake) record(ctx context.Context, s *submission) error {
	if s.stored {
		return nil
	}
	err := in.write(ctx, s.job, 0)
	switch {
	case err == nil:
		s.stored = true
		in.deps.Log.Write(event.JobAccepted, "workspace", s.job.Workspace, "job", s.job.ID,
			"domain", s.job.Domain, "shape", s.job.Spec.Shape.String(), "class", s.job.Spec.Class.String())
		return nil
	case store.IsConflict(err), errors.Is(err, store.ErrUncertain):
		// After a lost answer, the shard owner may already have changed the
		// row, so that its value differs from the one written here.
		return in.useStoredJob(ctx, s, err)
	}
	return storeRefusal("submit", err)
}

// useStoredJob uses the job in the row of this submission. It was written by
// this submission or by an earlier one with the same request identifier.
func (in *Intake) useStoredJob(ctx context.Context, s *submission, cause error) error {
	j, version, err := in.load(ctx, s.job.Workspace, s.job.ID)
	if errors.Is(err, ErrNotFound) && version > 0 {
		return s.refuseCancelled()
	}
	if err != nil {
		return storeRefusal("submit", fmt.Errorf("%w: %w", store.ErrUncertain, cause))
	}
	return s.useJob(j)
}

// useJob makes j the job of the submission if both have the same specification.
func (s *submission) useJob(j jobs.Job) error {
	if !j.Spec.Equal(s.input.Spec) {
		return refuse(ReasonReused, nil, "request identifier %s was used for another job", s.input.Request)
	}
	s.job, s.stored = j, true
	return nil
}

// refuseCancelled refuses a submission whose job was cancelled before it was stored.
// Copies of it that are under way cannot take effect any more.
func (s *submission) refuseCancelled() error {
	return refuse(ReasonCancelled, nil, "job %s was cancelled before it was accepted", jobID(s.input.Request))
}

// notify informs the owner of the job's shard unless the job has ended.
func (in *Intake) notify(_ context.Context, s *submission) error {
	if !s.job.State.Ended() {
		in.deps.Notify(s.job.Domain, s.job.Workspace, s.job.ID)
	}
	return nil
}

// write commits a job that has not ended, with its queue entry, if its row still
// has the given version. Version 0 means that the row does not exist.
func (in *Intake) write(ctx context.Context, j jobs.Job, version int64) error {
	value, err := record.EncodeJob(j)
	if err != nil {
		return fmt.Errorf("write job %s: %w", j.ID, err)
	}
	key := record.JobKey(j.Workspace, j.ID)
	_, err = store.CommitResolved(ctx, in.deps.Table, store.Txn{
		Checks: []store.Check{{Key: key, Version: version}},
		Puts: []store.Put{
			{Key: key, Value: value},
			{Key: record.QueueKey(j.Domain, j.Workspace, j.ID)},
			{Key: record.QueueHeadKey(j.Domain)},
		},
	})
	if err != nil {
		return fmt.Errorf("write job %s: %w", j.ID, err)
	}
	return nil
}

// load returns a job and the version of its row. A job that was cancelled before it was
// accepted is not found, with the version of that record.
func (in *Intake) load(ctx context.Context, w ident.Workspace, id ident.Job) (jobs.Job, int64, error) {
	row, err := in.deps.Table.Get(ctx, record.JobKey(w, id))
	if errors.Is(err, store.ErrNotFound) {
		return jobs.Job{}, 0, refuse(ReasonNotFound, ErrNotFound, "job %s", id)
	}
	if err != nil {
		return jobs.Job{}, 0, storeRefusal("read job", err)
	}
	j, err := record.DecodeJob(row.Value)
	if err != nil {
		// The job exists, so the caller must not take it for refused.
		return jobs.Job{}, 0, &Refusal{Outcome: Unknown, Reason: ReasonUnread, Detail: fmt.Sprintf("job %s", id), Err: err}
	}
	if j.IsNeverAccepted() {
		return jobs.Job{}, row.Version, refuse(ReasonNotFound, ErrNotFound, "job %s", id)
	}
	return j, row.Version, nil
}

// jobID derives the job's identifier from the caller's request identifier, so
// that a repeated submission has the same row as the first. Without a request
// identifier it returns a random one.
func jobID(r ident.Request) ident.Job {
	if r == "" {
		return ident.Job("job-" + uuid.NewString())
	}
	return ident.Job(requestPrefix + string(r))
}

// hasRequest reports whether the job's identifier comes from a request identifier that a
// submission may have.
func hasRequest(id ident.Job) bool {
	request, ok := strings.CutPrefix(string(id), requestPrefix)
	return ok && ident.Check(request) == nil
}

// asRefusal returns the refusal that err wraps. An error that wraps none comes
// from a context that ended before the record filter. The call has stored nothing.
func asRefusal(operation string, err error) error {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Outcome: NotRun, Reason: ReasonStore, Detail: operation, RetryAfter: defaultRetryAfter, Err: err}
}
