package fleet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// full is a message with all that an instance says of itself.
type full struct {
	//lint:ignore U1000 The codec reads the tag: fields without their names.
	_msgpack struct{} `msgpack:",as_array"`

	ID string
	// Incarnation is the sender's.
	Incarnation uint64
	Region      string
	Domain      string
	Peer        string
	Entry       string
	// Reply asks for a message in return, so that a new instance learns of
	// others.
	Reply bool
	Brief Brief
}

// Brief is a message without what seldom changes.
type Brief struct {
	//lint:ignore U1000 The codec reads the tag: fields without their names.
	_msgpack struct{} `msgpack:",as_array"`

	// From is the sender's name in messages, Incarnation the low half of its
	// incarnation.
	From        uint32
	Incarnation uint32
	Flags       uint8
	Revision    mirror.Revision
	// Loads holds pairs of an endpoint's name in messages and its requests in
	// flight.
	Loads []uint32
	// Seen holds pairs of an endpoint and an object that was sent there.
	Seen []uint32
}

const (
	flagReady = 1 << iota
	flagLeaving
	flagStoreLost
	flagWatching
	flagSettled
)

func (p Presence) flags() uint8 {
	var out uint8
	for _, f := range []struct {
		flag uint8
		on   bool
	}{{flagReady, p.Ready}, {flagLeaving, p.Leaving}, {flagStoreLost, p.StoreLost}, {flagWatching, p.Watching}, {flagSettled, p.Settled}} {
		if f.on {
			out |= f.flag
		}
	}
	return out
}

func (p *Presence) setFlags(f uint8) {
	p.Ready, p.Leaving = f&flagReady != 0, f&flagLeaving != 0
	p.StoreLost, p.Watching = f&flagStoreLost != 0, f&flagWatching != 0
	p.Settled = f&flagSettled != 0
}

func shortName(id model.InstanceID) uint32 { return uint32(hash(id)) }

// The first byte of a message tells its kind.
const (
	kindFull  = 'F'
	kindBrief = 'B'
)

// maxDatagram bounds a message. 200 endpoints with requests take 1.4 KB.
const maxDatagram = 8 << 10

// LoadUpdate is what an instance reports besides its presence.
type LoadUpdate struct {
	Loads steering.Loads
	Seen  []steering.Placement
}

func brief(p Presence, n LoadUpdate) Brief {
	b := Brief{From: shortName(p.ID), Incarnation: uint32(p.Incarnation), Flags: p.flags(), Revision: p.Revision}
	b.Loads, b.Seen = LoadPairs(n.Loads), SeenPairs(n.Seen)
	return b
}

// EncodeFull renders a message with all that the instance says of itself.
func EncodeFull(p Presence, n LoadUpdate, reply bool) ([]byte, error) {
	return encode(kindFull, &full{ID: string(p.ID), Incarnation: uint64(p.Incarnation), Region: string(p.Region),
		Domain: string(p.Domain), Peer: p.Peer.String(), Entry: p.Entry.String(), Reply: reply, Brief: brief(p, n)})
}

// EncodeBrief renders a message to instances that know the sender.
func EncodeBrief(p Presence, n LoadUpdate) ([]byte, error) {
	b := brief(p, n)
	return encode(kindBrief, &b)
}

func encode(kind byte, m any) ([]byte, error) {
	b, err := msgpack.Marshal(m)
	return append([]byte{kind}, b...), errors.Trace(err)
}

// Message is a decoded message. Presence is set in full ones.
type Message struct {
	// Report is set in reports of groups, and nothing else then.
	Report *Report
	// Relayed means that the report need not be passed on.
	Relayed  bool
	Full     bool
	Presence Presence
	Reply    bool
	Brief    Brief
	Update   LoadUpdate
}

// Decode reads a message.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 {
		return Message{}, errors.New("empty message")
	}
	var m Message
	switch b[0] {
	case kindBrief:
		if err := msgpack.Unmarshal(b[1:], &m.Brief); err != nil {
			return Message{}, errors.Trace(err)
		}
	case kindFull:
		var f full
		if err := msgpack.Unmarshal(b[1:], &f); err != nil {
			return Message{}, errors.Trace(err)
		}
		p, err := f.presence()
		if err != nil {
			return Message{}, errors.Trace(err)
		}
		m = Message{Full: true, Presence: p, Reply: f.Reply, Brief: f.Brief}
	case kindReport, kindPassed:
		r, err := decodeReport(b[1:])
		return Message{Report: r, Relayed: b[0] == kindPassed}, errors.Trace(err)
	default:
		return Message{}, errors.Errorf("message of kind %d", b[0])
	}
	return m, errors.Trace(m.decodeNews())
}

func (f *full) presence() (Presence, error) {
	peer, err := netip.ParseAddrPort(f.Peer)
	if err != nil {
		return Presence{}, errors.Trace(err)
	}
	entry, err := netip.ParseAddrPort(f.Entry)
	if err != nil {
		return Presence{}, errors.Trace(err)
	}
	if f.ID == "" {
		return Presence{}, errors.New("message without an ID")
	}
	p := Presence{ID: model.InstanceID(f.ID), Incarnation: model.Incarnation(f.Incarnation), Region: model.Region(f.Region),
		Domain: model.Domain(f.Domain), Peer: peer, Entry: entry, Revision: f.Brief.Revision}
	p.setFlags(f.Brief.Flags)
	return p, nil
}

func (m *Message) decodeNews() error {
	b := &m.Brief
	if len(b.Loads)%2 != 0 || len(b.Seen)%2 != 0 {
		return errors.New("message with half a pair")
	}
	m.Update = LoadUpdate{loadsOf(b.Loads), seenOf(b.Seen)}
	return nil
}

// Handler is called with each message that arrives.
type Handler func(Message)

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	// Malformed is called with errors of messages that cannot be read.
	Malformed func(error)

	mu   sync.Mutex
	sent int64
}

// Listen opens the socket at the address.
func Listen(addr netip.AddrPort) (*Socket, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Socket{conn: c, Malformed: func(error) {}}, nil
}

// Serve receives messages until Close.
func (s *Socket) Serve(heard Handler) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Malformed(err)
			time.Sleep(readPause)
			continue
		}
		m, err := Decode(buf[:n])
		if err != nil {
			s.Malformed(err)
			continue
		}
		heard(m)
	}
}

// readPause follows an error of the socket, so that a lasting one does not
// take the processor.
const readPause = 50 * time.Millisecond

// Send sends a message. A lost one is replaced by the next, so errors of
// single sends are only counted by their absence from Sent.
func (s *Socket) Send(to netip.AddrPort, b []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err == nil {
		s.mu.Lock()
		s.sent++
		s.mu.Unlock()
	}
}

// Sent returns the number of messages sent.
func (s *Socket) Sent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Close ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }
