package configsync

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/rules"
)

// peerTimeout is the timeout of one call to another instance.
const peerTimeout = time.Second

// RelayHead describes the document that one relay has in force.
type RelayHead struct {
	From model.InstanceID
	Head Head
}

// RelayClient calls the other relays. A relay that is not yet synced does not
// respond. A synced relay that found no document in the store responds with
// revision 0.
type RelayClient interface {
	// Heads returns the heads in force at the relays that respond, and how many
	// relays were queried.
	Heads(ctx context.Context) (heads []RelayHead, queried int)
	// Offer sends a document to the relays, as a delta from base where
	// possible, and returns the heads in force afterwards at those that respond.
	// If no base is known, base is zero.
	Offer(ctx context.Context, base, d Document) (heads []RelayHead, queried int)
	// Fetch returns the document in force at an instance.
	Fetch(ctx context.Context, from model.InstanceID) (Document, error)
}

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Rules"

// Service serves the calls of other instances. Its methods have the signature
// that net/rpc requires. They return an error until the State is synced.
type Service struct {
	state *State
}

// NewService returns the service of one instance.
func NewService(s *State) *Service { return &Service{state: s} }

// FetchArgs are the arguments of Service.Fetch.
type FetchArgs struct {
	// HeadOnly requests the document without its text.
	HeadOnly bool
}

// Reply holds the document in force, without its text if only the head was
// requested or the call is Offer. Document is its JSON form, limited to
// store.MaxValueBytes.
type Reply struct {
	Document []byte
	Hash     Hash
}

// Fetch returns the document in force. Without one, it returns an error unless only
// the head is requested.
func (s *Service) Fetch(args FetchArgs, reply *Reply) error {
	return s.reply(args.HeadOnly, reply)
}

// OfferArgs are the arguments of Service.Offer.
type OfferArgs struct {
	// News is a news message of the gossip topic.
	News []byte
}

// Offer applies the document of a news message as State.Apply does, and returns
// the head of the document in force afterwards. A delta that does not match the
// document in force changes nothing and is not an error.
func (s *Service) Offer(args OfferArgs, reply *Reply) error {
	if !s.state.Synced() {
		return errors.NotYetAvailablef("rules document")
	}
	_, _, err := s.state.merge(args.News)
	if err != nil && !errors.Is(err, rules.ErrDeltaMismatch) {
		return errors.Trace(err)
	}
	return s.reply(true, reply)
}

func (s *Service) reply(headOnly bool, reply *Reply) error {
	d := s.state.Document()
	if !s.state.Synced() || d.Revision == 0 && !headOnly {
		return errors.NotYetAvailablef("rules document")
	}
	reply.Hash = d.Hash
	if headOnly {
		d.Text = ""
	}
	var err error
	reply.Document, err = d.Encode()
	return errors.Trace(err)
}

// PeerRelayClient implements RelayClient with the RPCs between instances.
type PeerRelayClient struct {
	// Caller calls other instances.
	Caller peer.Caller
	// Relays returns the live relays of all regions.
	Relays func() []model.InstanceID
	// Self is this instance, which is not called.
	Self model.InstanceID
}

var _ RelayClient = (*PeerRelayClient)(nil)

// Heads implements RelayClient.
func (c *PeerRelayClient) Heads(ctx context.Context) ([]RelayHead, int) {
	return c.callAll(func(to model.InstanceID) (Head, error) {
		return c.head(ctx, to, "Fetch", FetchArgs{HeadOnly: true})
	})
}

// Offer implements RelayClient. A relay that is still behind after a delta is
// sent the full document.
func (c *PeerRelayClient) Offer(ctx context.Context, base, d Document) ([]RelayHead, int) {
	full := encodeNews(d, nil)
	delta := encodeNews(d, appendDelta(nil, newDocumentDelta(base, d), len(d.Text)))
	return c.callAll(func(to model.InstanceID) (Head, error) {
		h, err := c.head(ctx, to, "Offer", OfferArgs{News: delta})
		if err != nil || h.relate(d.Head) != older || len(delta) == len(full) {
			return h, err
		}
		return c.head(ctx, to, "Offer", OfferArgs{News: full})
	})
}

// head calls a method of Service and returns the head in its reply.
func (c *PeerRelayClient) head(ctx context.Context, to model.InstanceID, method string, args any) (Head, error) {
	var r Reply
	if err := c.call(ctx, to, method, args, &r); err != nil {
		return Head{}, errors.Trace(err)
	}
	return r.head()
}

// Fetch implements RelayClient.
func (c *PeerRelayClient) Fetch(ctx context.Context, from model.InstanceID) (Document, error) {
	var r Reply
	if err := c.call(ctx, from, "Fetch", FetchArgs{}, &r); err != nil {
		return Document{}, errors.Trace(err)
	}
	d, err := Decode(r.Document)
	if err == nil && d.Hash != r.Hash {
		err = errors.Annotate(ErrMalformed, "hash")
	}
	return d, errors.Trace(err)
}

func (c *PeerRelayClient) otherRelays() []model.InstanceID {
	return slices.DeleteFunc(slices.Clone(c.Relays()), func(id model.InstanceID) bool { return id == c.Self })
}

func (c *PeerRelayClient) call(ctx context.Context, to model.InstanceID, method string, args any, r *Reply) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return c.Caller.Call(ctx, to, ServiceName+"."+method, args, r)
}

// callAll calls all other relays concurrently. It returns the heads of those that
// responded and the number of relays called.
func (c *PeerRelayClient) callAll(call func(to model.InstanceID) (Head, error)) ([]RelayHead, int) {
	others := c.otherRelays()
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		heads []RelayHead
	)
	for _, id := range others {
		wg.Go(func() {
			h, err := call(id)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			heads = append(heads, RelayHead{From: id, Head: h})
		})
	}
	wg.Wait()
	return heads, len(others)
}

// head decodes a reply without text.
func (r Reply) head() (Head, error) {
	var d Document
	if len(r.Document) > maxHeadBytes {
		return Head{}, errors.Annotatef(ErrMalformed, "head of %d bytes is too large", len(r.Document))
	}
	if err := json.Unmarshal(r.Document, &d); err != nil {
		return Head{}, errors.Annotate(ErrMalformed, err.Error())
	}
	if d.Revision == 0 {
		return Head{}, nil
	}
	d.Hash = r.Hash
	return d.Head, d.check()
}

// maxHeadBytes limits the JSON form of a document without its text.
const maxHeadBytes = rules.EnvelopeBytes
