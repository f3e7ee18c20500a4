package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// Health is what other members say about a member.
type Health uint8

// The values are ordered: at the same version, the larger one wins.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
)

// State is a member's state as an instance uses it.
type State uint8

// The states of a member.
const (
	StateAlive State = iota
	// StateSuspect means that the member did not answer and may still refute
	// its suspicion.
	StateSuspect
	// StateLeaving means that the member takes no new callers.
	StateLeaving
	// StateDead means that the member does not answer, has left, or has been
	// missing from the platform's list for ListGrace.
	StateDead
)

func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MaxLoadClass is the highest load class of a member.
const MaxLoadClass = 7

// Member is the record of one member. Only the member itself writes a new
// Version; other members only raise Health at the present one. gob does not
// transmit zero fields.
type Member struct {
	ID          model.InstanceID
	Region      model.Region
	Domain      model.Domain
	EntryAddr   netip.AddrPort
	PeerAddr    netip.AddrPort
	ControlAddr netip.AddrPort
	Incarnation model.Incarnation
	// Version counts the records that this incarnation has written.
	Version uint64
	Health  Health
	// Leaving means that the member takes no new callers.
	Leaving bool
	// Successor holds the member's ledger records after a planned stop.
	Successor model.InstanceID
	// RulesRevision is the revision of the rules in force at the member. It
	// and LoadClass may be out of date by SoftInterval.
	RulesRevision uint64
	// LoadClass is from 0 (idle) to MaxLoadClass.
	LoadClass uint8
	// KeyPrefix is the prefix of idempotency keys that the member accepts.
	KeyPrefix string
}

// maxNameBytes bounds the text fields of a record. Records are gossiped to all
// members, so a faulty one must not be able to fill their memory.
const maxNameBytes = 128

func (m *Member) valid() bool {
	for _, s := range [...]string{string(m.ID), string(m.Region), string(m.Domain), string(m.Successor), m.KeyPrefix} {
		if len(s) > maxNameBytes {
			return false
		}
	}
	return m.ID != "" && m.Region != "" && m.Health <= HealthDead && m.LoadClass <= MaxLoadClass
}

// compare orders the records of one member. The larger one wins, which makes
// merging commutative, associative and idempotent.
func compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Health, b.Health),
		compareContent(a, b),
	)
}

// compareContent only matters if a member wrote two records with the same
// version, which is a fault. All instances must still agree on one.
func compareContent(a, b Member) int {
	if a == b {
		return 0
	}
	return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b))
}

// hash identifies a record in digests. It covers all fields, so that digests
// also show two records of the same version.
func (m *Member) hash() uint32 {
	buf := make([]byte, 0, 512)
	for _, s := range [...]string{string(m.ID), string(m.Region), string(m.Domain), string(m.Successor), m.KeyPrefix} {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	for _, a := range [...]netip.AddrPort{m.EntryAddr, m.PeerAddr, m.ControlAddr} {
		buf = a.AppendTo(buf)
		buf = append(buf, 0)
	}
	for _, v := range [...]uint64{uint64(m.Incarnation), m.Version, m.RulesRevision} {
		buf = binary.LittleEndian.AppendUint64(buf, v)
	}
	buf = append(buf, byte(m.Health), m.LoadClass, 0)
	if m.Leaving {
		buf[len(buf)-1] = 1
	}
	return uint32(xxhash.Sum64(buf))
}

// score is the weight of b for a in rendezvous hashing.
func score(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}
