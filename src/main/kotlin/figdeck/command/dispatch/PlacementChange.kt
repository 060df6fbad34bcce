package figdeck.command.dispatch

import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName

/** A change of how requests are placed, with the comparison from which it follows. */
public sealed interface PlacementChange {
    /** The affected pool. */
    public val pool: PoolName

    /** The comparison of the upstreams of [pool]. */
    public val comparison: PoolPace

    /** Requests to the pool are now placed by expected completion, or no longer. */
    public data class Pool(
        override val pool: PoolName,
        override val comparison: PoolPace,
    ) : PlacementChange

    /**
     * An upstream now counts as slow, or no longer.
     *
     * @property relativePace its time per output token relative to the median; null if it is no longer known.
     * @property pace what has been observed of the upstream.
     */
    public data class Upstream(
        override val pool: PoolName,
        override val comparison: PoolPace,
        public val id: UpstreamId,
        public val isSlow: Boolean,
        public val relativePace: Double?,
        public val pace: UpstreamPace,
    ) : PlacementChange
}

/** The changes of placement between two successive states of the slots. */
public fun placementChanges(before: DispatchState, after: DispatchState): List<PlacementChange> =
    if (before.paces === after.paces) {
        emptyList()
    } else {
        after.paces.flatMap { (pool, comparison) -> poolChanges(pool, before.paces[pool], comparison, after) }
    }

private fun poolChanges(
    pool: PoolName,
    last: PoolPace?,
    comparison: PoolPace,
    after: DispatchState,
): List<PlacementChange> {
    val known = last?.slow.orEmpty()
    val changed = comparison.slow.keys - known.keys + (known.keys - comparison.slow.keys)
    val upstreams = changed.map { id ->
        val pace = after.upstreams[id]?.pace ?: unknownPace
        val relativePace = (pace.tokenNanos.slow.value / comparison.tokenNanos).takeIf {
            pace.isKnown && comparison.tokenNanos > 0
        }
        PlacementChange.Upstream(pool, comparison, id, id in comparison.slow, relativePace, pace)
    }
    val isPoolChange = comparison.isByCompletion != (last?.isByCompletion ?: false)
    return if (isPoolChange) upstreams + PlacementChange.Pool(pool, comparison) else upstreams
}
