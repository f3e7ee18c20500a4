package events

import "github.com/rs/zerolog"

// Events of the process.
var (
	Started = Event{101, "instance started", zerolog.InfoLevel,
		"The process has read its settings and listens on its addresses.",
		"None."}
	Ready = Event{102, "instance ready", zerolog.InfoLevel,
		"A rules revision is in force and the instance takes work.",
		"None."}
	Leaving = Event{103, "instance leaving", zerolog.InfoLevel,
		"A planned stop or a drain has begun. Lookups stop naming the instance.",
		"None. The process exits when its requests in flight have ended."}
	Stopped = Event{104, "instance stopped", zerolog.InfoLevel,
		"The planned stop is complete. The field cut counts requests that were still in flight.",
		"If cut is not 0, raise shutdown.grace."}
	StartFailed = Event{105, "instance can't start", zerolog.ErrorLevel,
		"A listener or a file of the settings can't be opened.",
		"Read the error field. An address in use usually means that the old process still runs."}
	NotReady = Event{106, "instance not ready", zerolog.WarnLevel,
		"Neither the store nor a peer has given a rules revision. The instance takes no work.",
		"Check the store and that listen.peer of other instances can be reached."}
	Undrained = Event{107, "instance takes work again", zerolog.InfoLevel,
		"An operator has ended the drain of the instance.",
		"None."}
)

// Events of the platform's services.
var (
	ListUnavailable = Event{201, "instance list unavailable", zerolog.WarnLevel,
		"The platform's list could not be read. The last one stays in use.",
		"None for some minutes. If it lasts, new endpoints are not used: check the platform."}
	ListAvailable = Event{202, "instance list available again", zerolog.InfoLevel,
		"The platform's list can be read again.",
		"None."}
	StoreUnavailable = Event{203, "store unavailable", zerolog.WarnLevel,
		"A call of the store failed. Rules, slots and keys in use go on; rule edits wait.",
		"None for the traffic. Rule edits have to wait until the store is back."}
	StoreAvailable = Event{204, "store available again", zerolog.InfoLevel,
		"The store answers again.",
		"None."}
)
