package fleet

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/quota"
	"jujubestile.example/jujubestile/internal/steering"
)

// full is a message with the complete state that an instance reports of itself.
type full struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	ID string
	// Incarnation is the complete incarnation of the sender.
	Incarnation uint64
	Region      string
	Domain      string
	Peer        string
	Entry       string
	// Reply requests a full message in return, so that a new instance learns of
	// the others.
	Reply bool
	Brief Brief
}

// Brief is a message that leaves out what seldom changes.
type Brief struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	// From is the wire ID of the sender, Incarnation the low half of its
	// incarnation.
	From        uint32
	Incarnation uint32
	// Flags holds the bits flagReady to flagSettled and the capacity class.
	Flags uint8
	// Era and Revision are the position of the sender's copy of the store, Desired
	// is the version of its desired state.
	Era      model.Era
	Revision mirror.Revision
	Desired  desired.Version
	// Loads holds pairs of an endpoint's wire ID and the sender's requests in
	// flight there.
	Loads []uint32
	// Seen holds the sender's recent placements: pairs of the wire IDs of an
	// endpoint and of an object for which it was sent a request.
	Seen []uint32
	// Age is the encoded age of the sender's copy of the store. It follows the
	// encoded message, where earlier programs ignore it.
	Age uint8 `msgpack:"-"`
	// Speeds are those of endpoints' machines that have changed. They follow the age.
	Speeds []steering.Speed `msgpack:"-"`
}

const (
	// ageUnit is the unit of encoded ages, and maxAge the longest age that can be
	// told from an unknown one.
	ageUnit = 20 * time.Millisecond
	maxAge  = 254 * ageUnit
	// UnknownAge is the age of a copy that is older than maxAge, or of which the
	// sender does not tell the age.
	UnknownAge = time.Hour
)

// encodeAge encodes the age of a copy, rounded up. 0 stands for an unknown age.
func encodeAge(d time.Duration) uint8 {
	if d > maxAge {
		return 0
	}
	return uint8((max(d, 0)+ageUnit-1)/ageUnit) + 1
}

// decodeAge reverses encodeAge.
func decodeAge(n uint8) time.Duration {
	if n == 0 {
		return UnknownAge
	}
	return time.Duration(n-1) * ageUnit
}

func (b Brief) position() mirror.Position {
	return mirror.Position{Era: b.Era, Revision: b.Revision}
}

const (
	flagReady = 1 << iota
	flagLeaving
	flagStoreLost
	flagWatching
	flagSettled
	// capacityShift is the position of the capacity class, above all flags.
	capacityShift = 8 - capacityBits
)

func (p Presence) flags() uint8 {
	out := uint8(min(p.Capacity, maxCapacityClass)) << capacityShift
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
	p.Capacity = CapacityClass(f >> capacityShift)
}

// wireID returns the short ID that stands for an instance in brief messages and
// reports.
func wireID(id model.InstanceID) uint32 { return uint32(hash(id)) }

// The first byte of a message is its kind.
const (
	kindFull  = 'F'
	kindBrief = 'B'
	// kindRange precedes another message, whose loads are those of a range of wire
	// IDs.
	kindRange = 'S'
)

// maxDatagram bounds the size of a message. The loads of 200 endpoints take 1.4
// KB.
const maxDatagram = 8 << 10

// LoadUpdate holds the requests in flight at endpoints and the recent placements
// of one instance or group: the endpoints to which it has sent requests, each with
// the object of the request.
type LoadUpdate struct {
	Loads      steering.Loads
	Placements []steering.Placement
	// Speeds are those of endpoints' machines that have changed.
	Speeds []steering.Speed
}

func newBrief(p Presence, update LoadUpdate) Brief {
	b := Brief{From: wireID(p.ID), Incarnation: uint32(p.Incarnation), Flags: p.flags(),
		Era: p.Position.Era, Revision: p.Position.Revision, Desired: p.Desired, Age: encodeAge(p.CopyAge)}
	b.Loads, b.Seen, b.Speeds = LoadPairs(update.Loads), PlacementPairs(update.Placements), update.Speeds
	return b
}

// EncodeFull encodes a full message. reply requests a full message in return.
// It returns several if the loads do not fit into one.
func EncodeFull(p Presence, update LoadUpdate, reply bool) ([][]byte, error) {
	return encodeBriefs(kindFull, newBrief(p, update), func(b Brief) any {
		return &full{ID: string(p.ID), Incarnation: uint64(p.Incarnation), Region: string(p.Region),
			Domain: string(p.Domain), Peer: p.Peer.String(), Entry: p.Entry.String(), Reply: reply, Brief: b}
	})
}

