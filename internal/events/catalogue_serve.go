package events

import "github.com/rs/zerolog"

// Events of requests and endpoints, and of the entry role on the users' platform
// (jujubestiled serve).
var (
	SettingsRead = Event{801, "settings read", zerolog.InfoLevel,
		"The settings file was read, at the start or after SIGHUP. The field fields counts the settings, ignored those that are unknown.",
		"None, unless error is set: the settings before it stay in force."}
	LinesDropped = Event{802, "log lines dropped", zerolog.WarnLevel,
		"Standard output did not take the lines as fast as they came. The field dropped counts the lines lost since the last such line.",
		"Look at what reads the log. Requests do not wait for it."}
	ReadinessChanged = Event{803, "readiness changed", zerolog.InfoLevel,
		"The instance counts as ready or no longer does, by the field ready; reason says why.",
		"If it stays false: check the store and the other instances."}
	RequestAnswered = Event{811, "request answered", zerolog.InfoLevel,
		"A caller got an endpoint's response. Lines of successes are sampled; suppressed counts those left out.",
		"None."}
	RequestRefused = Event{812, "request refused", zerolog.InfoLevel,
		"A caller was told that its request has not run, and when to return. The field reason says why.",
		"overload or deadline: the service lacks capacity. shift-capped: other regions have room, the cap holds requests back. no-endpoint: look at the endpoint events."}
	RequestFailed = Event{813, "request failed", zerolog.WarnLevel,
		"A caller got a failure and its request may have run. The field reason says why.",
		"Follow the field endpoint in the lines around it."}
	AttemptFailed = Event{814, "attempt failed", zerolog.InfoLevel,
		"An attempt at an endpoint gave no good answer. The field next says what follows: another attempt, the endpoint's answer as it is, or a failure.",
		"None for single ones. Many for one endpoint: look at the endpoint."}
	AttemptHedged = Event{815, "second attempt started", zerolog.InfoLevel,
		"An endpoint took much longer than expected, so that another one got the request too.",
		"None for single ones."}
	CallerDisconnected = Event{816, "caller left", zerolog.InfoLevel,
		"The caller closed its connection before its answer. Work that may be repeated is cancelled.",
		"None."}
	StateAdopted = Event{821, "desired state adopted", zerolog.InfoLevel,
		"A newer desired state is in force on this instance.",
		"None."}
	StateRejected = Event{822, "desired state unreadable", zerolog.ErrorLevel,
		"A desired state cannot be read. The last good one stays in force.",
		"Write a state that can be read."}
	OlderStateIgnored = Event{823, "older desired state ignored", zerolog.WarnLevel,
		"The store or another instance showed an older desired state than the one in force.",
		"None."}
	EndpointChanged = Event{831, "endpoint changed", zerolog.InfoLevel,
		"Discovery shows an endpoint as added, restarted, leaving, cold, returned, lapsed or gone, by the field change.",
		"None."}
	EndpointInvalid = Event{832, "endpoint entry unreadable", zerolog.WarnLevel,
		"An entry of the discovery cannot be read and names no endpoint to use.",
		"Look at what writes the entry."}
	EndpointHealth = Event{833, "endpoint health changed", zerolog.InfoLevel,
		"This instance considers an endpoint down, or up again after a probe.",
		"If one endpoint is down for many instances: look at the endpoint."}
	EndpointCrashed = Event{835, "endpoint crashed", zerolog.WarnLevel,
		"Connections of an endpoint broke and it accepts no new ones or has started again. The field requests counts the requests of this instance that were there.",
		"None for single ones: the platform starts it again. If it repeats, look for the event of a quarantined request."}
	CrashReportFailed = Event{836, "crash not told", zerolog.DebugLevel,
		"Another instance could not be told of a crash. It learns of it with the next one.",
		"None."}
	DomainEvacuated = Event{834, "failure domain evacuation changed", zerolog.InfoLevel,
		"An operator empties a failure domain, or takes it back, by the field evacuated.",
		"None."}
	InstanceSeen = Event{841, "instance seen", zerolog.InfoLevel,
		"Another instance is reachable.",
		"None."}
	InstanceSilent = Event{842, "instance silent", zerolog.InfoLevel,
		"Another instance sends nothing any more. Callers are not sent there.",
		"None for a single one. Many of one failure domain: check its network and power."}
	InstanceLeaving = Event{843, "instance is leaving", zerolog.InfoLevel,
		"Another instance has begun a planned stop. Callers are not sent there.",
		"None."}
	ChangesFetched = Event{844, "changes taken from another instance", zerolog.DebugLevel,
		"The instance took changes of the store from one that follows it, or a whole copy.",
		"None."}
	ChangesFetchFailed = Event{846, "changes not taken from another instance", zerolog.InfoLevel,
		"Another instance has seen later changes of the store and did not answer the call for them.",
		"None for single ones; the next round asks again."}
	ObjectsRestored = Event{847, "objects recalled", zerolog.InfoLevel,
		"The instance took from the store which objects the endpoints of its region know, as a process before it wrote it.",
		"None."}
	ObjectsNotStored = Event{848, "objects not kept", zerolog.WarnLevel,
		"What is known of the endpoints' objects could not be written to the store, or not be read. Requests take longer for some seconds after a restart.",
		"None while the store is unavailable."}
	AnnouncementFailed = Event{845, "announcement failed", zerolog.WarnLevel,
		"The instance could not write its address to the store. It tries again.",
		"None while the store is unavailable."}
)
