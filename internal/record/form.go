package record

import (
	"encoding/json"
	"fmt"
	"time"
)

// span is a duration in its text form.
type span time.Duration

// MarshalText returns the form of time.Duration.String.
func (s span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses the form of time.ParseDuration.
func (s *span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*s = span(d)
	return nil
}

func encode(what string, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", what, err)
	}
	return b, nil
}

func decode(what string, b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %s: %w", what, err)
	}
	return nil
}
