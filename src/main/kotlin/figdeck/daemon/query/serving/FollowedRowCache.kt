package figdeck.daemon.query.serving

import figdeck.model.Row
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.util.concurrent.ConcurrentHashMap

/** Caches the rows of the followed tables as last read, for hosts that start while the store is unavailable. */
internal class FollowedRowCache {
    private val tables = ConcurrentHashMap<String, PersistentMap<String, Row>>()

    /** Returns the cached rows of [table]. */
    fun rows(table: String): List<Row> = tables[table].orEmpty().values.toList()

    /** Wraps [follower] so that the rows it receives are cached as those of [table]. */
    fun recording(table: String, follower: TableFollower): TableFollower = follower.copy(
        replace = { rows ->
            tables[table] = rows.associateBy { it.key }.toPersistentMap()
            follower.replace(rows)
        },
        change = { changes ->
            val known = tables[table] ?: persistentMapOf()
            tables[table] = changes.fold(known) { all, change ->
                change.row?.let { all.put(change.key, it) } ?: all.remove(change.key)
            }
            follower.change(changes)
        },
    )
}
