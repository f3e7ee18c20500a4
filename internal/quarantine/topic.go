package quarantine

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

var _ membership.Topic = (*Quarantine)(nil)

// wireReport is a report as it is sent to other instances. It carries its age
// instead of its time, so that the clocks of the instances need not agree.
type wireReport struct {
	ID       uint64
	Age      time.Duration
	FP       uint64
	Endpoint model.EndpointID
	Cleared  bool
}

// maxEncodedBytes bounds the encoded reports of another instance. It allows 40
// bytes per report besides the endpoint ID.
const maxEncodedBytes = maxReports * (maxEndpointBytes + 40)

// Name implements membership.Topic.
func (q *Quarantine) Name() string { return "quarantine" }

// Digest implements membership.Topic. The digest is the number of reports and the
// exclusive or of their random IDs.
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

// News implements membership.Topic. If the digests differ it returns all reports,
// since there are few.
func (q *Quarantine) News(digest []byte) []byte { return encode(q.reportsFor(digest)) }

// Recent returns the reports of the last time, for instances that have the earlier ones.
func (q *Quarantine) Recent(within time.Duration) []byte {
	reports := q.reportsFor(nil)
	return encode(slices.DeleteFunc(reports, func(r wireReport) bool { return r.Age > within }))
}

// encode encodes reports, or returns nil if there are none.
func encode(reports []wireReport) []byte {
	if len(reports) == 0 {
		return nil
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(reports); err != nil {
		return nil
	}
	return buf.Bytes()
}

// reportsFor returns all reports, or nil if the digest equals that of this
// instance.
func (q *Quarantine) reportsFor(digest []byte) []wireReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire()
	if bytes.Equal(digest, q.digest()) {
		return nil
	}
	now := q.now()
	reports := make([]wireReport, 0, len(q.reports))
	for _, r := range q.reports {
		reports = append(reports, wireReport{r.id, now.Sub(r.at), r.fp, r.endpoint, r.cleared})
	}
	return reports
}

// Merge implements membership.Topic.
func (q *Quarantine) Merge(encoded []byte) (bool, error) {
	if len(encoded) > maxEncodedBytes {
		return false, errors.NotValidf("news of %d bytes", len(encoded))
	}
	var reports []wireReport
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&reports); err != nil {
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

// merge adds the reports of another instance and reports whether any was new.
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
