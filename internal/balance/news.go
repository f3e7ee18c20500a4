package balance

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// newsTTL is how long an ejection is passed on. Within it the news reaches
	// all instances several times over; older news says little.
	newsTTL = 10 * time.Second
	// maxNews bounds the reports that are kept.
	maxNews = 512
	// maxEndpointIDBytes bounds the name of an endpoint in a report.
	maxEndpointIDBytes = 128
)

// EjectionNews spreads which endpoints instances have ejected, so that the
// others probe them before they lose requests there. It implements
// membership.Topic. Its methods are safe for concurrent use.
type EjectionNews struct {
	now    func() time.Time
	onNews func(model.EndpointID)

	mu      sync.Mutex
	rand    *rand.Rand
	reports map[uint64]ejection
	// told holds the own ejections that were reported.
	told map[model.EndpointID]bool
}

type ejection struct {
	endpoint model.EndpointID
	at       time.Time
}

// wireEjection is a report in a message. It carries its age, because the clocks
// of instances differ.
type wireEjection struct {
	ID       uint64           `json:"i"`
	Endpoint model.EndpointID `json:"e"`
	AgeMS    int64            `json:"a"`
}

// NewEjectionNews returns a topic without reports. onNews is called for each
// endpoint that another instance has ejected. The generator names reports.
func NewEjectionNews(r *rand.Rand, onNews func(model.EndpointID)) *EjectionNews {
	return &EjectionNews{
		now: time.Now, onNews: onNews, rand: r,
		reports: make(map[uint64]ejection), told: make(map[model.EndpointID]bool),
	}
}

// Report takes the endpoints that this instance has ejected now. It reports
// whether there is news for others: an ejection that nobody has reported.
func (n *EjectionNews) Report(ejected []model.EndpointID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.expire(now)
	current := make(map[model.EndpointID]bool, len(ejected))
	news := false
	for _, id := range ejected {
		current[id] = true
		if !n.told[id] && !n.known(id, now) && len(n.reports) < maxNews {
			n.reports[n.rand.Uint64()] = ejection{id, now}
			news = true
		}
	}
	n.told = current
	return news
}

// Name is part of membership.Topic.
func (n *EjectionNews) Name() string { return "ejections" }

// Digest is part of membership.Topic. It is empty without reports.
func (n *EjectionNews) Digest() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum uint64
	count := 0
	now := n.now()
	for id, e := range n.reports {
		if now.Sub(e.at) < newsTTL {
			sum ^= id
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return binary.LittleEndian.AppendUint64(nil, sum)
}

// News is part of membership.Topic.
func (n *EjectionNews) News(digest []byte) []byte {
	if own := n.Digest(); own == nil || string(own) == string(digest) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var out []wireEjection
	for id, e := range n.reports {
		if age := now.Sub(e.at); age < newsTTL {
			out = append(out, wireEjection{id, e.endpoint, age.Milliseconds()})
		}
	}
	news, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	return news
}

// Merge is part of membership.Topic.
func (n *EjectionNews) Merge(news []byte) (bool, error) {
	var in []wireEjection
	if err := json.Unmarshal(news, &in); err != nil {
		return false, errors.Annotate(err, "ejection news")
	}
	fresh := n.take(in)
	for _, id := range fresh {
		n.onNews(id)
	}
	return len(fresh) > 0, nil
}

// take keeps the reports that are news and returns their endpoints.
func (n *EjectionNews) take(in []wireEjection) []model.EndpointID {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.expire(now)
	var fresh []model.EndpointID
	for _, w := range in {
		age := time.Duration(w.AgeMS) * time.Millisecond
		_, known := n.reports[w.ID]
		if known || age < 0 || age >= newsTTL || w.Endpoint == "" || len(w.Endpoint) > maxEndpointIDBytes || len(n.reports) >= maxNews {
			continue
		}
		n.reports[w.ID] = ejection{w.Endpoint, now.Add(-age)}
		fresh = append(fresh, w.Endpoint)
	}
	return fresh
}

// known reports whether an ejection of the endpoint is being passed on.
func (n *EjectionNews) known(id model.EndpointID, now time.Time) bool {
	for _, e := range n.reports {
		if e.endpoint == id && now.Sub(e.at) < newsTTL {
			return true
		}
	}
	return false
}

// expire drops reports some time after they are no longer passed on, so that a
// late copy is not taken for news.
func (n *EjectionNews) expire(now time.Time) {
	for id, e := range n.reports {
		if now.Sub(e.at) >= 2*newsTTL {
			delete(n.reports, id)
		}
	}
}
