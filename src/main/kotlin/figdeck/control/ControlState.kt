package figdeck.control

import figdeck.command.batch.RunningSegments
import figdeck.command.batch.noSegments
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.emptyDispatch
import figdeck.command.journal.JournalState
import figdeck.command.journal.groupInterval
import figdeck.command.journal.initialJournal
import figdeck.command.limit.TokenBucket
import figdeck.model.Configuration
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.emptyConfiguration
import figdeck.query.ConfigurationIndex
import figdeck.query.indexOf
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * All that one daemon decides from.
 *
 * @property confirmedAt when the configuration was last known to be the newest, counted from the sending of the
 * question; null before the first answer.
 */
public data class ControlState(
    public val host: HostId,
    public val configuration: Configuration,
    public val index: ConfigurationIndex,
    public val confirmedAt: Moment?,
    public val buckets: PersistentMap<TeamId, TokenBucket>,
    public val dispatch: DispatchState,
    public val draining: Boolean,
    public val journal: JournalState,
    public val batch: RunningSegments,
)

/** The state of the daemon on [host] before it knows anything. */
public fun initialState(host: HostId): ControlState = ControlState(
    host = host,
    configuration = emptyConfiguration,
    index = indexOf(emptyConfiguration),
    confirmedAt = null,
    buckets = persistentMapOf(),
    dispatch = emptyDispatch(),
    draining = false,
    journal = initialJournal(groupInterval(1)),
    batch = noSegments,
)
