package daemon

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

// incarnationTTL is how long the announcement of an incarnation is kept after
// its member record was last seen. It is longer than the four key epochs of 5
// minutes in which other instances may query its keys.
const incarnationTTL = 25 * time.Minute

// incarnationHistory keeps what each incarnation of an instance has announced
// about its keys, because a restarted instance overwrites its member record.
type incarnationHistory struct {
	mu sync.Mutex
	m  map[incarnationKey]keyAnnouncement
}

type incarnationKey struct {
	id  model.InstanceID
	inc model.Incarnation
}

// keyAnnouncement is what an incarnation has last announced about its keys.
type keyAnnouncement struct {
	prefix    string
	successor model.InstanceID
	seen      time.Time
}

func (p *incarnationHistory) successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.m[incarnationKey{id, inc}]
	return a.successor, a.successor != ""
}

func (p *incarnationHistory) prefix(id model.InstanceID, inc model.Incarnation) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[incarnationKey{id, inc}].prefix
}

// update stores the announcements in the current member records and removes the
// expired ones.
func (p *incarnationHistory) update(now time.Time, members []*membership.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[incarnationKey]keyAnnouncement)
	}
	for _, s := range members {
		p.m[incarnationKey{s.ID, s.Incarnation}] = keyAnnouncement{s.KeyPrefix, s.Successor, now}
	}
	for k, a := range p.m {
		if now.Sub(a.seen) > incarnationTTL {
			delete(p.m, k)
		}
	}
}
