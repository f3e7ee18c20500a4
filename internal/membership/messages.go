package membership

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// ServiceName is the RPC service name of Node.
const ServiceName = "Gossip"

const (
	methodExchange = ServiceName + ".Exchange"
	methodPing     = ServiceName + ".Ping"
)

// TopicDigest is the digest of one topic on the wire.
type TopicDigest struct {
	Name   string
	Digest []byte
}

// TopicNews is news of one topic on the wire.
type TopicNews struct {
	Name string
	// Digest is the digest of the sender's state that News was made from.
	Digest []byte
	News   []byte
}

// ExchangeArgs are the arguments of Node.Exchange. The call is either a poll for
// the records and news that the sender lacks, held by the receiver for up to
// WaitMS until there are some, or a push of those that the receiver lacks. Most
// fields are zero in most messages, and gob does not transmit zero fields.
type ExchangeArgs struct {
	From model.InstanceID
	// To is a hash of the ID of the intended receiver. Another instance may
	// have its address by now.
	To uint32
	// Epoch is the incarnation of the receiver that Cursor refers to.
	Epoch model.Incarnation
	// Cursor is the value of the receiver's change counter up to which the
	// sender has received the receiver's records.
	Cursor uint64
	// Buckets is the digest of the sender's table. If it is set, the receiver
	// returns its records of the buckets that differ.
	Buckets []byte
	// Topics is a hash of the digests of the sender's topics, and Digests has
	// the digests that changed since its last message to the receiver.
	Topics  uint32
	Digests []TopicDigest
	// WantDigests requests the digests of the receiver's topics.
	WantDigests bool
	// WaitMS is the longest time in milliseconds that a poll is held.
	WaitMS uint16
	// Push marks a push; without it the call is a poll.
	Push    bool
	Members []Member
	News    []TopicNews

	ctx context.Context
}

// SetCallContext implements peer.ContextReceiver.
func (a *ExchangeArgs) SetCallContext(ctx context.Context) { a.ctx = ctx }

// ExchangeReply is the reply of Node.Exchange. Sender and receiver are those of
// the call.
type ExchangeReply struct {
	// Epoch is the receiver's incarnation if it differs from the Epoch of the
	// arguments or if the tables were compared, and 0 otherwise.
	Epoch model.Incarnation
	// Cursor is the value of the receiver's change counter up to which the
	// sender has received the receiver's records with this reply.
	Cursor uint64
	// Sum is a hash of the receiver's table.
	Sum uint32
	// Topics is a hash of the digests of the receiver's topics.
	Topics uint32
	// Buckets is the digest of the receiver's table, if the arguments have one.
	Buckets []byte
	// More means that records were left out because of their size.
	More bool
	// Digests has the digests of all topics of the receiver if WantDigests is
	// set, and otherwise of those whose news was in the call.
	Digests []TopicDigest
	// NeedDigests requests all digests of the sender's topics in its next call.
	NeedDigests bool
	Members     []Member
	News        []TopicNews
}

// PingArgs are the arguments of Node.Ping. With a Target, the receiver pings the
// target on behalf of the sender.
type PingArgs struct {
	// From is the sender. A ping without a target also counts as evidence that
	// the sender is alive.
	From model.InstanceID
	// To is a hash of the ID of the intended receiver, as in ExchangeArgs.
	To     uint32
	Target model.InstanceID

	ctx context.Context
}

// SetCallContext implements peer.ContextReceiver.
func (a *PingArgs) SetCallContext(ctx context.Context) { a.ctx = ctx }

// PingReply is the reply of Node.Ping.
type PingReply struct {
	// Reached means that the target responded. It is false without a target.
	Reached bool
}

// errOtherInstance is returned for a call whose intended receiver is another
// instance.
const errOtherInstance = errors.ConstError("another instance has this address")

// recipientHash returns a short hash of the receiver's ID for ExchangeArgs.To
// and PingArgs.To.
func recipientHash(id model.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// digestSet has the digests of one instance's topics by topic name.
type digestSet map[string]string

func (s digestSet) hash() uint32 {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	var d xxhash.Digest
	d.Reset()
	for _, name := range names {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(s[name])
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// changedFrom returns the digests that differ from those in old, sorted by name.
func (s digestSet) changedFrom(old digestSet) []TopicDigest {
	var list []TopicDigest
	for name, digest := range s {
		if known, ok := old[name]; !ok || known != digest {
			list = append(list, TopicDigest{name, []byte(digest)})
		}
	}
	slices.SortFunc(list, func(a, b TopicDigest) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// maxTopics is the maximum number of digests kept for another instance.
const maxTopics = 64

func (s digestSet) add(name string, digest []byte) {
	if _, ok := s[name]; (ok || len(s) < maxTopics) && len(digest) <= MaxDigestBytes && len(name) <= maxNameBytes {
		s[name] = string(digest)
	}
}
