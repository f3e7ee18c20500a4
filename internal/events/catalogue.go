package events

import "github.com/rs/zerolog"

// Events of the process.
var (
	Started = Event{101, "instance started", zerolog.InfoLevel,
		"The process has read its settings and listens on its addresses.",
		"None."}
	Ready = Event{102, "instance ready", zerolog.InfoLevel,
		"A rules revision is in force and the instance accepts requests.",
		"None."}
	Leaving = Event{103, "instance leaving", zerolog.InfoLevel,
		"A graceful shutdown or a drain has begun. Lookups no longer return the instance.",
		"None. In a shutdown the process exits when its requests in flight have ended."}
	Stopped = Event{104, "instance stopped", zerolog.InfoLevel,
		"The graceful shutdown is complete. The field cut is the number of requests that were still in flight, unreceived that of connections whose callers had not received all of their answers.",
		"If cut is not 0, raise shutdown.grace."}
	StartFailed = Event{105, "instance start failed", zerolog.ErrorLevel,
		"A listener or a file in the settings could not be opened.",
		"Read the error field. If an address is in use, the previous process is usually still running."}
	NotReady = Event{106, "instance not ready", zerolog.WarnLevel,
		"The instance has no rules revision from the store or a peer, is not confirmed yet, or has no slots: its region has not claimed them, or they belong to its previous process and no instance of the region lends any. It accepts no requests.",
		"Check that the store, the platform's instance list and listen.peer of other instances can be reached."}
	Undrained = Event{107, "instance drain ended", zerolog.InfoLevel,
		"An operator or the rules have ended the drain of the instance.",
		"None."}
)

// Events of the platform's services.
var (
	ListUnavailable = Event{201, "instance list unavailable", zerolog.WarnLevel,
		"The platform's instance list could not be read. The last one stays in use.",
		"None for some minutes. If it lasts, new endpoints are not used: check the platform."}
	ListAvailable = Event{202, "instance list available again", zerolog.InfoLevel,
		"The platform's list can be read again.",
		"None."}
	StoreUnavailable = Event{203, "store unavailable", zerolog.WarnLevel,
		"A request to the store failed. Rules, slots and keys in use stay valid; rule edits are not possible.",
		"None for the traffic. Make rule edits when the store is available again."}
	StoreAvailable = Event{204, "store available again", zerolog.InfoLevel,
		"The store responds again.",
		"None."}
	StoreRestored = Event{205, "store restored", zerolog.WarnLevel,
		"The store has come back in another era: it was restored from a copy and has lost its last changes. The fields before and store have the era and revision of this instance's copy and of the store, from says who reported it.",
		"Check that the last edits are in the store again: see the events of desired states and evacuations."}
	StoreCompacted = Event{206, "store history compacted", zerolog.InfoLevel,
		"The store no longer has the changes after the revision of this instance's copy. All keys are listed again.",
		"None."}
)

// Events of endpoints.
var EndpointLeaving = Event{701, "endpoint leaving", zerolog.InfoLevel,
	"The platform's instance list or another instance has reported that the endpoint is leaving. It gets no new requests.",
	"None."}

// Events of requests.
var (
	HandlerPanic = Event{303, "handler panicked", zerolog.ErrorLevel,
		"The handler of a request panicked because of a fault in the program. The connection was closed; other requests are not affected.",
		"Report the log line with its stack."}
	MethodPanic = Event{305, "method panicked", zerolog.ErrorLevel,
		"A method that another instance called panicked because of a fault in the program. The call failed; the process keeps running.",
		"Report the log line with its stack."}
	Quarantined = Event{304, "request content quarantined", zerolog.WarnLevel,
		"Requests with the same content crashed several endpoints. They are refused for 10 minutes.",
		"Find the caller by the path in its trace, and fix the endpoint. The quarantine ends by itself."}
)

