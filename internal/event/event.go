package event

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

type (
	// ID is the number of an event.
	ID int

	// Entry describes an event in the catalogue.
	Entry struct {
		ID      ID
		Name    string
		Meaning string
	}

	// Log writes events.
	Log struct {
		logger logr.Logger
	}
)

// The events. The thousands digit gives the area: 1 jobs, 2 requests, 3 placement
// and shards, 4 configuration, 5 membership and process.
const (
	JobAccepted    ID = 1001
	JobRefused     ID = 1002
	JobCancel      ID = 1003
	JobEnded       ID = 1004
	JobSeen        ID = 1005
	JobOver        ID = 1006
	JobShown       ID = 1007
	JobAnswered    ID = 1008
	JobRerouted    ID = 1009
	RequestRouted  ID = 2001
	RequestDone    ID = 2002
	RequestNotRun  ID = 2003
	RequestLost    ID = 2004
	RequestClaim   ID = 2005
	JobPlaced      ID = 3001
	JobWaits       ID = 3002
	JobStarted     ID = 3003
	JobAborted     ID = 3004
	JobRequeued    ID = 3005
	JobReclaimed   ID = 3006
	JobMoved       ID = 3007
	JobUnread      ID = 3008
	WorkerLost     ID = 3010
	WorkerBack     ID = 3011
	WorkerBarred   ID = 3012
	LeaseTaken     ID = 3020
	LeaseLost      ID = 3021
	LeaseReleased  ID = 3022
	ShardReady     ID = 3023
	StoreDown      ID = 3030
	StoreBack      ID = 3031
	StoreWay       ID = 3032
	BookFailed     ID = 3033
	StoreBehind    ID = 3034
	TableSource    ID = 3035
	TermBegun      ID = 3040
	TermEnded      ID = 3041
	LeaderSeen     ID = 3042
	LeaseMissed    ID = 3043
	RenewalFailed  ID = 3044
	RowUnread      ID = 3045
	StateRead      ID = 3046
	StateLoaded    ID = 3047
	HandOver       ID = 3048
	TableRead      ID = 3049
	UnitPlaced     ID = 3050
	UnitStarted    ID = 3051
	TaskRefused    ID = 3052
	TaskEnded      ID = 3053
	TaskLost       ID = 3054
	UnitStopped    ID = 3055
	RunUnknown     ID = 3056
	OrderUnsettled ID = 3057
	UnitsWait      ID = 3058
	TaskStalled    ID = 3059
	WorkerListed   ID = 3060
	WorkerUnlisted ID = 3061
	WorkerDrains   ID = 3062
	WorkerReborn   ID = 3063
	WorkerSilent   ID = 3064
	WorkerGone     ID = 3065
	WorkerMoved    ID = 3066
	EndsAcked      ID = 3067
	HandedOver     ID = 3068
	RunMoved       ID = 3069
	CommitFailed   ID = 3070
	RunTime        ID = 3071
	UnitHeld       ID = 3072
	LeaseOffered   ID = 3073
	FirstStart     ID = 3074
	ConfigApplied  ID = 4001
	ConfigRefused  ID = 4002
	ConfigInForce  ID = 4003
	DomainOut      ID = 4004
	DomainIn       ID = 4005
	InstanceReady  ID = 5001
	InstanceStop   ID = 5002
	InstanceEnded  ID = 5003
	PeerFound      ID = 5004
	PeerLost       ID = 5005
	LinkBytes      ID = 5006
	LinesDropped   ID = 5007
	SettingsReread ID = 5008
)

var catalogue = []Entry{
	{JobAccepted, "jobAccepted", "A job was stored and assigned to a shard; waited and tries are set if the store refused it at first."},
	{JobRefused, "jobRefused", "A job was refused and not stored; reason says why. waited, tries and waitEnd are set if it was refused by the store and could wait."},
	{JobCancel, "jobCancel", "A caller asked to cancel a job."},
	{JobEnded, "jobEnded", "A job reached a final state."},
	{JobSeen, "jobSeen", "The leader has read an accepted job and manages it in its term."},
	{JobOver, "jobOver", "The end of a job is stored."},
	{JobShown, "jobShown", "The leader starts to report a final state of a job; stored says whether the end is stored, age the time since the latest transaction was sent, 0s if the end is not stored and no transaction is in progress."},
	{JobAnswered, "jobAnswered", "This instance reported a final state of a job to a caller for the first time; source says where the state comes from."},
	{JobRerouted, "jobRerouted", "A version of the configuration gives the job's queue to another service, which runs the tasks that have not begun."},
	{RequestRouted, "requestRouted", "A request was sent to an endpoint; reason says why this endpoint was chosen."},
	{RequestDone, "requestDone", "A complete answer was returned to the caller."},
	{RequestNotRun, "requestNotRun", "A request was refused and was not run."},
	{RequestLost, "requestLost", "A request may have run, but its answer is not known."},
	{RequestClaim, "requestClaim", "An earlier claim exists for the identifier of a non-idempotent request."},
	{JobPlaced, "jobPlaced", "The shard owner chose workers for all members of a job."},
	{JobWaits, "jobWaits", "A job was considered and waits; reason says why."},
	{JobStarted, "jobStarted", "All members of a gang are confirmed to run."},
	{JobAborted, "jobAborted", "The start of a job was abandoned; all members were told to stop."},
	{JobRequeued, "jobRequeued", "A gang was stopped and waits for its next attempt."},
	{JobReclaimed, "jobReclaimed", "A job on lent capacity was stopped for a guarantee."},
	{JobMoved, "jobMoved", "A waiting job was transferred to another shard."},
	{JobUnread, "jobUnread", "The row of a job cannot be decoded; the job is left as it is."},
	{WorkerLost, "workerLost", "A worker does not answer."},
	{WorkerBack, "workerBack", "A worker answers again."},
	{WorkerBarred, "workerBarred", "A worker was quarantined because work fails on it."},
	{LeaseTaken, "leaseTaken", "This instance became the owner of a shard."},
	{LeaseLost, "leaseLost", "This instance is no longer the owner of a shard or the leader."},
	{LeaseReleased, "leaseReleased", "This instance released the lease of a shard or of the leader."},
	{ShardReady, "shardReady", "All workers of a shard that answer have been fenced and have reported their state."},
	{StoreDown, "storeDown", "The table service does not answer."},
	{StoreBack, "storeBack", "The table service answers again."},
	{StoreWay, "storeWay", "Direct calls of the table service have begun to fail or are answered again; in between they are also made through other instances."},
	{BookFailed, "bookFailed", "The rows with the addresses of the instances cannot be read or written; the addresses known so far stay in use."},
	{StoreBehind, "storeBehind", "Reads of the table service return an older state than is already known; the known rows stay in use."},
	{TableSource, "tableSource", "The operators' rows come from another source from now on: the instance at the address, or the store if the address is invalid."},
	{TermBegun, "termBegun", "This instance became the leader, which gives orders to the workers; noticed is the time from the last change of the former lease to the attempt to acquire it, and acquired from the first attempt to the begin of the term."},
	{TermEnded, "termEnded", "This instance no longer leads; reason says why."},
	{LeaderSeen, "leaderSeen", "The lease names another leader or epoch."},
	{LeaseMissed, "leaseMissed", "This instance tried to become the leader and failed."},
	{RenewalFailed, "renewalFailed", "The leader could not renew its lease; age is the time since the last renewal."},
	{RowUnread, "rowUnread", "A row cannot be decoded and is ignored."},
	{StateRead, "stateRead", "A new leader has read the jobs and the workers' runs; age is the time since the begin of the term."},
	{StateLoaded, "stateLoaded", "A new leader has read the rows of jobs and workers; age is the time since the begin of the term."},
	{HandOver, "handOver", "A new leader asked a former leader for progress that the former leader could not store."},
	{TableRead, "tableRead", "A leader has read a whole table; termVersion is the version of the term's first write."},
	{UnitPlaced, "unitPlaced", "Workers were chosen for a task or gang; reason says where the free capacity comes from."},
	{UnitStarted, "unitStarted", "The starts of a task or gang were sent."},
	{TaskRefused, "taskRefused", "A worker refused a start; reason is the worker's."},
	{TaskEnded, "taskEnded", "A run ended; how says in which way it ended."},
	{TaskLost, "taskLost", "A run is gone without a reported end; reason says how this was detected."},
	{UnitStopped, "unitStopped", "A task or gang was told to stop; reason says why."},
	{RunUnknown, "runUnknown", "A worker runs a task that this leader has not placed there; the run is stopped."},
	{OrderUnsettled, "orderUnsettled", "The outcome of an order is not known; the worker may still carry it out."},
	{UnitsWait, "unitsWait", "The number of tasks and gangs that wait, by reason: `room`, `headroom` (capacity is kept for urgent work), `guarantee`, `cap` (of the workspace), `share` (no room, and the workspace uses more than its share), or `spent` (the job has lost its value and others want the capacity)."},
	{TaskStalled, "taskStalled", "A task makes no progress and is moved to another worker."},
	{WorkerListed, "workerListed", "A worker appeared in the platform's list."},
	{WorkerUnlisted, "workerUnlisted", "A worker left the platform's list."},
	{WorkerDrains, "workerDrains", "A worker drains and gets no new tasks."},
	{WorkerReborn, "workerReborn", "A worker has restarted; its earlier runs are gone."},
	{WorkerSilent, "workerSilent", "A worker does not answer and gets no new tasks."},
	{WorkerGone, "workerGone", "The leases of a silent worker have ended; its runs are gone."},
	{WorkerMoved, "workerMoved", "The platform's list shows a worker at another address, which is used from now on."},
	{EndsAcked, "endsAcked", "Ends of runs are acknowledged to a worker, which may discard them; commit is the transaction that stored them."},
	{HandedOver, "handedOver", "This instance was asked for the progress that it could not store as the leader; outcome says whether it returned the progress."},
	{RunMoved, "runMoved", "A task or gang is stopped because a worker is about to leave before it ends; stays is the time until then."},
	{CommitFailed, "commitFailed", "A transaction of the leader has not been stored yet; it is retried."},
	{RunTime, "runTime", "A run is done; actual is its time, beside the declared one and, from the runs before it, the median, the mean and the 90% quantile. Not every run has a line."},
	{UnitHeld, "unitHeld", "A task or gang waits for the cap or the share of its workspace; uses, stopping, needs and cap are demands over all workers, share and fairShare parts of the capacity."},
	{LeaseOffered, "leaseOffered", "A leader with few cores gives up the lease, so that a larger instance can lead."},
	{FirstStart, "firstStart", "A new leader has sent the first start of its term; age is the time since the begin of the term, firstReport that from there to the first report of a worker, and gap the time since the last change of the former lease."},
	{ConfigApplied, "configApplied", "A change of the configuration was committed by this instance."},
	{ConfigRefused, "configRefused", "A change of the configuration was refused."},
	{ConfigInForce, "configInForce", "A configuration version is in force at this instance."},
	{DomainOut, "domainOut", "An operator took a failure domain out of service."},
	{DomainIn, "domainIn", "An operator brought a failure domain back into service."},
	{InstanceReady, "instanceReady", "This instance accepts requests."},
	{InstanceStop, "instanceStop", "A planned stop of this instance began."},
	{InstanceEnded, "instanceEnded", "This instance terminates; nothing is in flight unless cutOff is true or above 0."},
	{PeerFound, "peerFound", "Another instance answers."},
	{PeerLost, "peerLost", "Another instance no longer answers."},
	{LinkBytes, "linkBytes", "Bytes sent to and received from other regions since the last report, by kind."},
	{LinesDropped, "linesDropped", "Log lines were dropped because the output was too slow; count says how many."},
	{SettingsReread, "settingsReread", "The settings were read again on a signal; outcome says whether they have changed."},
}

