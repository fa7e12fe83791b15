package record

import (
	"encoding/json"
	"fmt"
	"time"
)

// duration is a time.Duration that is encoded as a string such as "1m30s".
type duration time.Duration

// MarshalText encodes d in the format of time.Duration.String.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the format of time.ParseDuration.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = duration(parsed)
	return nil
}

// encode returns v as JSON. The kind of row appears in errors.
func encode(kind string, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return b, nil
}

// decode decodes a row value into v. The kind of row appears in errors.
func decode(kind string, b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %s: %w", kind, err)
	}
	return nil
}
