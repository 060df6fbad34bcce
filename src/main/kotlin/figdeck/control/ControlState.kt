package figdeck.control

import figdeck.command.dispatch.DispatchState
import figdeck.command.ownership.HostIdentity
import figdeck.command.ownership.LeaseTimes
import figdeck.model.Configuration
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.emptyConfiguration
import figdeck.query.ConfigurationIndex
import figdeck.query.indexOf
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
    public val fleet: FleetState,
    public val dispatch: DispatchState,
    public val draining: Boolean,
)

/** The state of the daemon on the host [self] before it knows anything. */
public fun initialState(self: HostIdentity, times: LeaseTimes = LeaseTimes()): ControlState = ControlState(
    host = self.host,
    configuration = emptyConfiguration,
    index = indexOf(emptyConfiguration),
    confirmedAt = null,
    fleet = initialFleet(self, times),
    dispatch = DispatchState(persistentMapOf()),
    draining = false,
)
