package laburnumlever

// LogEvent names what a log line tells. Each has a line in docs/OPERATIONS.md.
type LogEvent int

// The events of the log.
const (
	// Requests of callers, on gateways and on the product's own interface.

	// EventRequestServed is an answer that was passed on whole.
	EventRequestServed LogEvent = iota
	// EventRequestRefused is a request that ended without one.
	EventRequestRefused
	// EventAttemptFailed is an attempt at a backend server that brought no whole answer.
	EventAttemptFailed
	// EventPlaceNotReserved is an engine's answer to the question for a place that says neither
	// yes nor no.
	EventPlaceNotReserved
	// EventCrossedAnswer is an answer that belonged to another request.
	EventCrossedAnswer
	// EventRefused is a request that an entry VM turned away.
	EventRefused
	// EventAnswerNotRecorded is a booking's answer that could not be kept for its caller's resend.
	EventAnswerNotRecorded

	// Backend servers and what they hold.

	// EventBackendKnown is a backend server that is new, leaves, is gone or silent.
	EventBackendKnown
	// EventBackendReplaced is an address that another backend server has now.
	EventBackendReplaced
	// EventAdapterThere is an adapter that has come.
	EventAdapterThere
	// EventLoadDecided is a model that an engine is to load.
	EventLoadDecided
	// EventLayout is how many engines hold which model, told now and again.
	EventLayout
	// EventOutlierDetected is a backend server that answers errors to several gateways.
	EventOutlierDetected
	// EventModelWithdrawn is a model that gateways send nothing more for.
	EventModelWithdrawn
	// EventOrderAnswered is an engine's answer to an order.
	EventOrderAnswered
	// EventOrderDone is the end of an order's work.
	EventOrderDone
	// EventOrderChart is a change of an order's state.
	EventOrderChart
	// EventOrderRefused is an order that an engine did not take.
	EventOrderRefused
	// EventOrderOutcomeUnknown is an order that may have been carried out.
	EventOrderOutcomeUnknown
	// EventEngineNotAsked is an engine that did not tell its state.
	EventEngineNotAsked
	// EventInventoryNotRead is an engine that did not tell what it holds.
	EventInventoryNotRead
	// EventLoadFailed is a load from the weight store that broke off.
	EventLoadFailed
	// EventNewsNotEncoded is news of a backend server that could not be put into words.
	EventNewsNotEncoded
	// EventRegistryRefused is an announcement that nobody took.
	EventRegistryRefused

	// Routes and the catalogue.

	// EventRoutesProposed is an operator's change and what came of it.
	EventRoutesProposed
	// EventRoutesRefused is a change that is not valid.
	EventRoutesRefused
	// EventRoutesApplied is a table that the log has.
	EventRoutesApplied
	// EventRoutesInForce is the table that requests go by from now on.
	EventRoutesInForce
	// EventRoutesNotFetched is a table that could not be had.
	EventRoutesNotFetched
	// EventCatalogueInForce is the catalogue that requests go by from now on.
	EventCatalogueInForce

	// The log, its leader and its members.

	// EventBecameLeader is this VM leading the log.
	EventBecameLeader
	// EventNoLeader is a voter that knows of no leader for long, and whose votes it waits for.
	EventNoLeader
	// EventReplicaOpened is a replica that starts from its data folder, and what that held.
	EventReplicaOpened
	// EventVotersInForce is a change of the voters or learners, as this VM's replica has it.
	EventVotersInForce
	// EventLearnerAdded is a replica that is to catch up.
	EventLearnerAdded
	// EventLearnerRemoved is one that is not needed any more, or did not catch up.
	EventLearnerRemoved
	// EventVoterAdded is a learner that counts from now on.
	EventVoterAdded
	// EventVoterReplaced is a learner that counts from now on in the place of a voter.
	EventVoterReplaced
	// EventVoterStandby is a VM whose replica another one has replaced.
	EventVoterStandby
	// EventLeadershipNotHandedOver is a leader that ends without another.
	EventLeadershipNotHandedOver
	// EventExpiryNotEncoded is the end of a lease that could not be proposed.
	EventExpiryNotEncoded
	// EventReplicaFailed is a replica that can't go on.
	EventReplicaFailed
	// EventReplicaWentBack is a replica whose disk has less than it acknowledged.
	EventReplicaWentBack
	// EventDataFolderDamaged is a data folder that can't be read.
	EventDataFolderDamaged
	// EventDataFolderWentBack is a data folder that has less than it had.
	EventDataFolderWentBack
	// EventLeaseGot is this VM becoming the director.
	EventLeaseGot
	// EventLeaseLost is this VM ceasing to be the director.
	EventLeaseLost
	// EventLeaseNotRenewed is a renewal that failed.
	EventLeaseNotRenewed
	// EventZoneOwned is this VM owning its availability zone.
	EventZoneOwned
	// EventZoneLost is the end of that.
	EventZoneLost

	// Other VMs and this process.

	// EventControlThread is what the control thread spent its time on.
	EventControlThread
	// EventControlLost is a control VM that does not answer.
	EventControlLost
	// EventControlRegained is one that answers again.
	EventControlRegained
	// EventStarted is a process that serves.
	EventStarted
	// EventDraining is a gateway that is about to end.
	EventDraining
	// EventDrained is one with nothing under way.
	EventDrained
	// EventStopped is the end of a process.
	EventStopped
	// EventSettingsReloaded is changed settings in force.
	EventSettingsReloaded
	// EventSettingsRefused is changed settings with a fault.
	EventSettingsRefused
	// EventListenerEnded is a listener that broke off.
	EventListenerEnded
	// EventMetricsNotServed is a port for metrics that is taken.
	EventMetricsNotServed
	// EventUnknownEvent is an event that a part can't handle.
	EventUnknownEvent
	// EventLogLinesDropped is lines that did not fit the log's buffer.
	EventLogLinesDropped
)
