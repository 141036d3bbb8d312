package laburnumlever

// LogEvent identifies the event of a log line. Each one is described in docs/OPERATIONS.md. A
// line comment sets the logged text where it differs from the constant's name.
type LogEvent int

// The events of the log.
const (
	// Callers' requests, on gateways and on entry VMs.

	// EventRequestServed is a request whose complete answer was forwarded.
	EventRequestServed LogEvent = iota
	// EventRequestRefused is a request that ended without a complete answer.
	EventRequestRefused
	// EventRequestPanicked is a request at which the gateway's own code panicked, with the stack.
	EventRequestPanicked
	// EventAttemptFailed is an attempt at a backend server that returned no complete answer.
	EventAttemptFailed
	// EventGarbageReceived are bytes of a backend server that are no part of an answer, or not of the one that is due.
	EventGarbageReceived
	// EventSlowCallerEnded is a caller whose connection was ended since it did not take its answer, and why.
	EventSlowCallerEnded
	// EventIntakeShort is a summary of what this VM has refused or ended since it had no room or place for more of clients.
	EventIntakeShort
	// EventReservationUnclear is an engine's answer to a slot reservation that is neither a grant
	// nor a refusal.
	EventReservationUnclear // place-not-reserved
	// EventCrossedAnswer is an answer that belongs to another request.
	EventCrossedAnswer
	// EventRefused is a request that an entry VM refused.
	EventRefused
	// EventAnswerNotRecorded is an answer to a non-idempotent request that could not be recorded
	// for a retry by the caller.
	EventAnswerNotRecorded

	// Backend servers and their models.

	// EventBackendChanged is a backend server that is new, leaving, gone or silent.
	EventBackendChanged // backend-known
	// EventBackendsRemembered are backend servers that a control VM knew before its start and that a gateway uses until they
	// announce themselves.
	EventBackendsRemembered
	// EventRememberedForgotten are those of them that haven't announced themselves.
	EventRememberedForgotten
	// EventEndpointsNotLoaded is a file of endpoint state that can't be read.
	EventEndpointsNotLoaded
	// EventEndpointsNotSaved is endpoint state that could not be saved, logged once until it succeeds again.
	EventEndpointsNotSaved
	// EventVersionsNotLoaded is a file of software versions that can't be read, EventVersionsNotSaved one that could not be
	// written, logged once until it succeeds again.
	EventVersionsNotLoaded
	EventVersionsNotSaved
	// EventBackendReplaced is an address that another backend server has taken over.
	EventBackendReplaced
	// EventAdapterLoaded is an adapter that has been loaded.
	EventAdapterLoaded // adapter-there
	// EventLoadDecided is a decision to load a model on an engine.
	EventLoadDecided
	// EventLayout is a periodic summary of the number of engines per model.
	EventLayout
	// EventBackendCrashed is a backend server that crashed with requests of this gateway.
	EventBackendCrashed
	// EventCrashUnconfirmed is a backend server that broke connections and was not found to have crashed, with the
	// requests on it, what it answered and what another VM saw.
	EventCrashUnconfirmed
	// EventDetourOpened is a backend server to which a gateway opens connections through other gateways from now on, since
	// only these reach it.
	EventDetourOpened
	// EventDetourNotOpened is a backend server that failed repeatedly and was probed without such a result, and what the
	// probes brought.
	EventDetourNotOpened
	// EventDetourClosed is the end of that, and why.
	EventDetourClosed
	// EventLinksLost is a gateway that has lost its own links to the backend servers, and what was probed.
	EventLinksLost
	// EventLinksRestored is a gateway whose links are back, and for how long they were lost.
	EventLinksRestored
	// EventBackendRests is a backend server that has asked for rest.
	EventBackendRests
	// EventBackendLeaves is a backend server that has said in an answer that it leaves.
	EventBackendLeaves
	// EventHelperNotNotified is a helper that was not told what a backend server asked of it.
	EventHelperNotNotified
	// EventSoftwareVersionNew is a software version that a service did not have before.
	EventSoftwareVersionNew
	// EventStreamNotRecorded is a control VM that did not keep which software versions began streams.
	EventStreamNotRecorded
	// EventStreamVersionUnknown is a stream that a caller takes up and of which no VM that answers knows the software
	// version.
	EventStreamVersionUnknown
	// EventLinksVerified is a gateway that suspected its links, and what was probed.
	EventLinksVerified
	// EventRequestQuarantined is a request that gateways refuse from now on, since the backend
	// servers that ran it crashed.
	EventRequestQuarantined
	// EventRequestReleased is a request that is no longer in quarantine.
	EventRequestReleased
	// EventPartQuarantined is a part of prompts; gateways refuse requests with it from now on, since backend servers that ran
	// such requests crashed.
	EventPartQuarantined
	// EventPartLifted is a part that an operator has served again.
	EventPartLifted
	// EventPartReleased is a part that is no longer in quarantine.
	EventPartReleased
	// EventQuarantineNotReported is a gateway's report on crashes that no control VM accepted.
	EventQuarantineNotReported
	// EventLimitChanged is a backend server that names a request limit, another one, or none any more.
	EventLimitChanged
	// EventBrittleChanged is a backend server that is brittle, or no longer is.
	EventBrittleChanged
	// EventLoadUnclear is a backend server that tells a load or pace which can't be read, logged once for each server.
	EventLoadUnclear
	// EventRoomChanged is a change of the share of a service's slots that less urgent requests leave free.
	EventRoomChanged
	// EventForeignEntry is an entry of another writer that names no backend server to use, logged once for each source and reason.
	EventForeignEntry
	// EventLimitUnclear is an answer that names a limit which can't be read.
	EventLimitUnclear
	// EventSlotRequested is a request that asked for a slot at a limited backend server.
	EventSlotRequested
	// EventSlotUnanswered is a request for a slot that no control VM answered.
	EventSlotUnanswered
	// EventConnectionsLeased is a gateway's ask for connections to a backend server beyond its share, and what came of it.
	EventConnectionsLeased
	// EventConnectionsNotAsked is a batch of such asks that a control VM did not answer.
	EventConnectionsNotAsked
	// EventLimitNotReported is a change of a limit that no control VM accepted.
	EventLimitNotReported
	// EventKeysConfirmed is a gateway that knows again that no key was revoked recently, and for how long it
	// did not.
	EventKeysConfirmed
	// EventKeysUnconfirmed is a gateway that refuses requests with keys, as it can't confirm that its route
	// table is the newest.
	EventKeysUnconfirmed
	// EventRoutesConfirmed is a control VM that knows that no newer route table was acknowledged, for the first time since its start
	// or after some time without.
	EventRoutesConfirmed
	// EventRoutesUnconfirmed is a control VM that asked in vain whether its route table is the newest.
	EventRoutesUnconfirmed
	// EventAccountsUnknown is a route table from a VM whose build knows no client accounts.
	EventAccountsUnknown
	// EventQuotaUsedUp is a client account that has used up its quota at a control VM.
	EventQuotaUsedUp
	// EventQuotaUnanswered is a request for a part of a quota that no control VM answered.
	EventQuotaUnanswered
	// EventOutlierDetected is a backend server that returns errors to several gateways.
	EventOutlierDetected
	// EventModelWithdrawn is a model for which gateways send no more requests.
	EventModelWithdrawn
	// EventOrderAnswered is an engine's answer to an order.
	EventOrderAnswered
	// EventOrderDone is the completion of an order.
	EventOrderDone
	// EventOrderStateChanged is a state transition of an order.
	EventOrderStateChanged // order-chart
	// EventOrderRefused is an order that an engine refused.
	EventOrderRefused
	// EventOrderOutcomeUnknown is an order that may or may not have been carried out.
	EventOrderOutcomeUnknown
	// EventEngineStateNotRead is a failure to read an engine's state.
	EventEngineStateNotRead // engine-not-asked
	// EventInventoryNotRead is a failure to read an engine's inventory.
	EventInventoryNotRead
	// EventLoadFailed is a failed load from the weight store.
	EventLoadFailed
	// EventBackendStateNotEncoded is a backend server's state that could not be encoded.
	EventBackendStateNotEncoded // news-not-encoded
	// EventRegistryRefused is an announcement that was not accepted.
	EventRegistryRefused

	// Routes and the catalogue.

	// EventRoutesProposed is an operator's change of the routes with the size of its text in bytes, and its result.
	EventRoutesProposed
	// EventRoutesRefused is an invalid change of the routes.
	EventRoutesRefused
	// EventRoutesApplied is a route table that was applied from the log.
	EventRoutesApplied
	// EventRoutesInEffect is a route table that has taken effect for requests.
	EventRoutesInEffect // routes-in-force
	// EventRoutesNotDecoded is a route table of the log that can't be decoded; the earlier one stays in effect.
	EventRoutesNotDecoded
	// EventRoutesNotEncoded is a route table that can't be encoded for gateways.
	EventRoutesNotEncoded
	// EventRoutesNotFetched is a failure to fetch a route table.
	EventRoutesNotFetched
	// EventCatalogueInEffect is a catalogue that has taken effect for requests.
	EventCatalogueInEffect // catalogue-in-force

	// The log, its leader and its members.

	// EventBecameLeader is this VM becoming the leader of the log.
	EventBecameLeader
	// EventCommandRejected is a command that the leader can't append to the log, with its size in bytes and why.
	EventCommandRejected
	// EventNoLeader is a voter without a leader for a long time, and the voters whose votes it
	// is waiting for.
	EventNoLeader
	// EventReplicaOpened is a replica opened from its data folder, with what it found there.
	EventReplicaOpened
	// EventStartConfirmed is a replica that takes part in elections, since enough VMs have registered its start.
	EventStartConfirmed
	// EventStartUnconfirmed is a replica that waits for that, and the VMs that it is waiting for.
	EventStartUnconfirmed
	// EventVotersChanged is a change of the voters or learners in this VM's replica.
	EventVotersChanged // voters-in-force
	// EventLearnerAdded is a learner that was added to catch up with the log.
	EventLearnerAdded
	// EventLearnerRemoved is a learner that is no longer needed or failed to catch up.
	EventLearnerRemoved
	// EventVoterAdded is a learner that was promoted to voter.
	EventVoterAdded
	// EventVoterReplaced is a learner that was promoted to voter in exchange for another voter.
	EventVoterReplaced
	// EventVoterStandby is a VM whose replica was replaced by another VM's.
	EventVoterStandby
	// EventLeadershipNotHandedOver is a leader that stops without a successor.
	EventLeadershipNotHandedOver
	// EventExpiryNotEncoded is a lease expiry that could not be encoded for a proposal.
	EventExpiryNotEncoded
	// EventReplicaFailed is a replica that stopped after an unrecoverable error.
	EventReplicaFailed
	// EventReplicaRegressed is a replica whose disk lacks entries that it has acknowledged.
	EventReplicaRegressed // replica-went-back
	// EventDataFolderDamaged is a data folder that can't be read.
	EventDataFolderDamaged
	// EventDataFolderRegressed is a data folder that has lost data that it held before.
	EventDataFolderRegressed // data-folder-went-back
	// EventLeaseAcquired is this VM acquiring the lease and becoming the director.
	EventLeaseAcquired // lease-got
	// EventLeaseLost is this VM losing the lease and ceasing to be the director.
	EventLeaseLost
	// EventLeaseNotRenewed is a failed lease renewal, EventLeaseNotReleased a failed release.
	EventLeaseNotRenewed
	EventLeaseNotReleased
	// EventZoneOwned is this VM acquiring the placement lease of its availability zone.
	EventZoneOwned
	// EventZoneLost is this VM losing the placement lease of its availability zone.
	EventZoneLost

	// Other VMs and this process.

	// EventMessageTooLarge is a message to another VM, or the answer to one, that is larger than a frame and was not sent.
	EventMessageTooLarge
	// EventControlThreadTimes is a breakdown of the time used by the control thread.
	EventControlThreadTimes // control-thread
	// EventControlLost is a control VM that does not answer.
	EventControlLost
	// EventControlRegained is a control VM that answers again.
	EventControlRegained
	// EventStarted is a process that has started to serve.
	EventStarted
	// EventDraining is a gateway that has started to drain.
	EventDraining
	// EventDrained is a gateway without requests in flight after draining.
	EventDrained
	// EventStopped is a process that has stopped.
	EventStopped
	// EventSettingsReloaded is changed settings that have taken effect.
	EventSettingsReloaded
	// EventSettingsRefused is changed settings that are invalid.
	EventSettingsRefused
	// EventListenerEnded is a listener that failed.
	EventListenerEnded
	// EventMetricsNotServed is a metrics port that is already in use.
	EventMetricsNotServed
	// EventUnknownEvent is an event that its Part can't handle.
	EventUnknownEvent
	// EventOverloaded is a gateway whose processor or link is late all the time, or no longer: it resets a part of the new
	// connections meanwhile.
	EventOverloaded
	// EventLogLinesDropped is the number of log lines dropped because the buffer was full.
	EventLogLinesDropped
)
