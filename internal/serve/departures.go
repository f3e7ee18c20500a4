package serve

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// An endpoint that is leaving says so in its responses. The instance that has such a
// response tells the others, so that they do not each have to find out with a request.

// departureStats counts the departures of endpoints that the copy of the store has shown.
type departureStats struct {
	mu    sync.Mutex
	count int
	// maxExposure is the longest time after which a request may still have been sent to
	// an endpoint that the store knew to be leaving.
	maxExposure time.Duration
}

// note records a departure that the copy has just shown. It returns how long ago the
// copy was last known to be complete, and how much later than that a request was last
// sent to the endpoint, at sent.
func (s *departureStats) note(unconfirmed time.Duration, sent, now time.Time) (exposure time.Duration) {
	if !sent.IsZero() {
		exposure = max(unconfirmed-now.Sub(sent), 0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.maxExposure = max(s.maxExposure, exposure)
	return exposure
}

func (s *departureStats) vars() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int64{"count": int64(s.count), "max_exposure_ms": s.maxExposure.Milliseconds()}
}

// departuresInterval is the time between two messages of a representative with the
// departures that it knows. There are none while no endpoint has just left.
const departuresInterval = time.Second

// endpointLeaving is called when a response has shown that an endpoint is leaving.
func (in *Instance) endpointLeaving(e steering.Endpoint) {
	in.departed(e.ID, "response")
	in.departuresChanged.Store(true)
}

// departed logs that an endpoint is leaving by its own word, and closes its idle
// connections.
func (in *Instance) departed(id model.EndpointID, source string) {
	in.client.Drop(id)
	in.log.Log(events.EndpointSaidLeaving).Str("endpoint", string(id)).Str("source", source).Send()
}

// sendDepartures sends the known departures to other instances: at once after a
// response has shown one, and regularly if this instance represents its failure domain.
func (in *Instance) sendDepartures(hb *heartbeatState, now time.Time) {
	changed := in.departuresChanged.Swap(false)
	due := now.Sub(hb.lastDepartures) >= departuresInterval && in.members.Represents(in.ownDomain())
	if !changed && !due {
		return
	}
	hb.lastDepartures = now
	if list := in.table.RecentDepartures(now); len(list) > 0 {
		messages, err := fleet.EncodeDepartures(list, false)
		in.sendToGroups(messages, err, changed)
	}
}

// handleDepartures takes over departures that another instance knows. If this instance
// represents its failure domain, it relays news within the domain.
func (in *Instance) handleDepartures(m fleet.Message) {
	now := time.Now()
	news := in.table.MergeDepartures(m.Departures, now)
	for _, id := range news {
		in.departed(id, "instance")
	}
	if len(news) > 0 && !m.Relayed && in.members.Represents(in.ownDomain()) {
		messages, err := fleet.EncodeDepartures(in.table.RecentDepartures(now), true)
		in.send(in.members.SameDomain(), messages, err)
	}
}

// sendDeparturesTo sends the known departures to a new process.
func (in *Instance) sendDeparturesTo(p fleet.Presence) {
	if list := in.table.AllDepartures(time.Now()); len(list) > 0 {
		messages, err := fleet.EncodeDepartures(list, true)
		in.send([]fleet.Presence{p}, messages, err)
	}
}
