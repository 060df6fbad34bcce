package figdeck.control

import figdeck.command.batch.RunningSegments
import figdeck.command.batch.noSegments
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.emptyDispatch
import figdeck.command.journal.JournalState
import figdeck.command.journal.groupInterval
import figdeck.command.journal.initialJournal
import figdeck.command.ownership.HostIdentity
import figdeck.command.ownership.LeaseTimes
import figdeck.model.Configuration
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.emptyConfiguration
import figdeck.query.ConfigurationIndex
import figdeck.query.indexOf

/**
 * The state from which a daemon makes its decisions.
 *
 * @property confirmedAt when the latest query that showed the configuration to be the newest was sent; null before the
 * first answer.
 */
public data class ControlState(
    public val host: HostId,
    public val configuration: Configuration,
    public val index: ConfigurationIndex,
    public val confirmedAt: Moment?,
    public val fleet: FleetState,
    public val dispatch: DispatchState,
    public val draining: Boolean,
    public val journal: JournalState,
    public val batch: RunningSegments,
    public val follow: FollowState = initialFollowState,
)

/** The initial state of the daemon on the host [self]. */
public fun initialState(self: HostIdentity, times: LeaseTimes = LeaseTimes()): ControlState = ControlState(
    host = self.host,
    configuration = emptyConfiguration,
    index = indexOf(emptyConfiguration),
    confirmedAt = null,
    fleet = initialFleet(self, times),
    dispatch = emptyDispatch(self.dataCentre),
    draining = false,
    journal = initialJournal(groupInterval(1)),
    batch = noSegments,
)
