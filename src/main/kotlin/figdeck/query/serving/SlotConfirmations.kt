package figdeck.query.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.PoolName
import kotlin.time.Duration.Companion.milliseconds

private val CONFIRMATION_INTERVAL = 500.milliseconds

/**
 * What a host that holds slots knows of their latest confirmation.
 *
 * @property owners the hosts that granted slots of each pool when they were last seen.
 * @property confirmedAt when the held slots were last confirmed, or when the first of them was granted.
 */
public data class SlotConfirmations(
    public val owners: Map<PoolName, Set<HostId>>,
    public val confirmedAt: Moment,
)

/**
 * Whether the held slots must be confirmed to [owners], the current owners of their pools: at a fixed interval, and as
 * soon as a pool has other owners than before. A new slot alone needs none, since its owner has just granted it: with
 * many hosts and few requests at each, that would be a message for each request.
 */
public fun SlotConfirmations.areDue(owners: Map<PoolName, Set<HostId>>, now: Moment): Boolean =
    now - confirmedAt > CONFIRMATION_INTERVAL || owners.any { (pool, hosts) -> (this.owners[pool] ?: hosts) != hosts }
