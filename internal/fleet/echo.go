package fleet

import (
	"math/rand/v2"
	"net/netip"

	"github.com/juju/errors"
)

// Echo is a message whose receiver returns it at once. Its round trip shows how long
// messages wait on the way.
type Echo struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	Number uint64
	// Answer means that the message has been returned.
	Answer bool
}

const kindEcho = 'E'

// EncodeEcho encodes an echo.
func EncodeEcho(e Echo) ([]byte, error) { return encode(kindEcho, &e, 0) }

// decodeEcho reverses EncodeEcho, without the kind.
func decodeEcho(b []byte) (*Echo, error) {
	var e Echo
	_, _, err := decodeValue(b, &e)
	return &e, errors.Trace(err)
}

const (
	// minEchoChoice is how many live instances of a group suffice to choose among. A
	// single one may itself have a full link.
	minEchoChoice = 2
	// echoTrial is the share of echoes, as one in so many, that go to instances that may
	// not answer: earlier programs do not.
	echoTrial = 4
)

// HeardEcho records that the instance with a peer address exchanges echoes.
func (m *Members) HeardEcho(from netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.members {
		if o.Peer == from {
			o.echoes = true
		}
	}
}

// Echoes reports whether any known instance, alive or not, exchanges echoes.
func (m *Members) Echoes() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.members {
		if o.echoes {
			return true
		}
	}
	return false
}

// EchoTarget returns a random instance to exchange an echo with, from the smallest group
// with enough live ones, and most often one that is known to answer. If all are silent it
// is one that may be alive again. It reports false if there is none.
func (m *Members) EchoTarget() (Presence, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all, answering []*member
	for _, o := range m.members {
		all = append(all, o)
		if o.echoes {
			answering = append(answering, o)
		}
	}
	if len(answering) > 0 && rand.IntN(echoTrial) > 0 {
		all = answering
	}
	group := m.nearest(all)
	if len(group) == 0 {
		return Presence{}, false
	}
	return group[rand.IntN(len(group))].Presence, true
}

// nearest returns those of the members that are alive in this failure domain or else the
// region, if there are enough, or else all live ones or all. The lock is held.
func (m *Members) nearest(all []*member) []*member {
	var alive []*member
	groups := make([][]*member, 2)
	for _, o := range all {
		if !o.alive {
			continue
		}
		alive = append(alive, o)
		if o.group() == m.ownDomain() {
			groups[0] = append(groups[0], o)
		}
		if o.Region == m.region {
			groups[1] = append(groups[1], o)
		}
	}
	for _, group := range groups {
		if len(group) >= minEchoChoice {
			return group
		}
	}
	if len(alive) > 0 {
		return alive
	}
	return all
}
