package figdeck.daemon.query

import figdeck.command.batch.POINTERS_PREFIX
import figdeck.command.batch.pointersPrefix
import figdeck.daemon.command.Ownership
import figdeck.model.Row
import figdeck.model.SHARD_COUNT
import figdeck.model.SegmentPointer
import figdeck.model.Shard
import figdeck.model.valueOrNull
import figdeck.store.query.StoreQueries
import figdeck.wire.decodePointer

private const val PAGE_ROWS = 500
private const val MAX_ROWS = 2000

/** Reads the pointers to the waiting segments in the shards that this host owns. */
internal suspend fun StoreQueries.readPointers(ownership: Ownership): List<SegmentPointer> =
    readOwned(ownership, POINTERS_PREFIX, ::pointersPrefix).map { decodePointer(it.value) }

/** Reads the rows below [root] in the shards that this host owns, in pages that skip the shards of other hosts. */
internal suspend fun StoreQueries.readOwned(
    ownership: Ownership,
    root: String,
    prefixOf: (Shard) -> String,
): List<Row> {
    val owned = (0 until SHARD_COUNT).map { Shard(it) }.filter { ownership.fenceOf(it) != null }.map(prefixOf)
    val ownedSet = owned.toSet()
    val found = mutableListOf<Row>()
    var after = owned.firstOrNull()
    while (after != null && found.size < MAX_ROWS) {
        val page = scanRows(root, after, PAGE_ROWS).valueOrNull() ?: return found
        found += page.filter { it.key.shardPrefix(root) in ownedSet }
        val last = page.lastOrNull()?.key?.takeIf { page.size == PAGE_ROWS }
        after = last?.let { key -> if (key.shardPrefix(root) in ownedSet) key else owned.firstOrNull { it > key } }
    }
    return found
}

private fun String.shardPrefix(root: String): String = substring(0, indexOf('/', root.length) + 1)
