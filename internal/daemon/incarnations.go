package daemon

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

// keepIncarnation is how long an incarnation is remembered after its record was
// last seen. It is longer than the four key epochs of 5 minutes in which
// others ask for its keys.
const keepIncarnation = 25 * time.Minute

// incarnations remembers what processes have announced about their keys,
// because a restarted instance overwrites its record in the membership.
type incarnations struct {
	mu sync.Mutex
	m  map[incarnation]announced
}

type incarnation struct {
	id  model.InstanceID
	inc model.Incarnation
}

// announced is what a process has last said about its keys.
type announced struct {
	prefix    string
	successor model.InstanceID
	seen      time.Time
}

func (p *incarnations) successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.m[incarnation{id, inc}]
	return a.successor, a.successor != ""
}

func (p *incarnations) prefix(id model.InstanceID, inc model.Incarnation) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[incarnation{id, inc}].prefix
}

// note takes the present records of the members.
func (p *incarnations) note(now time.Time, members []*membership.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[incarnation]announced)
	}
	for _, s := range members {
		p.m[incarnation{s.ID, s.Incarnation}] = announced{s.KeyPrefix, s.Successor, now}
	}
	for k, a := range p.m {
		if now.Sub(a.seen) > keepIncarnation {
			delete(p.m, k)
		}
	}
}
