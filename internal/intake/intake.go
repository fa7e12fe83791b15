package intake

import (
	"context"
	"fmt"
	"slices"
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
	// Deps are the calls that an Intake makes.
	Deps struct {
		Table   store.Table
		Objects store.Objects
		// Config returns the configuration in force.
		Config func() *config.Config
		// Candidates returns the domains that may take a job of the workspace.
		Candidates func(w ident.Workspace, s jobs.Spec) []sched.Candidate
		// Notify tells the owner of a shard that its queue changed.
		Notify func(d ident.Domain, w ident.Workspace, j ident.Job)
		// Stopping is closed when the planned stop of the instance begins. It
		// may be nil.
		Stopping <-chan struct{}
		Log      event.Log
	}

	// Submission is a job that a caller asks for.
	Submission struct {
		Workspace ident.Workspace
		// Request is the caller's identifier of the submission. If it is
		// empty, a submission that is repeated makes another job.
		Request ident.Request
		Spec    jobs.Spec
	}

	// Intake handles the jobs of callers. It is safe for concurrent use.
	Intake struct {
		deps   Deps
		submit *pipe.Chain[*submission]
	}

	// submission is the value that passes through the submit chain.
	submission struct {
		sub    Submission
		config *config.Config
		job    jobs.Job
		// stored is set once the job is committed. What fails after that
		// must not be answered as a refusal.
		stored bool
	}
)

const (
	// pollFirst and pollLast bound the period at which Wait reads a job.
	pollFirst = 100 * time.Millisecond
	pollLast  = time.Second
	// cancelTries bounds the attempts of Cancel against concurrent writes of
	// the shard owner, which are a few in the life of a job.
	cancelTries = 8
	// writeLimit bounds the time of a submission or cancellation. A commit
	// whose answer was lost is settled only when the store is back, which can
	// take as long as the outage; the caller is told unknown before that.
	writeLimit = 20 * time.Second
)

// New returns an intake.
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

