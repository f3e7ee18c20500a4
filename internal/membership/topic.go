// Package membership knows which entry instances are alive, suspect, leaving
// or dead, and spreads news between them by gossip.
package membership

// Topic is one kind of news that gossip carries for another package. Its
// methods are called concurrently. News of all topics together in one message
// is bounded by MaxNewsBytes.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Digest describes the local state in at most MaxDigestBytes bytes.
	Digest() []byte
	// News returns what an instance with the given digest lacks, or nil.
	News(digest []byte) []byte
	// Merge takes the news of a neighbour and reports whether the local state
	// changed, so that it is passed on. Malformed news is an error.
	Merge(news []byte) (changed bool, err error)
}

const (
	// MaxDigestBytes bounds a topic's digest.
	MaxDigestBytes = 64
	// MaxNewsBytes bounds the news in one message. It fits the largest value
	// of the store and its envelope.
	MaxNewsBytes = 1<<20 + 64<<10
)
