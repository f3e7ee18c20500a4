package steering

import "time"

// rankUsage tracks which ranks use a service. The queues of its endpoints are
// reserved for the most urgent of them.
type rankUsage struct {
	// lastSeen is the time of the last request of each rank.
	lastSeen [maxRanks]time.Time
}

const (
	// maxRanks is the number of ranks that are distinguished.
	maxRanks = 4
	// rankActiveTime is how long a rank counts as using the service after its
	// last request.
	rankActiveTime = 2 * time.Second
)

func (u *rankUsage) record(rank int, now time.Time) {
	u.lastSeen[min(max(rank, 0), maxRanks-1)] = now
}

// outranked reports whether a more urgent rank uses the service.
func (u *rankUsage) outranked(rank int, now time.Time) bool {
	for i := range min(max(rank, 0), maxRanks-1) {
		if at := u.lastSeen[i]; !at.IsZero() && now.Sub(at) < rankActiveTime {
			return true
		}
	}
	return false
}
