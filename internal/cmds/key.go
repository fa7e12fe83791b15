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
	// minKeyLength is the minimum length of a key in bytes. Keys are hashed with a
	// fast hash, which protects only keys that are too long to be guessed.
	minKeyLength = 32

	// maxKeyLength is the maximum length in bytes of the line that holds a key.
	maxKeyLength = 1024
)

// errKeyLength is wrapped by errors about keys that are too short or too long.
var errKeyLength = errors.New("invalid key length")

// newKeyCommand returns the commands that generate and hash keys.
func newKeyCommand() *command {
	return &command{
		name:    "key",
		summary: "generate keys of workspaces and operators, and hash them",
		examples: []example{
			{"baobabquay key generate", "generate a key and its hash"},
			{"baobabquay key hash < key.txt", "hash a key stored in a file"},
		},
		subs: []*command{
			{
				name: "generate", run: runGenerate,
				summary: "print a new random key and its hash",
				details: "Give the key to its owner and add the hash to the setting \"keys\" of a [workspace] or [operator]\n" +
					"section. The key is not stored anywhere.",
				examples: []example{{"baobabquay key generate --output json", "generate a key in a script"}},
			},
			{
				name: "hash", run: runHash,
				summary: "print a hash of the key on the first line of the standard input",
				details: fmt.Sprintf("A key has at least %d bytes. It is read from the standard input, because arguments are\n"+
					"visible to other users of the machine. Each run uses a new salt and prints another hash.", minKeyLength),
				examples: []example{{"baobabquay key hash < key.txt", "hash a key stored in a file"}},
			},
		},
	}
}

func runGenerate(_ context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	key, err := inv.env.NewKey()
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	hash, err := inv.env.HashOf(key)
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	return inv.print(keyJSON{key, hash.String()}, fmt.Sprintf("key:  %s\nhash: %v\n", key, hash))
}

func runHash(_ context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	line, err := bufio.NewReader(io.LimitReader(inv.env.In, maxKeyLength+1)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(line)
	if len(key) < minKeyLength || len(line) > maxKeyLength {
		return fmt.Errorf("key has %d bytes, must have %d to %d: %w", len(key), minKeyLength, maxKeyLength, errKeyLength)
	}
	hash, err := inv.env.HashOf(key)
	if err != nil {
		return fmt.Errorf("hash key: %w", err)
	}
	return inv.print(keyJSON{Hash: hash.String()}, hash.String()+"\n")
}

func (inv *invocation) rejectArgs() error {
	if n := len(inv.args) + len(inv.rest); n > 0 {
		return usageErrorf("the command takes no arguments, got %d", n)
	}
	return nil
}