// Submit stores a job and returns it. The error is a *Refusal.
func (in *Intake) Submit(ctx context.Context, sub Submission) (jobs.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	p := &submission{sub: sub, config: in.deps.Config()}
	if err := in.submit.Run(ctx, p); err != nil && !p.stored {
		in.deps.Log.Write(event.JobRefused, "workspace", sub.Workspace, "request", sub.Request, "reason", err.Error())
		return jobs.Job{}, asRefusal("submit", err)
	}
	return p.job, nil
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

// Wait returns the job when it has ended, or as it is when d has passed or the
// instance begins to stop. A caller that waits on is answered by another one.
func (in *Intake) Wait(ctx context.Context, w ident.Workspace, id ident.Job, d time.Duration) (jobs.Job, error) {
	deadline := time.Now().Add(d)
	for period := pollFirst; ; period = min(2*period, pollLast) {
		j, err := in.Read(ctx, w, id)
		if err != nil || j.State.Ended() || !time.Now().Before(deadline) {
			return j, err
		}
		select {
		case <-ctx.Done():
			return j, nil
		case <-in.deps.Stopping:
			return j, nil
		case <-time.After(min(period, time.Until(deadline))):
		}
	}
}

// List returns the jobs of a workspace in the order of submission.
func (in *Intake) List(ctx context.Context, w ident.Workspace) ([]jobs.Job, error) {
	rows, err := in.deps.Table.Scan(ctx, record.JobsOf(w))
	if err != nil {
		return nil, storeRefusal("list jobs", err)
	}
	all := make([]jobs.Job, 0, len(rows))
	for _, r := range rows {
		j, err := record.DecodeJob(r.Value)
		if err != nil {
			return nil, fmt.Errorf("list jobs of %s: %w", w, err)
		}
		all = append(all, j)
	}
	slices.SortStableFunc(all, func(a, b jobs.Job) int { return a.Submitted.Compare(b.Submitted) })
	return all, nil
}

// Cancel asks for the end of a job and returns it. A job that has ended is
// returned with a refusal.
func (in *Intake) Cancel(ctx context.Context, w ident.Workspace, id ident.Job) (jobs.Job, error) {
	ctx, stop := context.WithTimeout(ctx, writeLimit)
	defer stop()
	var err error
	for range cancelTries {
		j, version, loadErr := in.load(ctx, w, id)
		if loadErr != nil {
			return jobs.Job{}, doubted(loadErr, err)
		}
		if j.CancelRequested && !j.State.Ended() {
			return j, nil
		}
		if j.State.Ended() {
			return j, doubted(refuse(ReasonEnded, nil, "job %s is %v", id, j.State), err)
		}
		j.CancelRequested = true
		if err = doubted(in.write(ctx, j, version), err); err == nil {
			in.deps.Log.Write(event.JobCancel, "workspace", w, "job", id, "domain", j.Domain)
			in.deps.Notify(j.Domain, w, id)
			return j, nil
		}
		if !store.IsConflict(err) && !errors.Is(err, store.ErrUncertain) {
			break
		}
	}
	return jobs.Job{}, storeRefusal("cancel", err)
}

// doubted returns err, or the refusal of an unknown outcome if the answer to an
// earlier write was lost: that write may have taken effect.
func doubted(err, earlier error) error {
	if err == nil || !errors.Is(earlier, store.ErrUncertain) {
		return err
	}
	return storeRefusal("cancel", fmt.Errorf("%w: %w", earlier, err))
}

func (in *Intake) validate(_ context.Context, p *submission) error {
	if err := p.sub.Spec.Shape.Check(); err != nil {
		return refuse(ReasonInvalid, err, "shape")
	}
	if p.sub.Spec.RunTime < 0 {
		return refuse(ReasonInvalid, nil, "run time %v is negative", p.sub.Spec.RunTime)
	}
	if p.sub.Request == "" {
		return nil
	}
	if err := ident.Check(string(p.sub.Request)); err != nil {
		return refuse(ReasonInvalid, err, "request identifier")
	}
	return nil
}

// recall takes the job of an earlier submission with the same request
// identifier, before anything is checked that may have changed since then. A
// refusal would tell the caller that the job does not exist.
func (in *Intake) recall(ctx context.Context, p *submission) error {
	if p.sub.Request == "" {
		return nil
	}
	j, _, err := in.load(ctx, p.sub.Workspace, jobID(p.sub.Request))
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return p.take(j)
}

func (in *Intake) assign(_ context.Context, p *submission) error {
	if p.stored {
		return nil
	}
	d, err := sched.Assign(p.sub.Spec, in.deps.Candidates(p.sub.Workspace, p.sub.Spec))
	switch {
	case errors.Is(err, sched.ErrNeverFits):
		return refuse(ReasonNeverFits, err, "%v", p.sub.Spec.Shape)
	case err != nil:
		r := refuse(ReasonNoDomain, err, "%v", p.sub.Spec.Shape)
		r.RetryAfter = storeRetry
		return r
	}
	p.job = jobs.Job{
		ID: jobID(p.sub.Request), Workspace: p.sub.Workspace, Spec: p.sub.Spec,
		Domain: d, State: jobs.Pending, Submitted: time.Now(),
	}
	return nil
}

// bound refuses a job when too many of its workspace wait or run already. The
// bound is not exact when several instances take jobs at once.
func (in *Intake) bound(ctx context.Context, p *submission) error {
	w, ok := p.config.Workspace(p.sub.Workspace)
	if p.stored || !ok || w.MaxQueuedJobs <= 0 {
		return nil
	}
	n := 0
	for _, d := range p.config.Domains {
		rows, err := in.deps.Table.Scan(ctx, record.QueueOfWorkspace(d.Name, w.Name))
		if err != nil {
			return storeRefusal("submit", err)
		}
		n += len(rows)
	}
	if n < w.MaxQueuedJobs {
		return nil
	}
	r := refuse(ReasonQueueFull, nil, "%d jobs of workspace %s have not ended, at most %d are allowed", n, w.Name, w.MaxQueuedJobs)
	r.RetryAfter = storeRetry
	return r
}

func (in *Intake) record(ctx context.Context, p *submission) error {
	if p.stored {
		return nil
	}
	err := in.write(ctx, p.job, 0)
	switch {
	case err == nil:
		p.stored = true
		in.deps.Log.Write(event.JobAccepted, "workspace", p.job.Workspace, "job", p.job.ID,
			"domain", p.job.Domain, "shape", p.job.Spec.Shape.String(), "class", p.job.Spec.Class.String())
		return nil
	case store.IsConflict(err), errors.Is(err, store.ErrUncertain):
		// After a lost answer the row can already have been changed by the
		// shard owner, so that its value is no longer the one written here.
		return in.adopt(ctx, p, err)
	}
	return storeRefusal("submit", err)
}

// adopt takes the job that stands in the row of this submission: it was made
// by this try or by an earlier one with the same request identifier.
func (in *Intake) adopt(ctx context.Context, p *submission, cause error) error {
	j, _, err := in.load(ctx, p.job.Workspace, p.job.ID)
	if err != nil {
		return storeRefusal("submit", fmt.Errorf("%w: %w", store.ErrUncertain, cause))
	}
	return p.take(j)
}

// take makes j the job of the submission if both ask for the same work.
func (p *submission) take(j jobs.Job) error {
	if !j.Spec.Equal(p.sub.Spec) {
		return refuse(ReasonReused, nil, "request identifier %s was used for another job", p.sub.Request)
	}
	p.job, p.stored = j, true
	return nil
}

func (in *Intake) notify(_ context.Context, p *submission) error {
	if !p.job.State.Ended() {
		in.deps.Notify(p.job.Domain, p.job.Workspace, p.job.ID)
	}
	return nil
}

// write commits a job that has not ended and its queue entry.
func (in *Intake) write(ctx context.Context, j jobs.Job, version int64) error {
	value, err := record.EncodeJob(j)
	if err != nil {
		return fmt.Errorf("write job %s: %w", j.ID, err)
	}
	key := record.JobKey(j.Workspace, j.ID)
	_, err = store.CommitSure(ctx, in.deps.Table, store.Txn{
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
		return jobs.Job{}, 0, fmt.Errorf("read job %s: %w", id, err)
	}
	return j, row.Version, nil
}

// jobID derives the job's name from the caller's request identifier, so that a
// repeated submission meets the row of the first.
func jobID(r ident.Request) ident.Job {
	if r == "" {
		return ident.Job("job-" + uuid.NewString())
	}
	return ident.Job("req-" + string(r))
}

// asRefusal returns the refusal in err. An error without one comes from a
// context that ended before the record step, or from a record that cannot be
// encoded; nothing was stored.
func asRefusal(what string, err error) error {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Outcome: NotRun, Reason: ReasonStore, Detail: what, RetryAfter: storeRetry, Err: err}
}
