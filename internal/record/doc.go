// Package record encodes and decodes the rows of the table service.
//
// Rows are JSON with camel case names. Durations are strings such as "1m30s"
// and instants are in RFC 3339. The domain packages know nothing of it.
//
// # Usage
//
//	value, err := record.EncodeJob(j)
//	j, err := record.DecodeJob(row.Value)
//	key := record.JobKey(j.Workspace, j.ID)
package record