// EncodeBrief encodes a brief message, for instances that have received a full
// one of the same process. It returns several if the loads do not fit into one.
func EncodeBrief(p Presence, update LoadUpdate) ([][]byte, error) {
	return encodeBriefs(kindBrief, newBrief(p, update), func(b Brief) any { return &b })
}

// encodeBriefs encodes a message for each part of the loads that fits into one.
func encodeBriefs(kind byte, b Brief, message func(Brief) any) ([][]byte, error) {
	var out [][]byte
	for _, r := range (Report{Whole: true, Seen: b.Seen, Loads: b.Loads}).parts() {
		b.Seen, b.Loads = r.Seen, r.Loads
		encoded, err := encode(kind, message(b), b.Age)
		if err != nil {
			return nil, errors.Trace(err)
		}
		encoded, b.Speeds = appendSpeeds(encoded, b.Speeds)
		out = append(out, withRange(encoded, r.Low, r.High))
	}
	return out, nil
}

// rangeLength is the number of bytes that withRange adds.
const rangeLength = 9

// withRange marks the loads of a message as those of a range of wire IDs, unless
// high is 0.
func withRange(b []byte, low, high uint32) []byte {
	if high == 0 {
		return b
	}
	out := binary.BigEndian.AppendUint32([]byte{kindRange}, low)
	return append(binary.BigEndian.AppendUint32(out, high), b...)
}

// encode encodes a message with integers in as few bytes as possible, followed by
// the age of a copy.
func encode(kind byte, m any, age uint8) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(kind)
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, errors.Trace(err)
	}
	b.WriteByte(age)
	return b.Bytes(), nil
}

// decodeValue reverses encode, without the kind, and returns what follows. The age of a
// message that has none is 0.
func decodeValue(b []byte, m any) (age uint8, rest []byte, err error) {
	if err := checkLengths(b); err != nil {
		return 0, nil, errors.Trace(err)
	}
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Decode(m); err != nil {
		return 0, nil, errors.Trace(err)
	}
	age, err = r.ReadByte()
	if errors.Is(err, io.EOF) {
		return 0, nil, nil
	}
	return age, b[len(b)-r.Len():], errors.Trace(err)
}

// Message is a decoded message of any kind.
type Message struct {
	// Report is set if the message is a group report. The other fields except
	// Relayed are then unset.
	Report *Report
	// RateLimits is set if the message holds rate limits of endpoints. The other
	// fields except Relayed are then unset.
	RateLimits []steering.RateLimit
	// Departures is set if the message holds departures of endpoints. The other
	// fields except Relayed are then unset.
	Departures []steering.Departure
	// QuotaAsk or QuotaGrant is set if the message is about quotas. The other fields
	// are then unset.
	QuotaAsk   *quota.Ask
	QuotaGrant *quota.Grant
	// Echo is set if the message is an echo. The other fields except From are then
	// unset.
	Echo *Echo
	// From is the address that the message came from. Decode does not set it.
	From netip.AddrPort
	// Relayed means that the message was relayed and must not be relayed again.
	Relayed bool
	// Full means that the message is a full one: Presence and Reply are set.
	Full     bool
	Presence Presence
	// Reply means that the sender requests a full message in return.
	Reply bool
	// Brief and Update are set for full and brief messages.
	Brief  Brief
	Update LoadUpdate
	// Low and High bound the wire IDs of the loads. If High is 0, they are all of
	// the sender's or, in a report with all loads, of the group's.
	Low, High uint32
}

// AddDelay makes the copy of the store that a message tells of older, by the time for
// which the message may have waited on the way.
func (m *Message) AddDelay(d time.Duration) {
	m.Presence.CopyAge += d
	m.Brief.Age = encodeAge(decodeAge(m.Brief.Age) + d)
	if m.Report != nil {
		m.Report.AddDelay(d)
	}
}

// Decode decodes a message.
func Decode(b []byte) (Message, error) {
	if len(b) < rangeLength || b[0] != kindRange {
		return decodePlain(b)
	}
	m, err := decodePlain(b[rangeLength:])
	m.Low, m.High = binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])
	if m.Report != nil {
		m.Report.Low, m.Report.High = m.Low, m.High
	}
	return m, errors.Trace(err)
}

