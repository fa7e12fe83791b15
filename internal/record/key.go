package record

import (
	"strings"

	"github.com/baobabquay/baobabquay/internal/ident"
)

// Keys and key prefixes of the rows.
const (
	ConfigKey       = "config/current"
	ConfigHeadKey   = "config/head"
	MemberPrefix    = "member/"
	leasePrefix     = "lease/"
	heartbeatPrefix = "heartbeat/"
	jobPrefix       = "job/"
	queuePrefix     = "queue/"
	queueHeadPrefix = "queueHead/"
	claimPrefix     = "claim/"
	resultPrefix    = "result/"
)

// LeaseKey returns the key of the lease on the shard of a domain.
func LeaseKey(d ident.Domain) string { return leasePrefix + string(d) }

// HeartbeatKey returns the key of the row that the holder of a shard's lease
// rewrites with each renewal.
func HeartbeatKey(d ident.Domain) string { return heartbeatPrefix + string(d) }

// MemberKey returns the key of an instance's membership row.
func MemberKey(i ident.Instance) string { return MemberPrefix + string(i) }

// JobKey returns the key of a job's row.
func JobKey(w ident.Workspace, j ident.Job) string { return JobPrefix(w) + string(j) }

// JobPrefix returns the prefix of the keys of a workspace's job rows.
func JobPrefix(w ident.Workspace) string { return jobPrefix + string(w) + "/" }

// QueueKey returns the key of a job's entry in the queue of a shard.
func QueueKey(d ident.Domain, w ident.Workspace, j ident.Job) string {
	return QueuePrefix(d) + string(w) + "/" + string(j)
}

// QueueHeadKey returns the key of the row that is written with each queue entry
// of the shard, so that a reader detects an unchanged queue with one small read.
func QueueHeadKey(d ident.Domain) string { return queueHeadPrefix + string(d) }

// QueuePrefix returns the prefix of the keys of a shard's queue entries.
func QueuePrefix(d ident.Domain) string { return queuePrefix + string(d) + "/" }

// WorkspaceQueuePrefix returns the prefix of the keys of a workspace's entries in
// the queue of a shard.
func WorkspaceQueuePrefix(d ident.Domain, w ident.Workspace) string {
	return QueuePrefix(d) + string(w) + "/"
}

// ClaimKey returns the key of the claim on a request.
func ClaimKey(w ident.Workspace, r ident.Request) string {
	return claimPrefix + string(w) + "/" + string(r)
}

// ResultKey returns the key of the object that holds a large result.
func ResultKey(w ident.Workspace, j ident.Job) string {
	return resultPrefix + string(w) + "/" + string(j)
}

// ParseQueueKey returns the workspace and the job of a queue entry, and whether
// key is the key of a queue entry of the shard.
func ParseQueueKey(d ident.Domain, key string) (ident.Workspace, ident.Job, bool) {
	rest, ok := strings.CutPrefix(key, QueuePrefix(d))
	if !ok {
		return "", "", false
	}
	w, j, ok := strings.Cut(rest, "/")
	return ident.Workspace(w), ident.Job(j), ok && w != "" && j != ""
}
