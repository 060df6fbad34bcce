package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.ColdStartPolicy
import figdeck.model.serving.PoolMember
import figdeck.model.serving.UpstreamStart
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Bounds how long a wrong value of an upstream can limit it. Cold starts take seconds. */
private val MAX_COLD_TIME = 10.minutes

/**
 * How much longer a limit lasts than its upstream says. All hosts lift their limits at the same moment, so one that is
 * too early by the rounding of a message would send the load of all hosts to an upstream that is still cold.
 */
internal val COLD_END_MARGIN: Duration = 20.milliseconds

/** From what this host has learned how long an upstream stays cold. */
public enum class ColdSource {
    /** Its entry in the store. */
    ENTRY,

    /** Its entry is new and doesn't say; the duration of its pool applies. */
    ASSUMED,

    /** The answer to a request of this host. */
    REPLY,

    /** Another host, which released a slot. */
    RELEASE,
}

/**
 * What this host has learned about how long an upstream stays cold.
 *
 * @property remaining how long it stayed cold at [learnedAt]; null for the duration that its pool configures.
 */
public data class ColdStatement(
    public val source: ColdSource,
    public val learnedAt: Moment,
    public val remaining: Duration?,
)

/** When the limit of the upstream ends under the policy of its pool. */
public fun ColdStatement.until(policy: ColdStartPolicy): Moment =
    learnedAt + (remaining ?: policy.duration).coerceAtMost(MAX_COLD_TIME) + COLD_END_MARGIN

/** Adds or updates the entry of one upstream, read at [now], and what it says about how long the upstream is cold. */
public fun putMember(state: PoolMembers, member: PoolMember, now: Moment): PoolMembers {
    val id = member.upstream.id
    val known = state.members[id]
    val statement = member.statement(known, state.cold[id], now)
    return putMember(if (statement == null) state else state.with(id, statement), member)
}

/**
 * Records that [start] stays cold for [remaining] by an answer or by another host, unless its upstream has started
 * again since. An answer may be older than the latest entry, so it shortens no period but an assumed one.
 */
public fun recordCold(
    state: PoolMembers,
    start: UpstreamStart,
    remaining: Duration,
    source: ColdSource,
    now: Moment,
): PoolMembers = when {
    state.isColdChange(start, remaining, now) -> state.with(start.id, ColdStatement(source, now, remaining))
    else -> state
}

/** Whether [recordCold] changes anything if [start] stays cold for [remaining]. */
internal fun PoolMembers.isColdChange(start: UpstreamStart, remaining: Duration, now: Moment): Boolean {
    val known = cold[start.id]
    val left = known?.timeLeft(now) ?: Duration.ZERO
    return isListed(start) && (known?.source == ColdSource.ASSUMED || remaining > left)
}

/**
 * How long [start] stays cold after [now] by what this host has learned from the upstream itself or its entry; null if
 * it isn't cold. Other hosts' statements are left out, since each hop would add its delay to them.
 */
public fun PoolMembers.ownColdTimeLeft(start: UpstreamStart, now: Moment): Duration? = cold[start.id]
    ?.takeIf { isListed(start) && it.source != ColdSource.RELEASE }
    ?.timeLeft(now)
    ?.takeIf { it.isPositive() }

/** The statements that may still apply at [now]. */
internal fun PoolMembers.currentColdStatements(now: Moment): PersistentMap<UpstreamId, ColdStatement> =
    cold.filterValues { now - it.learnedAt < (it.remaining ?: MAX_COLD_TIME) + COLD_END_MARGIN }.toPersistentMap()

/** Keeps [statement], unless it says that the upstream isn't cold. */
private fun PoolMembers.with(id: UpstreamId, statement: ColdStatement): PoolMembers {
    val isCold = statement.remaining == null || statement.remaining.isPositive()
    return copy(cold = if (isCold) cold.put(id, statement) else cold.remove(id))
}

/** What a new, restarted or changed entry says; null if the earlier statement stays in force. */
private fun PoolMember.statement(known: PoolMember?, earlier: ColdStatement?, now: Moment): ColdStatement? {
    val isNew = known == null || known.start != start
    val isUnchanged = !isNew && known.coldRemaining == coldRemaining && known.entryHash == entryHash
    val outlasts = !isNew && earlier != null && earlier.source in setOf(ColdSource.REPLY, ColdSource.RELEASE) &&
        (earlier.timeLeft(now) ?: Duration.ZERO) > (coldRemaining ?: Duration.ZERO)
    return when {
        isUnchanged || outlasts -> null
        coldRemaining != null -> ColdStatement(ColdSource.ENTRY, now, coldRemaining.coerceAtLeast(Duration.ZERO))
        isNew -> ColdStatement(ColdSource.ASSUMED, now, null)
        else -> null
    }
}

private fun ColdStatement.timeLeft(now: Moment): Duration? = remaining?.let { it - (now - learnedAt) }