// Events of rules.
var (
	RulesInForce = Event{401, "rules in force", zerolog.InfoLevel,
		"A rules revision has come into force on this instance.",
		"None."}
	RulesStoreBehind = Event{402, "store had older rules", zerolog.WarnLevel,
		"The store held an older revision than this instance, for example after a restore from a backup. The newer one was written back.",
		"Check with jujubectl rules show that the rules are the intended ones."}
	RulesForked = Event{403, "rules forked", zerolog.ErrorLevel,
		"The store held rules that are not based on those in force. One of the two was issued again with a higher revision.",
		"Check with jujubectl rules history which edits are in force, and repeat those that are not."}
	RulesInvalid = Event{404, "rules in the store invalid", zerolog.ErrorLevel,
		"The rules document in the store is invalid. The rules in force do not change.",
		"Apply the rules file again with jujubectl rules apply."}
	RulesHistoryFailed = Event{405, "rules history not written", zerolog.WarnLevel,
		"An edit was accepted, but its history entry could not be written.",
		"None. The history lacks one revision."}
)

// Events of capacity.
var (
	AdmissionChanged = Event{501, "admission changed", zerolog.InfoLevel,
		"The instance starts or stops admitting requests, according to the field admitting. It stops when it was paused or has not been confirmed for 30 s.",
		"If admitting stays false, check the platform's instance list and the store: the instance must be in the list under its name."}
	LoanReturnFailed = Event{502, "early return of slots failed", zerolog.DebugLevel,
		"A peer could not be notified that its lent slots are free again. The loan ends by itself after 10 s.",
		"None."}
	RecordWritten = Event{503, "capacity record written", zerolog.DebugLevel,
		"The ownership of slots in the region has changed, and its record was written to the store.",
		"None."}
	SlotsNotRelinquished = Event{505, "slots not relinquished", zerolog.WarnLevel,
		"The instance is stopping and could not relinquish its slots. Other instances take over the slots 60 s after it has left the platform's instance list.",
		"None, unless it happens while the store is available."}
	SlotsAfterPause = Event{507, "slots not used after a pause", zerolog.WarnLevel,
		"The process did not run for over 5 s. It does not use its slots until it is confirmed again.",
		"If it repeats, look for CPU contention or a host that suspends its guests."}
	SlotsFenced = Event{508, "slots owned by a later process", zerolog.ErrorLevel,
		"Another process of this instance was started later and owns its slots. This process no longer admits requests.",
		"Stop this process."}
	KeyRecordsNotHandedOver = Event{506, "key records not handed over", zerolog.WarnLevel,
		"The instance is stopping and its successor did not accept its key records. Their witnesses answer queries for them.",
		"None for a single instance."}
)

// Events of the membership.
var (
	MemberSuspected = Event{601, "member suspected", zerolog.InfoLevel,
		"A neighbour does not respond. It is marked as dead after 3 s unless it refutes the suspicion.",
		"None."}
	SuspicionRefuted = Event{602, "suspicion of this instance refuted", zerolog.InfoLevel,
		"Other instances suspected this instance, and it has reported to them that it is alive.",
		"If it repeats, check the load and the network of this instance."}
	MemberDead = Event{603, "member dead", zerolog.InfoLevel,
		"A member has not refuted a suspicion, or has left the platform's instance list.",
		"None for a single member; the platform replaces it. If a whole failure domain is dead, check its network and power."}
	MemberRecovered = Event{609, "member alive again", zerolog.InfoLevel,
		"A member that was dead is alive again.",
		"None."}
	MeasurementsDistrusted = Event{604, "own measurements distrusted", zerolog.WarnLevel,
		"Over half of the neighbours do not respond. The fault is probably on this instance, so its last view of the members stays in use.",
		"Check the network of this instance."}
	MeasurementsTrusted = Event{605, "own measurements trusted again", zerolog.InfoLevel,
		"The neighbours respond again.",
		"None."}
	ProcessPaused = Event{606, "process was paused", zerolog.WarnLevel,
		"The process did not run for some time. It must be confirmed again before it starts requests.",
		"If it repeats, look for CPU contention or a host that suspends its guests."}
	LaterIncarnationSeen = Event{607, "later incarnation of this instance seen", zerolog.ErrorLevel,
		"Another process runs under the name of this instance and was started later.",
		"Stop one of the two processes."}
	MalformedUpdate = Event{608, "malformed update", zerolog.WarnLevel,
		"A peer sent an update that cannot be decoded. It was discarded.",
		"Check that all instances run the same version."}
)
