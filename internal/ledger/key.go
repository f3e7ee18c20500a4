// Package ledger makes sure that a request which may not be repeated runs at
// most once.
//
// A key is bound to one incarnation of one entry instance, its owner, and
// names a witness. Two rules give at-most-once execution:
//
//   - The right to run a key belongs to one incarnation at a time. It starts
//     with the owner and moves only by a grant of the live holder (Transfer,
//     Inherit). It is never created anew, so it ends with its holder.
//   - The witness keeps one write-once register for each key: the first intent
//     or the first seal wins. The holder sends only after its intent won.
//
// "Not run" is final: once any instance has reported it for a key, the key has
// not run and will not run. The caller sends the work again with a new key.
// A seal therefore closes a key instead of passing it to the instance that
// asked: the owner may have reported "not run" before it became unreachable.
package ledger

import (
	"crypto/sha256"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// MaxKeyBytes bounds a key. It fits two instance identifiers of
// maxInstanceBytes, three numbers and 60 bytes of the caller.
const MaxKeyBytes = 255

const (
	maxInstanceBytes = 64
	keyFields        = 6
	noWitness        = "-"
	numberBase       = 36
)

// Key is a key in the system's own form:
// OWNER.OWNERINCARNATION.EPOCH.WITNESS.WITNESSINCARNATION.RANDOM, with numbers
// in base 36.
type Key struct {
	Owner    model.InstanceID
	OwnerInc model.Incarnation
	// Epoch is a counter of the owner. It is not a time.
	Epoch uint64
	// Witness is empty if the owner had no live peer.
	Witness    model.InstanceID
	WitnessInc model.Incarnation
	// Random is the part that the caller chose.
	Random string
}

// ID identifies a key: the first 16 bytes of its SHA-256, so that records have
// a fixed size and callers cannot construct collisions.
type ID [16]byte

// IDOf returns the identifier of a key in any form.
func IDOf(key string) ID {
	sum := sha256.Sum256([]byte(key))
	return ID(sum[:16])
}

// Prefix returns the key up to and including the last dot.
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

// CheckKey reports whether a key of any form is acceptable: 1 to MaxKeyBytes
// visible ASCII characters without quotes and backslashes.
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

// ParseKey reads a key of the system's own form. It reports false for a key of
// the caller's own form, which includes any spelling that Key.String would not
// produce.
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
