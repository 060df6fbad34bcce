package figdeck.control

import figdeck.model.ConfigurationChange
import figdeck.model.Moment
import figdeck.model.UpstreamId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * How this daemon follows the configuration and the hosts list.
 *
 * @property tableInDoubt whether the latest question to the table failed or is late.
 * @property outageAgreedAt when the question was sent to which a majority of hosts answered that the table is out.
 * @property recent the latest changes, for peers that missed them.
 * @property leaving the upstreams that get no new work.
 */
public data class FollowState(
    public val tableInDoubt: Boolean,
    public val outageAgreedAt: Moment?,
    public val recent: PersistentList<ConfigurationChange>,
    public val leaving: PersistentSet<UpstreamId>,
)

/** Nothing is known yet. */
public val initialFollowState: FollowState = FollowState(
    tableInDoubt = true,
    outageAgreedAt = null,
    recent = persistentListOf(),
    leaving = persistentSetOf(),
)
