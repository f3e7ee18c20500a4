package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// BucketCount is the number of buckets of the table's digest. With 4,900
	// members a bucket has 38 records on average, about 4 KB.
	BucketCount = 128
	// DigestBytes is the size of the table's digest, for any number of
	// members. It is sent when two instances become neighbours and when their
	// sums differ; otherwise only the sum is sent.
	DigestBytes = 4 * BucketCount
	// maxRecordBytes is the maximum size of the records in one message. A record
	// has about 150 bytes, so that the table of 4,900 members takes two
	// messages. The remaining bytes up to peer.MaxMessageBytes are for news.
	maxRecordBytes = 768 << 10
	// fixedRecordBytes is an upper bound of the encoded size of a record without
	// its text fields.
	fixedRecordBytes = 112
)

func bucketOf(id model.InstanceID) int {
	return int(xxhash.Sum64String(string(id)) % BucketCount)
}

// toggleInBucket adds the hash of a row to its bucket or, called again, removes
// it. Dead members are left out, because instances delete their records at
// different times.
func (t *Table) toggleInBucket(r *row) {
	if r.member.ID != "" && r.member.Health != HealthDead {
		t.buckets[bucketOf(r.member.ID)] ^= r.member.hash()
	}
}

// Digest returns the digest of the table: the hashes of all buckets.
func (t *Table) Digest() []byte {
	buf := make([]byte, 0, DigestBytes)
	for _, b := range t.buckets {
		buf = binary.LittleEndian.AppendUint32(buf, b)
	}
	return buf
}

// Sum returns a hash of the table's digest, which leaves out dead members.
func (t *Table) Sum() uint32 { return uint32(xxhash.Sum64(t.Digest())) }

// Seq returns the change counter, which never decreases.
func (t *Table) Seq() uint64 { return t.seq }

// Differing returns the records of the buckets in which this table differs
// from a table with the given digest, and whether buckets were left out because
// of the size of their records. Buckets are returned as a whole, so that they are
// equal after a transfer and each message makes progress.
func (t *Table) Differing(digest []byte) (records []Member, more bool) {
	if len(digest) != DigestBytes {
		return nil, false
	}
	size := 0
	for _, bucket := range t.differingBuckets(digest) {
		for _, r := range bucket {
			size += r.member.size()
		}
		if size > maxRecordBytes && len(records) > 0 {
			return records, true
		}
		for _, r := range bucket {
			records = append(records, r.member)
		}
	}
	return records, false
}

func (t *Table) differingBuckets(digest []byte) [][]*row {
	var differs [BucketCount]bool
	for i, b := range t.buckets {
		differs[i] = b != binary.LittleEndian.Uint32(digest[4*i:])
	}
	buckets := make([][]*row, BucketCount)
	for id, r := range t.rows {
		if b := bucketOf(id); differs[b] {
			buckets[b] = append(buckets[b], r)
		}
	}
	return buckets
}

// size returns an upper bound of the encoded size of a record.
func (m *Member) size() int {
	return fixedRecordBytes + len(m.ID) + len(m.Region) + len(m.Domain) + len(m.Successor) + len(m.KeyPrefix)
}

func totalSize(records []Member) int {
	size := 0
	for i := range records {
		size += records[i].size()
	}
	return size
}

// Since returns the records that changed after the given value of the change
// counter, except those that the given neighbour is known to have. It also
// returns the value of the counter up to which the records are complete.
func (t *Table) Since(seq uint64, except model.InstanceID) ([]Member, uint64) {
	var found []*row
	if len(t.changeLog) > 0 && seq+1 >= t.changeLog[0].seq {
		found = t.recentChanges(seq)
	} else {
		found = t.scanChanges(seq)
	}
	var records []Member
	size := 0
	for i, r := range found {
		if r.heldBy(except) {
			continue
		}
		if size += r.member.size(); size > maxRecordBytes {
			return records, found[i-1].changed
		}
		records = append(records, r.member)
	}
	return records, t.seq
}

// recentChanges returns the rows that changed after seq, from changeLog.
func (t *Table) recentChanges(seq uint64) []*row {
	var found []*row
	for i := len(t.changeLog) - 1; i >= 0 && t.changeLog[i].seq > seq; i-- {
		c := t.changeLog[i]
		if r := t.rows[c.id]; r != nil && r.changed == c.seq {
			found = append(found, r)
		}
	}
	slices.Reverse(found)
	return found
}

// scanChanges returns the rows that changed after seq, by a scan of the table.
func (t *Table) scanChanges(seq uint64) []*row {
	var found []*row
	for _, r := range t.rows {
		if r.changed > seq {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *row) int { return int(a.changed) - int(b.changed) })
	return found
}
