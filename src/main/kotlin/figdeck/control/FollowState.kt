package figdeck.control

import figdeck.model.ConfigurationChange
import figdeck.model.Moment
import figdeck.model.UpstreamId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * How well this daemon is up to date with the configuration and the hosts list.
 *
 * @property tableInDoubt whether the latest query to the table failed or is late.
 * @property outageAgreedAt when the latest query was sent whose answers showed a majority of hosts unable to reach the
 * table.
 * @property recent the latest changes, kept for peers that missed them.
 * @property leaving the upstreams that get no new work.
 */
public data class FollowState(
    public val tableInDoubt: Boolean,
    public val outageAgreedAt: Moment?,
    public val recent: PersistentList<ConfigurationChange>,
    public val leaving: PersistentSet<UpstreamId>,
)

/** The state of a daemon that has not queried the table yet. */
public val initialFollowState: FollowState = FollowState(
    tableInDoubt = true,
    outageAgreedAt = null,
    recent = persistentListOf(),
    leaving = persistentSetOf(),
)
