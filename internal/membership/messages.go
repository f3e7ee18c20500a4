package membership

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// ServiceName is the name of the gossip methods in calls.
const ServiceName = "Gossip"

const (
	methodExchange = ServiceName + ".Exchange"
	methodPing     = ServiceName + ".Ping"
)

// TopicDigest is a topic's digest on the wire.
type TopicDigest struct {
	Name   string
	Digest []byte
}

// TopicNews is news of one topic on the wire.
type TopicNews struct {
	Name string
	// Digest describes the sender's state that the news came from.
	Digest []byte
	News   []byte
}

// ExchangeArgs either pulls what the sender lacks, waiting for news up to
// WaitMS, or pushes what the receiver lacks. Most fields are empty in most
// messages; gob does not transmit these.
type ExchangeArgs struct {
	From model.InstanceID
	// To is a hash of the instance that the sender means. Another one may have
	// its address by now.
	To uint32
	// Epoch is the receiver's incarnation that Cursor belongs to.
	Epoch model.Incarnation
	// Cursor is the value of the receiver's change counter up to which the
	// sender has its records.
	Cursor uint64
	// Buckets is the digest of the sender's table. It asks for the records of
	// the buckets that differ.
	Buckets []byte
	// Topics is a hash of the digests of the sender's topics, and Digests has
	// those that changed since its last message to the receiver.
	Topics  uint32
	Digests []TopicDigest
	// WantDigests asks for the digests of the receiver's topics.
	WantDigests bool
	WaitMS      uint16
	// Push tells the two kinds apart.
	Push    bool
	Members []Member
	News    []TopicNews

	ctx context.Context
}

// SetCallContext implements peer.ContextReceiver.
func (a *ExchangeArgs) SetCallContext(ctx context.Context) { a.ctx = ctx }

// ExchangeReply answers an ExchangeArgs.
type ExchangeReply struct {
	// Epoch is the receiver's incarnation if it differs from the one in the
	// arguments.
	Epoch model.Incarnation
	// Cursor is the value of the receiver's change counter up to which the
	// sender has its records now.
	Cursor uint64
	// Sum is a hash of the receiver's table.
	Sum uint32
	// Topics is a hash of the digests of the receiver's topics.
	Topics uint32
	// Buckets is the digest of the receiver's table, in answer to one.
	Buckets []byte
	// More means that records were left out for their number.
	More        bool
	Digests     []TopicDigest
	NeedDigests bool
	Members     []Member
	News        []TopicNews
}

// PingArgs asks whether the receiver answers or, with a Target, whether the
// target answers the receiver.
type PingArgs struct {
	// From is the sender of a ping without a target, which thereby shows that
	// it is alive itself.
	From model.InstanceID
	// To is as in ExchangeArgs.
	To     uint32
	Target model.InstanceID

	ctx context.Context
}

// SetCallContext implements peer.ContextReceiver.
func (a *PingArgs) SetCallContext(ctx context.Context) { a.ctx = ctx }

// PingReply answers a PingArgs.
type PingReply struct {
	// Reached reports whether the target answered.
	Reached bool
}

// errOtherInstance answers a call that was meant for another instance.
const errOtherInstance = errors.ConstError("another instance has this address")

// toHash identifies the receiver of a call in few bytes.
func toHash(id model.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// digestSet holds the digests of one instance's topics by name.
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

// changedFrom returns the digests that differ from those in old.
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

// maxTopics bounds the digests that are kept of another instance.
const maxTopics = 64

func (s digestSet) set(name string, digest []byte) {
	if _, ok := s[name]; (ok || len(s) < maxTopics) && len(digest) <= MaxDigestBytes && len(name) <= maxNameBytes {
		s[name] = string(digest)
	}
}
