package transport

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// poolUnused is after which time without a request an endpoint's pool is
// forgotten. Its idle connections have ended by then.
const poolUnused = time.Minute

// pools holds one connection pool for each endpoint, so that one can be closed
// without the others.
type pools struct {
	create func() *http.Transport

	mu        sync.Mutex
	byID      map[model.EndpointID]*pool
	nextSweep time.Time
}

type pool struct {
	addr    netip.AddrPort
	carrier *http.Transport
	used    time.Time
}

func newPools(create func() *http.Transport) *pools {
	return &pools{create: create, byID: map[model.EndpointID]*pool{}}
}

// get returns the endpoint's pool. An endpoint that moved gets a new one.
func (p *pools) get(to model.Endpoint) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	e := p.byID[to.ID]
	if e != nil && e.addr != to.Addr {
		e.carrier.CloseIdleConnections()
		e = nil
	}
	if e == nil {
		e = &pool{addr: to.Addr, carrier: p.create()}
		p.byID[to.ID] = e
	}
	e.used = now
	return e.carrier
}

// drop closes the pool unless it has been replaced. Requests in flight on it
// end on their own; their connections are not used again.
func (p *pools) drop(id model.EndpointID, carrier *http.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byID[id]; e != nil && e.carrier == carrier {
		delete(p.byID, id)
	}
	carrier.CloseIdleConnections()
}

func (p *pools) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(poolUnused)
	for id, e := range p.byID {
		if now.Sub(e.used) > poolUnused {
			e.carrier.CloseIdleConnections()
			delete(p.byID, id)
		}
	}
}

func (p *pools) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.byID {
		e.carrier.CloseIdleConnections()
	}
	clear(p.byID)
}