var (
	// counters has the counter of each event in the catalogue by number.
	counters = newCounters()
	// eventNames maps the numbers of the catalogue to names. It saves a search of
	// the catalogue for each event: a busy instance writes hundreds a second.
	eventNames = newNames()
)

func newNames() map[ID]string {
	names := make(map[ID]string, len(catalogue))
	for _, e := range catalogue {
		names[e.ID] = e.Name
	}
	return names
}

func newCounters() map[ID]*metrics.Counter {
	m := make(map[ID]*metrics.Counter, len(catalogue))
	for _, e := range catalogue {
		m[e.ID] = metrics.NewCounter(fmt.Sprintf("baobabquay_events_total{event=%q}", e.Name))
	}
	return m
}

// New returns a log that writes to l.
func New(l logr.Logger) Log { return Log{logger: l} }

// Discard returns a log that writes nothing.
func Discard() Log { return Log{logger: logr.Discard()} }

// With returns a log that adds the pairs to each event.
func (l Log) With(pairs ...any) Log { return Log{logger: l.logger.WithValues(pairs...)} }

// Write writes an event with pairs of keys and values, and counts it.
func (l Log) Write(id ID, pairs ...any) {
	if c := counters[id]; c != nil {
		c.Inc()
	}
	l.logger.Info(id.String(), append([]any{"event", int(id)}, pairs...)...)
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Entry { return append([]Entry(nil), catalogue...) }

// String returns the name of the event.
func (id ID) String() string {
	if name, ok := eventNames[id]; ok {
		return name
	}
	return "unknown"
}
