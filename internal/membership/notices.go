package membership

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/gob"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// NoticesTopic is the topic name of Notices.
	NoticesTopic = "endpoints"
	// NoticeTTL is how long a notice is kept. By then the platform's list marks
	// a leaving endpoint as leaving or no longer has it.
	NoticeTTL = time.Hour
	// maxNotices is the maximum number of notices that are kept.
	maxNotices = 8192
	// noticeBuckets is the number of buckets of the digest, at 4 bytes each.
	noticeBuckets = MaxDigestBytes / 4
)

// Notice announces that an endpoint is leaving or no longer leaving.
type Notice struct {
	Endpoint model.EndpointID
	Leaving  bool
	// Version is the time of the report in seconds since the Unix epoch by the
	// reporter's clock, or the last version known to the reporter plus one if
	// that is larger. A plain counter would restart after NoticeTTL and lose
	// against an old notice that other instances still keep; a plain time would
	// lose against a previous report by a clock that is ahead.
	Version int64
}

// newer reports whether a notice replaces an old one of the same endpoint. The
// larger version wins. If two instances report opposite changes in the same
// second, leaving wins: sending no new requests to an endpoint that stays is the
// lesser fault.
func (n Notice) newer(old Notice) bool {
	if n.Version != old.Version {
		return n.Version > old.Version
	}
	return n.Leaving && !old.Leaving
}

func (n Notice) hash() uint32 {
	buf := append(make([]byte, 0, maxNameBytes+24), n.Endpoint...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(n.Version))
	if n.Leaving {
		buf = append(buf, 1)
	}
	return uint32(xxhash.Sum64(buf))
}

// Notices is the topic of endpoint notices. Use NewNotices to create one.
type Notices struct {
	// onChange is called without locks held and possibly concurrently.
	onChange func(Notice)

	mu         sync.RWMutex
	byEndpoint map[model.EndpointID]Notice
	buckets    [noticeBuckets]uint32
}

// NewNotices returns an empty topic. onChange is called with each notice that is
// newly stored, whether by Report or by Merge; it may be nil.
func NewNotices(onChange func(Notice)) *Notices {
	if onChange == nil {
		onChange = func(Notice) {}
	}
	return &Notices{onChange: onChange, byEndpoint: map[model.EndpointID]Notice{}}
}

// Report records whether an endpoint is leaving, as this instance has learned from
// the platform or the endpoint. Only changes must be reported, not each read of
// the platform's list: a list that lags behind would otherwise revert newer
// notices. Report returns whether a new notice was stored, in which case
// Node.Notify(NoticesTopic) spreads it.
func (t *Notices) Report(now time.Time, id model.EndpointID, leaving bool) bool {
	t.mu.Lock()
	old, known := t.byEndpoint[id]
	if id == "" || len(id) > maxNameBytes || old.Leaving == leaving && (known || !leaving) {
		t.mu.Unlock()
		return false
	}
	n := Notice{Endpoint: id, Leaving: leaving, Version: max(old.Version+1, now.Unix())}
	kept := t.put(now, n)
	t.mu.Unlock()
	if kept {
		t.onChange(n)
	}
	return kept
}

// Leaving reports whether an endpoint is known to be leaving.
func (t *Notices) Leaving(id model.EndpointID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byEndpoint[id].Leaving
}

// List returns the notices, sorted by endpoint.
func (t *Notices) List() []Notice {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Notice, 0, len(t.byEndpoint))
	for _, n := range t.byEndpoint {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Notice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// Expire implements Expirer. It deletes notices that are older than NoticeTTL.
func (t *Notices) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.byEndpoint {
		if n.expired(now) {
			t.buckets[noticeBucket(id)] ^= n.hash()
			delete(t.byEndpoint, id)
		}
	}
}

func (n Notice) expired(now time.Time) bool {
	return now.Sub(time.Unix(n.Version, 0)) >= NoticeTTL
}

func noticeBucket(id model.EndpointID) int {
	return int(xxhash.Sum64String(string(id)) % noticeBuckets)
}

// put stores a notice if it is newer than the stored one, and reports whether it
// did. The first notice of an endpoint is not stored if it is expired or if there
// are maxNotices already. The caller must hold t.mu.
func (t *Notices) put(now time.Time, n Notice) bool {
	old, known := t.byEndpoint[n.Endpoint]
	if known && !n.newer(old) || !known && (len(t.byEndpoint) >= maxNotices || n.expired(now)) {
		return false
	}
	b := noticeBucket(n.Endpoint)
	if known {
		t.buckets[b] ^= old.hash()
	}
	t.buckets[b] ^= n.hash()
	t.byEndpoint[n.Endpoint] = n
	return true
}

// Name implements Topic.
func (t *Notices) Name() string { return NoticesTopic }

// Digest implements Topic. It returns nil without notices.
func (t *Notices) Digest() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.byEndpoint) == 0 {
		return nil
	}
	digest := make([]byte, 0, MaxDigestBytes)
	for _, b := range t.buckets {
		digest = binary.LittleEndian.AppendUint32(digest, b)
	}
	return digest
}

// News implements Topic. It returns the notices of the buckets that differ.
func (t *Notices) News(digest []byte) []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(digest) != MaxDigestBytes {
		digest = make([]byte, MaxDigestBytes)
	}
	var list []Notice
	for id, n := range t.byEndpoint {
		b := noticeBucket(id)
		if t.buckets[b] != binary.LittleEndian.Uint32(digest[4*b:]) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b Notice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(list); err != nil {
		return nil
	}
	return buf.Bytes()
}

// Merge implements Topic.
func (t *Notices) Merge(news []byte) (changed bool, err error) {
	var list []Notice
	if err := gob.NewDecoder(bytes.NewReader(news)).Decode(&list); err != nil {
		return false, errors.Annotate(err, "decoding endpoint notices")
	}
	now := time.Now()
	var stored []Notice
	t.mu.Lock()
	for _, n := range list {
		if n.Endpoint == "" || len(n.Endpoint) > maxNameBytes {
			err = errors.NotValidf("endpoint notice for %.32q", n.Endpoint)
			continue
		}
		if t.put(now, n) {
			stored = append(stored, n)
		}
	}
	t.mu.Unlock()
	for _, n := range stored {
		t.onChange(n)
	}
	return len(stored) > 0, err
}
