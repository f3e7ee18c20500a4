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

// peerTimeout bounds one call to another instance.
const peerTimeout = time.Second

// RelayHead is what one relay has in force.
type RelayHead struct {
	From model.InstanceID
	Head Head
}

// RelayClient asks the relays. A relay that is not yet informed does not answer; one
// that knows that there is no document answers with revision 0. This instance is not among those asked.
type RelayClient interface {
	// Heads returns what the relays that answer have in force, and how many
	// were asked.
	Heads(ctx context.Context) (answers []RelayHead, asked int)
	// Offer gives the relays a document, to those with its base as a delta,
	// and returns what those that answer have in force after it. Without a
	// known base, base is zero.
	Offer(ctx context.Context, base, d Document) (answers []RelayHead, asked int)
	// Fetch returns the document in force at an instance.
	Fetch(ctx context.Context, from model.InstanceID) (Document, error)
}

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Rules"

// Service answers other instances. Its methods have the form that net/rpc
// needs.
type Service struct {
	state *State
}

// NewService returns the service of one instance.
func NewService(s *State) *Service { return &Service{state: s} }

// FetchArgs are the arguments of Service.Fetch.
type FetchArgs struct {
	// HeadOnly leaves out the text.
	HeadOnly bool
}

// Reply holds the document in force, without its text where not asked for.
// Document is the JSON form, which the store's bound on values also bounds.
type Reply struct {
	Document []byte
	Hash     Hash
}

// Fetch returns the document in force.
func (s *Service) Fetch(args FetchArgs, reply *Reply) error {
	return s.reply(args.HeadOnly, reply)
}

// OfferArgs are the arguments of Service.Offer.
type OfferArgs struct {
	// News is a message of the gossip topic.
	News []byte
}

// Offer puts a document in force if it is newer than the present one and
// descends from it, and returns the head of what is in force afterwards. A
// delta that does not fit changes nothing.
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

// PeerRelayClient is the Fleet behind the calls between instances.
type PeerRelayClient struct {
	// Caller reaches other instances.
	Caller peer.Caller
	// Relays lists the live relays of all regions.
	Relays func() []model.InstanceID
	// Self is left out of those asked.
	Self model.InstanceID
}

var _ RelayClient = (*PeerRelayClient)(nil)

// Heads implements Fleet.
func (f *PeerRelayClient) Heads(ctx context.Context) ([]RelayHead, int) {
	return f.each(func(to model.InstanceID) (Head, error) {
		return f.head(ctx, to, "Fetch", FetchArgs{HeadOnly: true})
	})
}

// Offer implements Fleet.
func (f *PeerRelayClient) Offer(ctx context.Context, base, d Document) ([]RelayHead, int) {
	whole := encodeNews(d, nil)
	delta := encodeNews(d, appendStep(nil, newStep(base, d), len(d.Text)))
	return f.each(func(to model.InstanceID) (Head, error) {
		h, err := f.head(ctx, to, "Offer", OfferArgs{News: delta})
		if err != nil || h.relate(d.Head) != older || len(delta) == len(whole) {
			return h, err
		}
		return f.head(ctx, to, "Offer", OfferArgs{News: whole})
	})
}

// head makes a call that returns a head.
func (f *PeerRelayClient) head(ctx context.Context, to model.InstanceID, method string, args any) (Head, error) {
	var r Reply
	if err := f.call(ctx, to, method, args, &r); err != nil {
		return Head{}, errors.Trace(err)
	}
	return r.head()
}

// Fetch implements Fleet.
func (f *PeerRelayClient) Fetch(ctx context.Context, from model.InstanceID) (Document, error) {
	var r Reply
	if err := f.call(ctx, from, "Fetch", FetchArgs{}, &r); err != nil {
		return Document{}, errors.Trace(err)
	}
	d, err := Decode(r.Document)
	if err == nil && d.Hash != r.Hash {
		err = errors.Annotate(ErrMalformed, "hash")
	}
	return d, errors.Trace(err)
}

func (f *PeerRelayClient) others() []model.InstanceID {
	return slices.DeleteFunc(slices.Clone(f.Relays()), func(id model.InstanceID) bool { return id == f.Self })
}

func (f *PeerRelayClient) call(ctx context.Context, to model.InstanceID, method string, args any, r *Reply) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return f.Caller.Call(ctx, to, ServiceName+"."+method, args, r)
}

// each asks all other relays at once.
func (f *PeerRelayClient) each(ask func(to model.InstanceID) (Head, error)) ([]RelayHead, int) {
	others := f.others()
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []RelayHead
	)
	for _, id := range others {
		wg.Go(func() {
			h, err := ask(id)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, RelayHead{From: id, Head: h})
		})
	}
	wg.Wait()
	return answers, len(others)
}

// head reads a reply without text.
func (r Reply) head() (Head, error) {
	var d Document
	if len(r.Document) > maxHeadBytes {
		return Head{}, errors.Annotatef(ErrMalformed, "head of %d bytes", len(r.Document))
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

// maxHeadBytes bounds a document without its text.
const maxHeadBytes = rules.EnvelopeBytes
