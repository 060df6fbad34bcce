package figdeck.daemon.command

import figdeck.command.journal.isExpired
import figdeck.command.journal.isWithinAllRetentions
import figdeck.command.ownership.shardOf
import figdeck.model.CallResult
import figdeck.model.Fence
import figdeck.model.RequestRecord
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.store.Store
import figdeck.wire.decodeRecord
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** The number of records read at once. Deleting a record takes up to two rows of the transaction. */
private const val RECORDS_PER_PAGE = 45

/** The shard whose owner deletes expired results. */
private val RETENTION_SHARD = shardOf("retention", "results")

/**
 * The delays between the steps of deleting expired results.
 *
 * @property betweenPages the delay before the next page while more results may be expired.
 * @property betweenPasses the delay after a complete pass.
 */
internal data class ExpiryDelays(
    val betweenPages: Duration = 20.milliseconds,
    val betweenPasses: Duration = 1.minutes,
)

/**
 * Deletes results older than their template's retention, oldest first, until cancelled. Does so only while this host
 * owns the retention shard.
 */
internal suspend fun Services.expireResults(platform: Store, delays: ExpiryDelays = ExpiryDelays()) {
    var after = REQUEST_PREFIX
    while (true) {
        val fence = ownership.fenceOf(RETENTION_SHARD)
        val last = if (fence == null) null else expirePage(platform, fence, after)
        after = last ?: REQUEST_PREFIX
        delay(if (last == null) delays.betweenPasses else delays.betweenPages)
    }
}

/** Deletes the expired records of the page after [after]. Returns its last key, or null at the end of the pass. */
private suspend fun Services.expirePage(platform: Store, fence: Fence, after: String): String? {
    val scanned = platform.queries.scanRows(REQUEST_PREFIX, after, RECORDS_PER_PAGE)
    val rows = (scanned as? CallResult.Done)?.value.orEmpty()
    val records = rows.map { decodeRecord(it.value) }
    val configuration = control.snapshot.configuration
    val now = clock().epochMillis
    val expired = records.filter { isExpired(it, configuration, now) }
    if (expired.isNotEmpty()) {
        platform.commands.commit(TableTransaction(listOf(fence.check), expired.flatMap { it.deletionWrites() }))
    }
    val last = records.lastOrNull()
    val isPassComplete = last == null || isWithinAllRetentions(last.acceptedAtMillis, configuration, now)
    return if (isPassComplete) null else rows.last().key
}

private fun RequestRecord.deletionWrites(): List<RowWrite> =
    listOfNotNull(requestKey(id), idempotencyRowKey()).map { RowWrite(it, null) }
