package figdeck.daemon.query

import figdeck.command.batch.POINTERS_PREFIX
import figdeck.command.batch.pointersPrefix
import figdeck.daemon.command.Ownership
import figdeck.model.SHARD_COUNT
import figdeck.model.SegmentPointer
import figdeck.model.Shard
import figdeck.model.valueOrNull
import figdeck.platform.query.PlatformQueries
import figdeck.wire.decodePointer

private const val PAGE = 500
private const val MAX_WAITING = 2000

/** Reads the hints in the shards that this host owns, in pages that pass over the shards of others. */
internal suspend fun PlatformQueries.readPointers(ownership: Ownership): List<SegmentPointer> {
    val owned = (0 until SHARD_COUNT).map { Shard(it) }.filter { ownership.fenceOf(it) != null }
    val mine = owned.map { pointersPrefix(it) }.toSet()
    val found = mutableListOf<SegmentPointer>()
    var after = owned.firstOrNull()?.let { pointersPrefix(it) }
    while (after != null && found.size < MAX_WAITING) {
        val page = scanRows(POINTERS_PREFIX, after, PAGE).valueOrNull() ?: return found
        page.filter { row -> row.key.shardPrefix() in mine }.mapTo(found) { decodePointer(it.value) }
        val last = page.lastOrNull()?.key?.takeIf { page.size == PAGE }
        after = last?.let { key -> if (key.shardPrefix() in mine) key else nextOwned(owned, key) }
    }
    return found
}

private fun nextOwned(owned: List<Shard>, key: String): String? =
    owned.map { pointersPrefix(it) }.firstOrNull { it > key }

private fun String.shardPrefix(): String = substring(0, indexOf('/', POINTERS_PREFIX.length) + 1)
