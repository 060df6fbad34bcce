package figdeck.daemon.command

import figdeck.command.journal.isAllKept
import figdeck.command.journal.isExpired
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

/** A record takes up to two rows of a transaction. */
private const val RECORDS_PER_PAGE = 45

/** Where the clearing of results belongs. */
private val RETENTION_SHARD = shardOf("retention", "results")

/**
 * How fast expired results are cleared.
 *
 * @property betweenPages the pause while more may be expired.
 * @property betweenPasses the pause after everything was looked at.
 */
internal data class ExpiryDelays(
    val betweenPages: Duration = 20.milliseconds,
    val betweenPasses: Duration = 1.minutes,
)

/** Clears results older than their template's retention, oldest first, while this host owns that, until cancelled. */
internal suspend fun Services.expireResults(platform: Store, delays: ExpiryDelays = ExpiryDelays()) {
    var after = REQUEST_PREFIX
    while (true) {
        val fence = ownership.fenceOf(RETENTION_SHARD)
        val last = if (fence == null) null else expirePage(platform, fence, after)
        after = last ?: REQUEST_PREFIX
        delay(if (last == null) delays.betweenPasses else delays.betweenPages)
    }
}

/** Clears what has expired of the next page; gives the key to go on after, or null at the end of the pass. */
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
    val ended = last == null || isAllKept(last.acceptedAtMillis, configuration, now)
    return if (ended) null else rows.last().key
}

private fun RequestRecord.deletionWrites(): List<RowWrite> =
    listOfNotNull(requestKey(id), idempotencyRowKey()).map { RowWrite(it, null) }
