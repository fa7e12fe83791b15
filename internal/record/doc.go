// Package record encodes and decodes the rows of the table service and defines
// their keys.
//
// Row values are JSON with camel case names. Durations are strings such as
// "1m30s", and instants are in RFC 3339. The types whose names end in JSON
// describe the stored encoding, so that the packages of the encoded types, such
// as jobs and config, do not depend on it.
//
// # Usage
//
//	value, err := record.EncodeJob(j)
//	j, err := record.DecodeJob(row.Value)
//	key := record.JobKey(j.Workspace, j.ID)
package record
