package figdeck.standin

import figdeck.command.Step
import figdeck.command.limit.TokenBucket
import figdeck.command.limit.fullBucket
import figdeck.command.limit.take
import figdeck.model.ABSENT
import figdeck.model.CommitReply
import figdeck.model.Limit
import figdeck.model.ListedHost
import figdeck.model.Moment
import figdeck.model.Row
import figdeck.model.TableTransaction
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.util.TreeMap
import kotlin.time.Duration

/**
 * The faults that the platform stand-in injects.
 *
 * @property outage whether it answers every request but `/faults` with 503, without executing it.
 * @property slowMillis the delay added to every request.
 * @property loseReplies whether it executes requests and closes the connection without a reply.
 */
internal data class PlatformFaults(
    val outage: Boolean = false,
    val slowMillis: Long = 0,
    val loseReplies: Boolean = false,
)

/**
 * The limits of the platform stand-in.
 *
 * @property writesPerSecond transactions and object writes per second; more are rejected without being executed.
 * @property listLag the delay until a change of the hosts list is visible.
 */
internal data class PlatformLimits(
    val writesPerSecond: Int = 400,
    val listLag: Duration = Duration.ZERO,
)

/** The state of the platform stand-in. [rows] are sorted by key for scans. */
internal data class PlatformState(
    val version: Long,
    val rows: TreeMap<String, Row>,
    val removedRows: List<Row>,
    val objects: PersistentMap<String, ByteArray>,
    val hosts: List<ListedHost>,
    val previousHosts: List<ListedHost>,
    val hostsChangedAt: Moment?,
    val writeBucket: TokenBucket?,
    val faults: PlatformFaults,
)

internal val emptyPlatform: PlatformState
    get() = PlatformState(
        version = ABSENT,
        rows = TreeMap(),
        removedRows = emptyList(),
        objects = persistentMapOf(),
        hosts = emptyList(),
        previousHosts = emptyList(),
        hostsChangedAt = null,
        writeBucket = null,
        faults = PlatformFaults(),
    )

/** Returns whether the rate limit admits a write at [now], and counts it if so. */
internal fun admitWrite(state: PlatformState, limits: PlatformLimits, now: Moment): Step<PlatformState, Boolean> {
    val limit = Limit(limits.writesPerSecond.toDouble(), limits.writesPerSecond)
    return (state.writeBucket ?: fullBucket(now)).take(1, limit, now).fold(
        { Step(state, false) },
        { Step(state.copy(writeBucket = it), true) },
    )
}

/** Replaces the hosts list; readers see the new one after [PlatformLimits.listLag]. */
internal fun replaceHosts(state: PlatformState, hosts: List<ListedHost>, now: Moment): Step<PlatformState, Unit> {
    val previous = if (state.hostsChangedAt == null) hosts else state.hosts
    return Step(state.copy(hosts = hosts, previousHosts = previous, hostsChangedAt = now), Unit)
}

/** The hosts list as readers see it at [now]. */
internal fun visibleHosts(state: PlatformState, limits: PlatformLimits, now: Moment): List<ListedHost> {
    val changedAt = state.hostsChangedAt
    return if (changedAt == null || now - changedAt >= limits.listLag) state.hosts else state.previousHosts
}

/** Applies [transaction] atomically; applies nothing if a check fails. */
internal fun commit(state: PlatformState, transaction: TableTransaction): Step<PlatformState, CommitReply> {
    val conflicts = transaction.checks.filter { (state.rows[it.key]?.version ?: ABSENT) != it.version }
    if (conflicts.isNotEmpty()) {
        return Step(state, CommitReply.Conflict(conflicts.map { it.key }))
    }
    val version = state.version + 1
    val (puts, removals) = transaction.writes.partition { it.value != null }
    puts.forEach { state.rows[it.key] = Row(it.key, it.value.orEmpty(), version) }
    val removed = removals.mapNotNull { state.rows.remove(it.key) }.map { it.copy(version = version) }
    return Step(
        state.copy(version = version, removedRows = state.removedRows + removed),
        CommitReply.Committed(version)
    )
}

/**
 * The rows of a table written and removed up to [version] of the whole state.
 *
 * @property written the rows in the order of their versions.
 */
internal data class TableChanges(
    val written: List<Row>,
    val removed: List<Row>,
    val version: Long,
) {
    val isEmpty: Boolean get() = written.isEmpty() && removed.isEmpty()
}

/** Returns the changes under [prefix] after [version]. */
internal fun changesAfter(state: PlatformState, prefix: String, version: Long): TableChanges {
    val written = scan(state, prefix, "", Int.MAX_VALUE).filter { it.version > version }.sortedBy { it.version }
    val removed = state.removedRows
        .filter { it.key.startsWith(prefix) && it.version > version && it.key !in state.rows }
    return TableChanges(written, removed, state.version)
}

/** Returns up to [limit] rows under [prefix] with a key greater than [after], by key. */
internal fun scan(state: PlatformState, prefix: String, after: String, limit: Int): List<Row> {
    val from = if (after > prefix) after else prefix
    return state.rows.tailMap(from, from != after).values.asSequence()
        .takeWhile { it.key.startsWith(prefix) }
        .take(limit)
        .toList()
}
