package quarantine

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

var _ membership.Topic = (*Quarantine)(nil)

// wireReport is a report on its way to a neighbour. It carries its age, so
// that the clocks of two instances need not agree.
type wireReport struct {
	ID       uint64
	Age      time.Duration
	FP       uint64
	Endpoint model.EndpointID
	Cleared  bool
}

// maxNewsBytes bounds the news of a neighbour.
const maxNewsBytes = maxReports * (maxEndpointBytes + 40)

// Name implements membership.Topic.
func (q *Quarantine) Name() string { return "quarantine" }

// Digest implements membership.Topic: the number of reports and the exclusive
// or of their random names.
func (q *Quarantine) Digest() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire()
	return q.digest()
}

func (q *Quarantine) digest() []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(q.reports)))
	return binary.BigEndian.AppendUint64(out, q.sum)
}

// News implements membership.Topic. There are few reports, so that all are
// sent to an instance that lacks one.
func (q *Quarantine) News(digest []byte) []byte {
	news := q.news(digest)
	if len(news) == 0 {
		return nil
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(news); err != nil {
		return nil
	}
	return buf.Bytes()
}

func (q *Quarantine) news(digest []byte) []wireReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire()
	if bytes.Equal(digest, q.digest()) {
		return nil
	}
	now := q.now()
	news := make([]wireReport, 0, len(q.reports))
	for _, r := range q.reports {
		news = append(news, wireReport{r.id, now.Sub(r.at), r.fp, r.endpoint, r.cleared})
	}
	return news
}

// Merge implements membership.Topic.
func (q *Quarantine) Merge(news []byte) (bool, error) {
	if len(news) > maxNewsBytes {
		return false, errors.NotValidf("news of %d bytes", len(news))
	}
	var reports []wireReport
	if err := gob.NewDecoder(bytes.NewReader(news)).Decode(&reports); err != nil {
		return false, errors.Annotate(err, "crash reports")
	}
	if len(reports) > maxReports {
		return false, errors.NotValidf("news of %d crash reports", len(reports))
	}
	for _, w := range reports {
		if w.Age < 0 || len(w.Endpoint) > maxEndpointBytes {
			return false, errors.NotValidf("crash report of endpoint %q", w.Endpoint)
		}
	}
	return q.merge(reports), nil
}

func (q *Quarantine) merge(reports []wireReport) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	changed := false
	for _, w := range reports {
		r := report{id: w.ID, at: now.Add(-w.Age), fp: w.FP, endpoint: w.Endpoint, cleared: w.Cleared}
		changed = q.add(r) || changed
	}
	if changed {
		q.evaluate()
	}
	return changed
}
