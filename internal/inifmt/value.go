package inifmt

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

var (
	// errEmptyElement is returned for lists with an empty element.
	errEmptyElement = errors.New("empty list element")

	// errAdjacency is wrapped by errors about adjacency levels.
	errAdjacency = errors.New("not an adjacency level")

	// errBool is wrapped by errors about Boolean values.
	errBool = errors.New("not a Boolean value")
)

// Descriptions of valid values for messages.
const (
	textAllowed      = "text"
	boolAllowed      = "true or false"
	flagAllowed      = "true"
	integerAllowed   = "an integer"
	memoryAllowed    = "an integer with the unit B, KiB, MiB, GiB or TiB, such as 64GiB"
	durationAllowed  = "a duration such as 1m30s"
	hashesAllowed    = "key hashes of the form sha256:salt:sum, separated by commas"
	namesAllowed     = "names separated by commas"
	adjacencyAllowed = "worker, rack or domain"
)

func parseText(s string) (string, error) { return s, nil }

func parseBool(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%q: %w", s, errBool)
}

// parseFlag accepts only true, because a missing key means false.
func parseFlag(s string) (bool, error) {
	if s != "true" {
		return false, fmt.Errorf("%q: %w", s, errBool)
	}
	return true, nil
}

func parseAdjacency(s string) (shape.Adjacency, error) {
	a, err := shape.ParseAdjacency(s)
	if err != nil {
		return a, fmt.Errorf("%q: %w", s, errAdjacency)
	}
	return a, nil
}

func parseInt(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a valid integer: %w", s, errors.Unwrap(err))
	}
	return n, nil
}

func parseVersion(s string) (int64, error) {
	n, err := parseInt(s)
	return int64(n), err
}

func parseFloat(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a valid number: %w", s, errors.Unwrap(err))
	}
	return f, nil
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration: %w", s, err)
	}
	return d, nil
}

// parseHashes parses a list of key hashes. Its errors do not contain the text,
// which could be a plain key that was written in place of its hash.
func parseHashes(s string) ([]keys.Hash, error) {
	return parseList(s, func(i int, item string) (keys.Hash, error) {
		h, err := keys.ParseHash(item)
		if err != nil {
			return h, fmt.Errorf("hash %d: %w", i+1, err)
		}
		return h, nil
	})
}

func parseWorkspaces(s string) ([]ident.Workspace, error) {
	return parseList(s, func(_ int, item string) (ident.Workspace, error) { return ident.Workspace(item), nil })
}

func parseHomes(s string) ([]ident.Domain, error) {
	return parseList(s, func(_ int, item string) (ident.Domain, error) {
		if item == config.NoHome {
			return "", nil
		}
		return ident.Domain(item), nil
	})
}

// parseList parses the elements of a list separated by commas. It returns nil
// for an empty text.
func parseList[T any](s string, parse func(i int, item string) (T, error)) ([]T, error) {
	if s == "" {
		return nil, nil
	}
	var list []T
	for i, item := range strings.Split(s, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return nil, errEmptyElement
		}
		v, err := parse(i, item)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}
