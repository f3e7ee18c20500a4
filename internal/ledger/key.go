// Package ledger ensures that a request with an idempotency key runs at most once.
//
// A key names its owner, which is one incarnation (process lifetime) of one
// instance, and a witness, which is another instance. Two rules give
// at-most-once execution:
//
//   - Only one incarnation at a time, the holder, has the right to run a key.
//     The first holder is the owner. The right moves only when the live holder
//     grants it to another instance (Transfer) or hands it to its successor
//     during a graceful shutdown (Inherit). It is never recreated: if the
//     holder crashes, the right is lost.
//   - The witness keeps one write-once register for each key. It holds either
//     the holder's intent to send the request or a seal, which closes the key;
//     whichever is written first stays. The holder sends the request to an
//     endpoint only after its intent is recorded.
//
// The outcome "not-run" is final: once any instance has reported it for a key,
// the request has not run and will not run under that key. The caller sends the
// request again with a new key. For this reason a seal closes a key and does
// not pass the right to the instance that queried the witness: the owner may
// have reported "not-run" before it became unreachable.
package ledger

import (
	"crypto/sha256"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// MaxKeyBytes is the maximum length of a key. It leaves room for two instance
// identifiers of maxInstanceBytes, three numbers and 60 bytes chosen by the
// caller.
const MaxKeyBytes = 255

const (
	maxInstanceBytes = 64
	keyFields        = 6
	noWitness        = "-"
	numberBase       = 36
)

// Key is a structured key:
// OWNER.OWNERINCARNATION.EPOCH.WITNESS.WITNESSINCARNATION.RANDOM, with numbers
// in base 36. Any other key is opaque; see binder.
type Key struct {
	Owner    model.InstanceID
	OwnerInc model.Incarnation
	// Epoch is the owner's epoch counter, not a timestamp.
	Epoch uint64
	// Witness is empty if the owner had no live peer when it issued the key.
	Witness    model.InstanceID
	WitnessInc model.Incarnation
	// Random is the part chosen by the caller.
	Random string
}

// ID is the first 16 bytes of a key's SHA-256 hash. It gives records a fixed
// size, and callers cannot construct collisions.
type ID [16]byte

// IDOf returns the ID of a structured or opaque key.
func IDOf(key string) ID {
	sum := sha256.Sum256([]byte(key))
	return ID(sum[:16])
}

// Prefix returns the part of the key before Random, including the dot.
func (k Key) Prefix() string {
	witness := string(k.Witness)
	if witness == "" {
		witness = noWitness
	}
	fields := []string{
		string(k.Owner),
		strconv.FormatUint(uint64(k.OwnerInc), numberBase),
		strconv.FormatUint(k.Epoch, numberBase),
		witness,
		strconv.FormatUint(uint64(k.WitnessInc), numberBase),
		"",
	}
	return strings.Join(fields, ".")
}

func (k Key) String() string { return k.Prefix() + k.Random }

// CheckKey returns an error unless s, a structured or opaque key, consists of 1
// to MaxKeyBytes visible ASCII characters other than quotes and backslashes.
func CheckKey(s string) error {
	if s == "" || len(s) > MaxKeyBytes {
		return errors.NotValidf("key of %d bytes (allowed: 1 to %d)", len(s), MaxKeyBytes)
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return errors.NotValidf("key with byte 0x%02x at %d", c, i)
		}
	}
	return nil
}

// ParseKey parses a structured key. It returns false for an opaque key, and
// every spelling that Key.String does not produce counts as opaque.
func ParseKey(s string) (Key, bool) {
	if CheckKey(s) != nil {
		return Key{}, false
	}
	f := strings.SplitN(s, ".", keyFields)
	if len(f) != keyFields || f[5] == "" || !validInstance(f[0]) || !validInstance(f[3]) {
		return Key{}, false
	}
	var numbers [3]uint64
	for i, field := range []string{f[1], f[2], f[4]} {
		n, err := strconv.ParseUint(field, numberBase, 64)
		if err != nil {
			return Key{}, false
		}
		numbers[i] = n
	}
	k := Key{
		Owner: model.InstanceID(f[0]), OwnerInc: model.Incarnation(numbers[0]), Epoch: numbers[1],
		Witness: model.InstanceID(f[3]), WitnessInc: model.Incarnation(numbers[2]), Random: f[5],
	}
	if f[3] == noWitness {
		k.Witness = ""
	}
	if k.String() != s {
		return Key{}, false
	}
	return k, true
}

func validInstance(s string) bool {
	if s == "" || len(s) > maxInstanceBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
