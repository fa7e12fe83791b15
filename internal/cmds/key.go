package cmds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// minKeyLength is the least length of a key in bytes. Keys are hashed with
	// a fast hash, which protects only keys that are too long to be guessed.
	minKeyLength = 32

	// maxKeyLength bounds the input in bytes that is read for a key.
	maxKeyLength = 1024
)

// errKey is wrapped by errors about keys that cannot be used.
var errKey = errors.New("unusable key")

// newKey returns the commands for keys.
func newKey() *command {
	return &command{
		name:    "key",
		summary: "make keys of workspaces and operators, and their hashes",
		examples: []example{
			{"baobabquay key generate", "make a key and its hash"},
			{"baobabquay key hash < key.txt", "hash a key that is in a file"},
		},
		subs: []*command{
			{
				name: "generate", run: runGenerate,
				summary: "print a new random key and its hash",
				details: "The key goes to its holder, the hash to the key \"keys\" of a [workspace] or [operator] section.\n" +
					"The key is not kept anywhere.",
				examples: []example{{"baobabquay key generate --output json", "make a key in a script"}},
			},
			{
				name: "hash", run: runHash,
				summary: "print a hash of the key on the first line of the standard input",
				details: fmt.Sprintf("A key has at least %d bytes. It is read from the standard input because arguments are\n"+
					"visible to other users of the machine. Each run uses a new salt and prints another hash.", minKeyLength),
				examples: []example{{"baobabquay key hash < key.txt", "hash a key that is in a file"}},
			},
		},
	}
}

func runGenerate(_ context.Context, c *call) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	key, err := c.env.NewKey()
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	hash, err := c.env.HashOf(key)
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	return c.print(keyForm{key, hash.String()}, fmt.Sprintf("key:  %s\nhash: %v\n", key, hash))
}

func runHash(_ context.Context, c *call) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	line, err := bufio.NewReader(io.LimitReader(c.env.In, maxKeyLength+1)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(line)
	if len(key) < minKeyLength || len(line) > maxKeyLength {
		return fmt.Errorf("%d bytes, allowed are %d to %d: %w", len(key), minKeyLength, maxKeyLength, errKey)
	}
	hash, err := c.env.HashOf(key)
	if err != nil {
		return fmt.Errorf("hash key: %w", err)
	}
	return c.print(keyForm{Hash: hash.String()}, hash.String()+"\n")
}

func (c *call) refuseArgs() error {
	if n := len(c.args) + len(c.rest); n > 0 {
		return usageErrorf("the command takes no arguments, got %d", n)
	}
	return nil
}
