package events

import "github.com/rs/zerolog"

// Events of requests and endpoints, and of entry instances on the users'
// platform (jujubestiled serve).
var (
	SettingsRead = Event{801, "settings read", zerolog.InfoLevel,
		"The settings file was read at the start or after SIGHUP. The field fields is the number of settings, ignored lists those that are unknown.",
		"None, unless error is set: then the previous settings stay in force."}
	LinesDropped = Event{802, "log lines dropped", zerolog.WarnLevel,
		"Log lines were written faster than standard output accepted them. The field dropped is the number of lines lost since the last event of this kind.",
		"Check the process that reads the log. Requests do not wait for it."}
	ReadinessChanged = Event{803, "readiness changed", zerolog.InfoLevel,
		"The instance has become ready or is no longer ready, according to the field ready; reason says why.",
		"If ready stays false, check the store and the other instances."}
	RequestAnswered = Event{811, "request answered", zerolog.InfoLevel,
		"A caller got an endpoint's response. Only a sample of the successes is logged; suppressed is the number of lines left out.",
		"None."}
	RequestRefused = Event{812, "request refused", zerolog.InfoLevel,
		"A caller was told that its request has not run, and when to retry. The field reason says why.",
		"overload or deadline: the service lacks capacity. shift-capped: other regions have capacity, but the shift cap holds requests back. no-endpoint: check the endpoint events. rate-limited: the endpoints left name rate limits (event 837). endpoints-paused: the endpoints left have asked for pauses (event 839). unauthorized: the request had no known API key. behind: the copy of the store may lack changes that others have, for almost as long as bounds.drain allows; check the link and the processor of the machine (events 846 and 854). keys-unproven: see event 851. quota: its tenant is over its quota."}
	RequestFailed = Event{813, "request failed", zerolog.WarnLevel,
		"A caller got an error, and its request may have run. The field reason says why.",
		"Follow the field endpoint in the log lines around this one."}
	AttemptFailed = Event{814, "attempt failed", zerolog.InfoLevel,
		"An attempt at an endpoint failed. The field next says what follows: another attempt, the endpoint's response as it is, or an error.",
		"None for single attempts. If one endpoint has many, check the endpoint."}
	AttemptHedged = Event{815, "second attempt started", zerolog.InfoLevel,
		"An endpoint took much longer than expected, so the request was also sent to another one.",
		"None for single requests."}
	CallerDisconnected = Event{816, "caller disconnected", zerolog.InfoLevel,
		"The caller closed its connection before it got a response. A request that may be repeated is cancelled.",
		"None."}
	AnswerCut = Event{817, "answer not received", zerolog.WarnLevel,
		"A connection was closed before the caller's kernel had acknowledged all of an answer. The field request is the last request of the connection, unacknowledged the number of bytes that were not acknowledged, unread the number of bytes that the caller had sent and that were not read: if there are any, the kernel drops the former.",
		"None if callers leave without reading their answers. Otherwise follow the request."}
	RequestCut = Event{818, "request cut by a planned stop", zerolog.WarnLevel,
		"The process stops while a request is running or its answer is being sent. The field state says which (body, running, answer, or closing, if the caller still receives it), age_ms for how long; suppressed is the number of further requests.",
		"None for requests that take longer than the rest of the grace period. Otherwise extend the grace period."}
	StateAdopted = Event{821, "desired state adopted", zerolog.InfoLevel,
		"A newer desired state is in force on this instance. The field from is store, or the instance that it was fetched from.",
		"None."}
	StateRejected = Event{822, "desired state unreadable", zerolog.ErrorLevel,
		"A desired state is invalid. The last valid one stays in force. The fields name and field say which route or service is to blame, since when this instance has rejected states.",
		"Write a valid desired state. jujubectl instances shows which instances reject it."}
	OlderStateIgnored = Event{823, "older desired state ignored", zerolog.WarnLevel,
		"The store or another instance returned a desired state that is older than the one in force.",
		"None."}
	DesiredStateMissing = Event{824, "desired state missing", zerolog.WarnLevel,
		"The copy of the store covers a desired state that this instance has not got, for longer than it usually takes to fetch one. The fields era and revision are the position of its last change, held is the position up to which this instance has considered desired states, and in_force the version in force.",
		"None for single cases: the instance asks others and then the store. If it lasts, check that the store and the other instances can be reached."}
	DesiredStateFound = Event{825, "missing desired state obtained", zerolog.InfoLevel,
		"The instance has obtained the desired state of event 824. The field in_force is the version in force, missing_ms the time for which the state was missing.",
		"None."}
	DesiredStateNotRead = Event{826, "missing desired state not read", zerolog.InfoLevel,
		"A missing desired state could not be read from the store. The instance tries again, and goes on asking other instances.",
		"None while the store is unavailable."}
	EndpointPaceChanged = Event{830, "slow start of endpoint changed", zerolog.InfoLevel,
		"An endpoint that has started or recovered gets few requests at first (phase starting), or gets them by cost alone again (phase steady). The field reason says why: added, restarted, cold, recovered, unreachable, ejected or slow; grown at the end.",
		"None for single endpoints. If one starts again and again, check the endpoint."}
	EndpointChanged = Event{831, "endpoint changed", zerolog.InfoLevel,
		"Discovery shows an endpoint as added, restarted, leaving, staying (it was leaving and is ready again), cold, returned, lapsed or gone, according to the field change. A lapsed one stays in use until the grace period of event 850 ends. The change outdated means that the store has an older entry, which is not used: it was restored, or has executed an earlier report late. For one that leaves or is gone, unconfirmed_ms is how long before this line the copy was last known to be complete, and exposure_ms how much later than that a request was last sent to it: at most so long after the store had the change.",
		"None. An exposure_ms near the drain bound of the deployment: see event 854 for the link of the machine."}
	EndpointInvalid = Event{832, "endpoint entry unreadable", zerolog.WarnLevel,
		"A discovery entry cannot be parsed, so no endpoint is taken from it.",
		"Check the process that writes the entry."}
	EndpointHealth = Event{833, "endpoint health changed", zerolog.InfoLevel,
		"This instance considers an endpoint down, or up again after a probe.",
		"If many instances consider one endpoint down, check the endpoint."}
	EndpointCrashed = Event{835, "endpoint crashed", zerolog.WarnLevel,
		"Connections of an endpoint broke, and it accepts no new ones or has restarted. The field requests is the number of requests of this instance that were in flight there.",
		"None for a single crash: the platform restarts the endpoint. If it repeats, look for the event of a quarantined request."}
	CrashReportFailed = Event{836, "crash report failed", zerolog.DebugLevel,
		"Crash reports could not be sent to another instance or fetched from it. A comparison with another instance each 5 s makes up for it.",
		"None."}
	EndpointRateLimited = Event{837, "endpoint rate limit changed", zerolog.InfoLevel,
		"An endpoint has begun to name a rate limit for all instances together, has changed it or no longer names one. The field source says whether a response or another instance showed it.",
		"Find out why the endpoint is in need. While it names a limit, one instance sends all of its requests."}
	DomainEvacuated = Event{834, "failure domain evacuation changed", zerolog.InfoLevel,
		"An operator has evacuated a failure domain or ended its evacuation, according to the field evacuated.",
		"None."}
	EndpointSaidLeaving = Event{838, "endpoint is leaving by its own word", zerolog.InfoLevel,
		"A response of the endpoint, or another instance that had one, has shown that it is leaving, according to the field source. It gets no new requests, whatever its entry says, until it starts again.",
		"None."}
	EndpointPaused = Event{839, "endpoint asked for a pause", zerolog.InfoLevel,
		"The endpoint has refused a request and wants none of this instance for the time in pause_ms. A value that cannot be read is in the field ignored.",
		"None for a single endpoint. If many ask for pauses, the service lacks capacity."}
	EndpointSpeedUnreadable = Event{840, "endpoint speed unreadable", zerolog.InfoLevel,
		"The load report of an endpoint has a speed that is not a number, not positive or too large. It is in the field ignored. The rest of the report counts.",
		"Check the endpoint. Until it reports a valid speed, its machine counts as one of the usual speed."}
	InstanceSeen = Event{841, "instance seen", zerolog.InfoLevel,
		"Another instance is reachable.",
		"None."}
	InstanceSilent = Event{842, "instance silent", zerolog.InfoLevel,
		"Another instance has stopped sending messages. Callers are not sent to it.",
		"None for a single instance. If many instances of one failure domain are silent, check its network and power."}
	InstanceLeaving = Event{843, "instance is leaving", zerolog.InfoLevel,
		"Another instance has begun a graceful shutdown. Callers are not sent to it.",
		"None."}
	ChangesFetched = Event{844, "changes fetched from another instance", zerolog.DebugLevel,
		"The instance fetched changes of the store, or a full copy, from another instance that watches the store.",
		"None."}
	ChangesFetchFailed = Event{846, "changes not fetched from another instance", zerolog.InfoLevel,
		"Another instance has later changes of the store or a newer desired state, but they could not be fetched from it.",
		"None for single failures; the next round tries again."}
	StateFetched = Event{849, "desired state fetched from another instance", zerolog.InfoLevel,
		"The instance fetched a newer desired state from another instance. The field base is the version to which it was sent as a difference, or 0, and bytes what was sent.",
		"None."}
	ObjectsRestored = Event{847, "recent objects restored", zerolog.InfoLevel,
		"The instance has read from the store which objects the endpoints of its region have recently handled. An earlier process wrote the record.",
		"None."}
	ObjectsNotStored = Event{848, "recent objects not stored", zerolog.WarnLevel,
		"The record of the objects that endpoints have recently handled could not be written or read. Without it, requests take longer for some seconds after a restart.",
		"None while the store is unavailable."}
	AnnouncementFailed = Event{845, "announcement failed", zerolog.WarnLevel,
		"The instance could not write its address to the store. It retries.",
		"None while the store is unavailable."}
	MissingGrace = Event{850, "grace period for missing endpoints", zerolog.InfoLevel,
		"Endpoints whose entries are missing stay in use for a time, because entries lapse while the store is down, or the grace period has ended early, according to the field phase (begins or needless). The field reason is outage, restored or unknown, from is store or the instance that reported it, left_ms the rest of the period. For an outage, outage_ms is its length and silence_ms the longest time in it without a known response of the store to any instance.",
		"None. If the store was not down, look for 203 and 842 at the instance named in from: it has lost the store, or the instances that watch it."}
	LeaseLost = Event{851, "authorization lease lost", zerolog.WarnLevel,
		"The instance does not know whether its desired state is recent enough to judge API keys, and refuses the requests that need one. The field age_ms is the age of the last proof.",
		"Check the store, and whether the instances that watch it reach it. If event 822 is there too, write a valid desired state."}
	LeaseRegained = Event{852, "authorization lease regained", zerolog.InfoLevel,
		"The instance judges API keys again. The field lost_ms is the time for which it did not.",
		"None."}
	ProofFailed = Event{853, "proof for the authorization lease not obtained", zerolog.InfoLevel,
		"A call for a proof that the desired state is the newest failed. The field from is the instance that was asked, or store.",
		"None for single failures; the next instance is asked."}
	MessagesDelayed = Event{854, "messages of other instances arrive late", zerolog.WarnLevel,
		"Round trips to other instances take long, so messages wait on the machine's link or for its processor. The field phase is begins or ends, delay_ms the delay.",
		"Check the machine's link and processor. If its link is full, give it fewer callers or a larger link."}
	TenantOverQuota = Event{861, "tenant over its quota", zerolog.InfoLevel,
		"A request was refused because its tenant has used up its quota over all instances. The field suppressed is the number of lines left out.",
		"None if the tenant sends more than was agreed. Otherwise raise its rate or burst in the desired state; jujubectl tenants shows what it sends."}
	QuotaOwnersSilent = Event{862, "quota owners do not answer", zerolog.WarnLevel,
		"A request was refused because none of the instances that keep the quota of its tenant answered, and the local share was used up. The field suppressed is the number of lines left out.",
		"None for some seconds after instances have failed. If it lasts, check the network between instances."}
	CallerBounded = Event{871, "caller refused or disconnected by a limit", zerolog.WarnLevel,
		"A request was refused, or a connection closed, to keep memory or descriptors within their limits. The field reason says why: body-refused and header-refused (no memory within the time to wait), body-too-long and header-too-long (over the limit of the desired state), body-stalled (not received before the deadline), slow-sender, slow-reader and unread (held memory without progress while others waited for it), idle, unused, closing and stalled (no descriptor was left), response-refused (no memory for an endpoint's response). The field held is what the connection held, in bytes.",
		"None for single ones: the counters by reason are on the metrics address, in bounds. If ordinary callers are concerned, the machine has too little memory or too few descriptors for its load; see docs/design/bounded-memory.md."}
	SocketBuffersDefault = Event{872, "socket buffers not bounded", zerolog.WarnLevel,
		"The sizes of the kernel's buffers of callers' connections could not be set. What callers send before it is read may take more memory.",
		"None, unless memory is short."}
)
