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
	// NoticesTopic is the name of the topic of endpoint notices.
	NoticesTopic = "endpoints"
	// NoticeTTL is how long a notice is kept. An endpoint that is leaving for
	// longer is in the platform's list as such, or gone from it.
	NoticeTTL = time.Hour
	// maxNotices bounds the notices that are kept.
	maxNotices = 8192
	// noticeBuckets have 4 bytes each in the digest.
	noticeBuckets = MaxDigestBytes / 4
)

// Notice says that an endpoint is leaving or back.
type Notice struct {
	Endpoint model.EndpointID
	Leaving  bool
	// Version is the time of the report in seconds since the Unix epoch by the
	// reporter's clock, or one more than the version known there if that is
	// larger. A plain counter would start again after NoticeTTL and lose
	// against an old notice that others still keep; a plain time would lose
	// against the last report by a clock that is ahead.
	Version int64
}

// newer orders the notices of an endpoint. If two instances report opposite
// changes in the same second, leaving wins: to send no new work to an endpoint
// that stays is the smaller fault.
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

// Notices is the topic that spreads endpoint notices. Its zero value is not
// usable.
type Notices struct {
	// onChange is called without locks held, and may be called concurrently.
	onChange func(Notice)

	mu      sync.RWMutex
	all     map[model.EndpointID]Notice
	buckets [noticeBuckets]uint32
}

// NewNotices returns an empty topic. onChange is called with each notice that
// is news here, also with those that Report makes; it may be nil.
func NewNotices(onChange func(Notice)) *Notices {
	if onChange == nil {
		onChange = func(Notice) {}
	}
	return &Notices{onChange: onChange, all: map[model.EndpointID]Notice{}}
}

// Report records a change of an endpoint that this instance has learned from
// the platform or the endpoint. Only a change is reported, not each reading of
// the list: a list that lags behind would otherwise withdraw newer notices. It
// reports whether this is news; Node.Notify(NoticesTopic) then spreads it.
func (t *Notices) Report(now time.Time, id model.EndpointID, leaving bool) bool {
	t.mu.Lock()
	old, known := t.all[id]
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
	return t.all[id].Leaving
}

// List returns the notices, sorted by endpoint.
func (t *Notices) List() []Notice {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Notice, 0, len(t.all))
	for _, n := range t.all {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Notice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// Expire drops notices that are older than NoticeTTL.
func (t *Notices) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.all {
		if n.expired(now) {
			t.buckets[noticeBucket(id)] ^= n.hash()
			delete(t.all, id)
		}
	}
}

func (n Notice) expired(now time.Time) bool {
	return now.Sub(time.Unix(n.Version, 0)) >= NoticeTTL
}

func noticeBucket(id model.EndpointID) int {
	return int(xxhash.Sum64String(string(id)) % noticeBuckets)
}

// put stores a notice if it is newer. The caller holds t.mu.
func (t *Notices) put(now time.Time, n Notice) bool {
	old, known := t.all[n.Endpoint]
	if known && !n.newer(old) || !known && (len(t.all) >= maxNotices || n.expired(now)) {
		return false
	}
	b := noticeBucket(n.Endpoint)
	if known {
		t.buckets[b] ^= old.hash()
	}
	t.buckets[b] ^= n.hash()
	t.all[n.Endpoint] = n
	return true
}

// Name implements Topic.
func (t *Notices) Name() string { return NoticesTopic }

// Digest implements Topic. It is empty without notices.
func (t *Notices) Digest() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.all) == 0 {
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
	for id, n := range t.all {
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
	var fresh []Notice
	t.mu.Lock()
	for _, n := range list {
		if n.Endpoint == "" || len(n.Endpoint) > maxNameBytes {
			err = errors.NotValidf("endpoint notice for %.32q", n.Endpoint)
			continue
		}
		if t.put(now, n) {
			fresh = append(fresh, n)
		}
	}
	t.mu.Unlock()
	for _, n := range fresh {
		t.onChange(n)
	}
	return len(fresh) > 0, err
}
