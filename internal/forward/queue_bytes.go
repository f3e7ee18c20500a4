package forward

// byteQueue holds bytes that were read ahead. Its memory is used again until release, so
// that a long body leaves no garbage.
type byteQueue struct {
	data []byte
	off  int
}

func (q *byteQueue) len() int { return len(q.data) - q.off }

// push appends the bytes.
func (q *byteQueue) push(p []byte) {
	if q.off > 0 && len(q.data)+len(p) > cap(q.data) {
		q.data = q.data[:copy(q.data, q.data[q.off:])]
		q.off = 0
	}
	q.data = append(q.data, p...)
}

// pop moves the first bytes to p.
func (q *byteQueue) pop(p []byte) int {
	n := copy(p, q.data[q.off:])
	q.off += n
	if q.off == len(q.data) {
		q.data, q.off = q.data[:0], 0
	}
	return n
}

// release frees the memory if no bytes are held.
func (q *byteQueue) release() {
	if q.len() == 0 {
		*q = byteQueue{}
	}
}