// decodePlain decodes a message without a range.
func decodePlain(b []byte) (Message, error) {
	if len(b) == 0 {
		return Message{}, errors.New("empty message")
	}
	var m Message
	switch b[0] {
	case kindBrief:
		age, rest, err := decodeValue(b[1:], &m.Brief)
		if err != nil {
			return Message{}, errors.Trace(err)
		}
		m.Brief.Age, m.Brief.Speeds = age, decodeSpeeds(rest)
	case kindFull:
		var f full
		age, rest, err := decodeValue(b[1:], &f)
		if err != nil {
			return Message{}, errors.Trace(err)
		}
		f.Brief.Age, f.Brief.Speeds = age, decodeSpeeds(rest)
		p, err := f.presence()
		if err != nil {
			return Message{}, errors.Trace(err)
		}
		m = Message{Full: true, Presence: p, Reply: f.Reply, Brief: f.Brief}
	case kindReport, kindRelayed:
		r, err := decodeReport(b[1:])
		return Message{Report: r, Relayed: b[0] == kindRelayed}, errors.Trace(err)
	case kindLimits, kindRelayedLimits:
		limits, err := decodeRateLimits(b[1:])
		return Message{RateLimits: limits, Relayed: b[0] == kindRelayedLimits}, errors.Trace(err)
	case kindDepartures, kindRelayedDepartures:
		list, err := decodeDepartures(b[1:])
		return Message{Departures: list, Relayed: b[0] == kindRelayedDepartures}, errors.Trace(err)
	case kindQuotaAsk:
		a, err := decodeQuotaAsk(b[1:])
		return Message{QuotaAsk: a}, errors.Trace(err)
	case kindQuotaGrant:
		g, err := decodeQuotaGrant(b[1:])
		return Message{QuotaGrant: g}, errors.Trace(err)
	case kindEcho:
		e, err := decodeEcho(b[1:])
		return Message{Echo: e}, errors.Trace(err)
	default:
		return Message{}, errors.Errorf("message of unknown kind %d", b[0])
	}
	return m, errors.Trace(m.decodeUpdate())
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
		return Presence{}, errors.New("message without an instance ID")
	}
	p := Presence{ID: model.InstanceID(f.ID), Incarnation: model.Incarnation(f.Incarnation), Region: model.Region(f.Region),
		Domain: model.Domain(f.Domain), Peer: peer, Entry: entry, Position: f.Brief.position(), CopyAge: decodeAge(f.Brief.Age), Desired: f.Brief.Desired}
	p.setFlags(f.Brief.Flags)
	return p, nil
}

func (m *Message) decodeUpdate() error {
	b := &m.Brief
	if len(b.Loads)%2 != 0 || len(b.Seen)%2 != 0 {
		return errors.New("message with an odd number of pair values")
	}
	m.Update = LoadUpdate{parseLoads(b.Loads), parsePlacements(b.Seen), b.Speeds}
	return nil
}

// Handler is called with each message that is received.
type Handler func(Message)

// Socket sends and receives messages over UDP.
type Socket struct {
	conn *net.UDPConn
	// Malformed is called with the errors of messages that cannot be received or
	// decoded.
	Malformed func(error)

	mu   sync.Mutex
	sent int64
}

// Listen opens a socket on the address.
func Listen(addr netip.AddrPort) (*Socket, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Socket{conn: c, Malformed: func(error) {}}, nil
}

// Addr returns the address of the socket.
func (s *Socket) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Serve receives messages and passes them to handle until the socket is closed.
func (s *Socket) Serve(handle Handler) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Malformed(err)
			time.Sleep(readErrorDelay)
			continue
		}
		m, err := Decode(buf[:n])
		if err != nil {
			s.Malformed(err)
			continue
		}
		m.From = from
		handle(m)
	}
}

// readErrorDelay is the pause after a read error, so that a persistent error does
// not keep the CPU busy.
const readErrorDelay = 50 * time.Millisecond

// Send sends a message. The next message makes up for a lost one, so an error is
// not reported; Sent just does not count the message.
func (s *Socket) Send(to netip.AddrPort, b []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err == nil {
		s.mu.Lock()
		s.sent++
		s.mu.Unlock()
	}
}

// Sent returns the number of messages that were sent without an error.
func (s *Socket) Sent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Close closes the socket, which ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }
