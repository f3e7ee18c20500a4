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

// Events of endpoints.
var EndpointLeaving = Event{701, "endpoint leaving", zerolog.InfoLevel,
	"The platform or another instance says that the endpoint is leaving. It gets no new requests.",
	"None."}

// Events of requests.
var (
	HandlerPanic = Event{303, "handler panicked", zerolog.ErrorLevel,
		"A request met a fault in the program. Its connection was closed; other requests go on.",
		"Report the line with its stack."}
	MethodPanic = Event{305, "method panicked", zerolog.ErrorLevel,
		"A call of another instance met a fault in the program. The call failed; the process goes on.",
		"Report the line with its stack."}
	Quarantined = Event{304, "request kind quarantined", zerolog.WarnLevel,
		"Requests with the same content crashed several endpoints. They are refused for 10 minutes.",
		"Find the caller by the path in its trace and mend the endpoint. The quarantine ends by itself."}
)

// Events of rules.
var (
	RulesInForce = Event{401, "rules in force", zerolog.InfoLevel,
		"A rules revision has come into force on this instance.",
		"None."}
	RulesStoreBehind = Event{402, "store had older rules", zerolog.WarnLevel,
		"The store held an older revision than this instance, as after the restore of a backup. The newer one was written back.",
		"Check with jujubectl rules show that the rules are the wanted ones."}
	RulesForked = Event{403, "rules forked", zerolog.ErrorLevel,
		"The store held rules that do not descend from those in force. One of the two was issued again with a higher revision.",
		"Check with jujubectl rules history which edits are in force, and repeat those that are not."}
	RulesInvalid = Event{404, "rules in the store invalid", zerolog.ErrorLevel,
		"The store's value of the rules cannot be read. The rules in force stay.",
		"Apply the rules file again with jujubectl rules apply."}
	RulesHistoryFailed = Event{405, "rules history not written", zerolog.WarnLevel,
		"An edit is accepted and its entry in the history could not be written.",
		"None. The history lacks one revision."}
)

// Events of capacity.
var (
	AdmissionChanged = Event{501, "admission by own slots changed", zerolog.InfoLevel,
		"The instance begins or ceases to start requests, by the field admitting. It ceases when it was paused or has not been confirmed for 30 s.",
		"If admitting stays false: check the platform's list and the store; the instance must appear in the list under its name."}
	LoanReturnFailed = Event{502, "early return of slots failed", zerolog.DebugLevel,
		"A peer could not be told that lent slots are free again. The loan ends by itself after 10 s.",
		"None."}
	RecordWritten = Event{503, "capacity record written", zerolog.DebugLevel,
		"The ownership of slots in the region has changed.",
		"None."}
	SlotsNotRelinquished = Event{505, "slots not given up", zerolog.WarnLevel,
		"The instance stops and could not give up its slots. Others take them 60 s after it has left the platform's list.",
		"None, unless it happens while the store is available."}
	SlotsAfterPause = Event{507, "slots not used after a pause", zerolog.WarnLevel,
		"The process did not run for over 5 s. It uses its slots again once it is confirmed.",
		"If it repeats: look for processor contention or a host that suspends its guests."}
	SlotsFenced = Event{508, "slots owned by a later process", zerolog.ErrorLevel,
		"Another process of this instance started later and owns its slots. This one admits nothing any more.",
		"Stop this process."}
	KeyRecordsNotHandedOver = Event{506, "key records not handed over", zerolog.WarnLevel,
		"The instance stops and its successor did not take its key records. Their witnesses answer for them.",
		"None for a single instance."}
)

// Events of the membership.
var (
	MemberSuspected = Event{601, "member suspected", zerolog.InfoLevel,
		"A neighbour does not answer. It is dead after 3 s if it does not refute this.",
		"None."}
	SuspicionRefuted = Event{602, "own suspicion refuted", zerolog.InfoLevel,
		"Others suspected this instance and it has told them that it lives.",
		"If it repeats: check the load and the network of this instance."}
	MemberDead = Event{603, "member dead", zerolog.InfoLevel,
		"A member has not refuted its suspicion, or has left the platform's list.",
		"None for a single one; the platform replaces it. If a whole failure domain is dead: check its network and power."}
	MemberRecovered = Event{609, "member back", zerolog.InfoLevel,
		"A member that was dead takes part again.",
		"None."}
	MeasurementsDistrusted = Event{604, "own measurements distrusted", zerolog.WarnLevel,
		"Over half of the neighbours do not answer. The fault is likely here, so the last view stays in use.",
		"Check the network of this instance."}
	MeasurementsTrusted = Event{605, "own measurements trusted again", zerolog.InfoLevel,
		"The neighbours answer again.",
		"None."}
	ProcessPaused = Event{606, "process was paused", zerolog.WarnLevel,
		"The process did not run for some time. It asks for a new confirmation before it starts requests.",
		"If it repeats: look for processor contention or a host that suspends its guests."}
	LaterIncarnationSeen = Event{607, "later incarnation of this instance seen", zerolog.ErrorLevel,
		"Another process runs under this instance's name and started later.",
		"Stop one of the two."}
	MalformedUpdate = Event{608, "malformed news", zerolog.WarnLevel,
		"A peer sent news that cannot be read. It was dropped.",
		"Check that all instances run the same version."}
)
