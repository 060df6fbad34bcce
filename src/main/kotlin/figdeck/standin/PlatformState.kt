package figdeck.standin

import figdeck.command.Step
import figdeck.model.ABSENT
import figdeck.model.CommitReply
import figdeck.model.ListedHost
import figdeck.model.Row
import figdeck.model.TableTransaction
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.util.TreeMap

/** The faults that the platform's stand-in shows while they are switched on. */
internal data class PlatformFaults(
    val outage: Boolean = false,
    val slowMillis: Long = 0,
    val loseReplies: Boolean = false,
)

/** All that the platform's stand-in keeps. The rows are held in key order, for scans. */
internal data class PlatformState(
    val version: Long,
    val rows: TreeMap<String, Row>,
    val objects: PersistentMap<String, ByteArray>,
    val hosts: List<ListedHost>,
    val faults: PlatformFaults,
)

internal val emptyPlatform: PlatformState
    get() = PlatformState(ABSENT, TreeMap(), persistentMapOf(), emptyList(), PlatformFaults())

/** Applies [transaction] whole, or not at all when a check fails. */
internal fun commit(state: PlatformState, transaction: TableTransaction): Step<PlatformState, CommitReply> {
    val conflicts = transaction.checks.filter { (state.rows[it.key]?.version ?: ABSENT) != it.version }
    if (conflicts.isNotEmpty()) {
        return Step(state, CommitReply.Conflict(conflicts.map { it.key }))
    }
    val version = state.version + 1
    for (write in transaction.writes) {
        if (write.value == null) {
            state.rows.remove(
                write.key
            )
        } else {
            state.rows[write.key] = Row(write.key, write.value, version)
        }
    }
    return Step(state.copy(version = version), CommitReply.Committed(version))
}

/** The rows under [prefix] after [after], at most [limit]. */
internal fun scan(state: PlatformState, prefix: String, after: String, limit: Int): List<Row> {
    val from = if (after > prefix) after else prefix
    return state.rows.tailMap(from, from != after).values.asSequence()
        .takeWhile { it.key.startsWith(prefix) }
        .take(limit)
        .toList()
}
