package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// Health is the health of a member as gossiped by the members.
type Health uint8

// The values are ordered: of two records of the same version, the one with the
// larger Health wins.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
)

// State is a member's state as this instance shows it in its View.
type State uint8

// The states of a member.
const (
	StateAlive State = iota
	// StateSuspect means that the member did not respond and may still refute
	// the suspicion.
	StateSuspect
	// StateLeaving means that the member accepts no new callers.
	StateLeaving
	// StateDead means that the member does not respond, has left, or has been
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
// Version; other members may only raise Health at the current Version. Fields
// with zero values add nothing to messages, because gob does not transmit them.
type Member struct {
	ID          model.InstanceID
	Region      model.Region
	Domain      model.Domain
	EntryAddr   netip.AddrPort
	PeerAddr    netip.AddrPort
	ControlAddr netip.AddrPort
	Incarnation model.Incarnation
	// Version is incremented with each record that this incarnation writes.
	Version uint64
	Health  Health
	// Leaving means that the member accepts no new callers.
	Leaving bool
	// Starting means that the member is leaving only because it has not been
	// ready yet.
	Starting bool
	// Successor is the instance that holds the member's ledger records after a
	// graceful shutdown.
	Successor model.InstanceID
	// RulesRevision is the revision of the rules in force at the member. Like
	// changes of LoadClass and KeyPrefix, a change of it is sent within 1.5 times
	// DeferredUpdateInterval.
	RulesRevision uint64
	// LoadClass is from 0 (idle) to MaxLoadClass.
	LoadClass uint8
	// KeyPrefix is the prefix of idempotency keys that the member accepts.
	KeyPrefix string
}

// maxNameBytes is the maximum length of a text field of a record. Records are
// gossiped to all members, so that a faulty one must not fill their memory.
const maxNameBytes = 128

func (m *Member) valid() bool {
	for _, s := range [...]string{string(m.ID), string(m.Region), string(m.Domain), string(m.Successor), m.KeyPrefix} {
		if len(s) > maxNameBytes {
			return false
		}
	}
	return m.ID != "" && m.Region != "" && m.Health <= HealthDead && m.LoadClass <= MaxLoadClass
}

// compare is a total order of the records of one member. The larger record
// wins, which makes merging commutative, associative and idempotent.
func compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Health, b.Health),
		compareContent(a, b),
	)
}

// compareContent decides between different records with the same version,
// which only a faulty member writes. All instances must still agree on one.
func compareContent(a, b Member) int {
	if a == b {
		return 0
	}
	return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b))
}

// hash returns the hash of a record for the table's digest. It covers all
// fields, so that different records of the same version have different hashes.
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
		buf[len(buf)-1] |= 1
	}
	if m.Starting {
		buf[len(buf)-1] |= 2
	}
	return uint32(xxhash.Sum64(buf))
}

// score returns the rendezvous hashing weight of b for the key a.
func score(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}
