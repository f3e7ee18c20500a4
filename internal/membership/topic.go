// Package membership tracks which entry instances are alive, suspect, leaving
// or dead. Its gossip also spreads state of other packages between the
// instances, as topics.
package membership

// Topic is replicated state of another package that is spread by gossip. News
// is the encoded part of the state that another instance lacks. The news of all
// topics in one message has at most MaxNewsBytes bytes. The methods are called
// concurrently.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Digest returns a summary of the local state of at most MaxDigestBytes
	// bytes.
	Digest() []byte
	// News returns the part of the local state that an instance with the given
	// digest lacks, or nil.
	News(digest []byte) []byte
	// Merge merges news from another instance into the local state and reports
	// whether that changed, in which case the change is passed on to the
	// neighbours. It returns an error for malformed news.
	Merge(news []byte) (changed bool, err error)
}

const (
	// MaxDigestBytes is the maximum size of a topic's digest.
	MaxDigestBytes = 64
	// MaxNewsBytes is the maximum size of the news in one message. The largest
	// value of the store fits into it together with its encoding.
	MaxNewsBytes = 1<<20 + 64<<10
)
