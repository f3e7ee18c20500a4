package fleet

import (
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/quota"
)

// Kinds of messages about quotas: a holder's question to the owner of a slice, and
// the owner's answer. They are sent to one instance and not relayed.
const (
	kindQuotaAsk   = 'Q'
	kindQuotaGrant = 'q'
)

// quotaMessage is an encoded quota.Ask or quota.Grant.
type quotaMessage struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	From, Seq uint32
	// Slice is 0 in an answer.
	Slice uint8
	// Records holds askFields or grantFields numbers for each tenant.
	Records []uint32
}

// The fields of records: the tenant, and urgent, ahead, held and extra, or tokens and
// the time to wait in milliseconds.
const (
	askFields   = 5
	grantFields = 3
)

// EncodeQuotaAsk encodes a question. All tenants of a group fit into a message unless
// there are more than 2,000.
func EncodeQuotaAsk(a quota.Ask) ([]byte, error) {
	m := quotaMessage{From: a.From, Seq: a.Seq, Slice: uint8(a.Slice)}
	for _, r := range a.Records {
		m.Records = append(m.Records, uint32(r.Tenant), r.Urgent, r.Ahead, r.Held, r.Extra)
	}
	return encodeQuota(kindQuotaAsk, &m)
}

// EncodeQuotaGrant encodes an answer.
func EncodeQuotaGrant(g quota.Grant) ([]byte, error) {
	m := quotaMessage{From: g.From, Seq: g.Seq}
	for _, r := range g.Records {
		wait := uint32((r.Wait + time.Millisecond - 1) / time.Millisecond)
		m.Records = append(m.Records, uint32(r.Tenant), r.Tokens, wait)
	}
	return encodeQuota(kindQuotaGrant, &m)
}

func encodeQuota(kind byte, m *quotaMessage) ([]byte, error) {
	b, err := encode(kind, m, 0)
	if err == nil && len(b) > maxDatagram {
		err = errors.Errorf("message about quotas has %d bytes, allowed: %d", len(b), maxDatagram)
	}
	return b, errors.Trace(err)
}

// decodeQuotaAsk reverses EncodeQuotaAsk, without the kind.
func decodeQuotaAsk(b []byte) (*quota.Ask, error) {
	var m quotaMessage
	if _, _, err := decodeValue(b, &m); err != nil {
		return nil, errors.Trace(err)
	}
	if len(m.Records)%askFields != 0 || m.Slice >= quota.SliceCount {
		return nil, errors.New("question about quotas with an incomplete record or of an unknown slice")
	}
	a := &quota.Ask{From: m.From, Seq: m.Seq, Slice: quota.Slice(m.Slice)}
	for r := m.Records; len(r) > 0; r = r[askFields:] {
		a.Records = append(a.Records, quota.AskRecord{Tenant: quota.TenantID(r[0]), Urgent: r[1], Ahead: r[2], Held: r[3], Extra: r[4]})
	}
	return a, nil
}

// decodeQuotaGrant reverses EncodeQuotaGrant, without the kind.
func decodeQuotaGrant(b []byte) (*quota.Grant, error) {
	var m quotaMessage
	if _, _, err := decodeValue(b, &m); err != nil {
		return nil, errors.Trace(err)
	}
	if len(m.Records)%grantFields != 0 {
		return nil, errors.New("answer about quotas with an incomplete record")
	}
	g := &quota.Grant{From: m.From, Seq: m.Seq}
	for r := m.Records; len(r) > 0; r = r[grantFields:] {
		g.Records = append(g.Records, quota.GrantRecord{Tenant: quota.TenantID(r[0]), Tokens: r[1], Wait: time.Duration(r[2]) * time.Millisecond})
	}
	return g, nil
}

// WireID returns the short ID that stands for an instance in messages.
func WireID(id model.InstanceID) uint32 { return wireID(id) }

// ByWireID returns the known instance with the wire ID.
func (m *Members) ByWireID(w uint32) (Presence, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.members[m.byWireID[w]]
	if o == nil {
		return Presence{}, false
	}
	return o.Presence, true
}

// CountAlive returns how many of the other instances that Count counts are alive.
func (m *Members) CountAlive() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, o := range m.members {
		if o.alive {
			n++
		}
	}
	return n
}
