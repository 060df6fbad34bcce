package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.WeightsVersion
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long an answer tells which weights its upstream has. Weights may be replaced while an upstream runs. */
private val WEIGHTS_RETENTION: Duration = 30.seconds

/** The weights that an upstream had by an answer that came at [seenAt]. */
public data class ObservedWeights(
    public val version: WeightsVersion,
    public val seenAt: Moment,
)

/** Records that [start] had the weights [version] by an answer, if its entry is known. */
public fun recordWeights(state: PoolMembers, start: UpstreamStart, version: WeightsVersion, now: Moment): PoolMembers =
    if (state.isListed(start)) {
        state.copy(weights = state.weights.put(start, ObservedWeights(version, now)))
    } else {
        state
    }

/** The usable upstreams of [pool] that had other weights than [version] by their latest answers. */
public fun PoolMembers.upstreamsWithOtherWeights(
    pool: PoolName,
    version: WeightsVersion,
    now: Moment
): Set<UpstreamId> =
    weights
        .filter { (start, known) ->
            val member = members[start.id]
            val isUsable = member != null && member.start == start && member.pool == pool && !member.isLeaving
            isUsable && known.version != version && now - known.seenAt < WEIGHTS_RETENTION
        }
        .keys.map { it.id }.toSet()

/** The observed weights without those of upstreams that are gone or have started again. */
internal fun PoolMembers.withoutPastWeights(): PoolMembers =
    if (weights.keys.all { isListed(it) }) {
        this
    } else {
        copy(weights = weights.filterKeys { isListed(it) }.toPersistentMap())
    }
