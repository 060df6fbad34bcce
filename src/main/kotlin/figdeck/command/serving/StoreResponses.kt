package figdeck.command.serving

import figdeck.model.Moment
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * How long the announcement of an upstream that it is leaving counts. The upstream ends within a minute. Entries that
 * name no start may be those of a later one by then.
 */
private val LEAVING_RETENTION: Duration = 2.minutes

/** Records an answer of the store and drops the missing upstreams whose grace period has ended. */
public fun recordStoreResponse(state: PoolMembers, now: Moment): PoolMembers {
    val wasUnavailable = state.lastResponseAt != null && state.silence.until(now).isOutage
    return dropMissing(state, now).copy(
        lastResponseAt = now,
        recoveredAt = if (wasUnavailable) now else state.recoveredAt,
        leaving = state.leaving.filterValues { now - it < LEAVING_RETENTION }.toPersistentMap(),
        silence = StoreSilence(countedUntil = now),
        cold = state.currentColdStatements(now),
    ).withoutPastWeights().withoutPastLimits(now)
}

/** Records that a call to the store has failed. */
public fun recordStoreFailure(state: PoolMembers, now: Moment): PoolMembers =
    state.copy(silence = state.silence.until(now).copy(hasFailedCalls = true))

/**
 * Records that this host runs at [now], and drops the missing upstreams whose grace period has ended. Drops none while
 * the store gives no answers, since their entries may be back.
 */
public fun recordRunning(state: PoolMembers, now: Moment): PoolMembers {
    val silence = state.silence.until(now)
    val isAnswering = state.lastResponseAt != null && !silence.hasFailedCalls && !silence.isOutage
    return (if (isAnswering) dropMissing(state, now) else state).copy(silence = silence)
}

private fun dropMissing(state: PoolMembers, now: Moment): PoolMembers {
    val gone = state.missing.filterValues { it < now }.keys
    return when {
        gone.isEmpty() -> state
        else -> state.copy(
            members = state.members.filterKeys { it !in gone }.toPersistentMap(),
            missing = state.missing.filterKeys { it !in gone }.toPersistentMap(),
            cold = state.cold.filterKeys { it !in gone }.toPersistentMap(),
        )
    }
}
