package figdeck.daemon.command.jobs

import figdeck.control.serving.ServingState
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.isId
import figdeck.model.serving.FleetMember
import figdeck.model.serving.JobId
import figdeck.model.valueOrNull
import figdeck.store.Store
import figdeck.wire.serving.JOB_CHILD_TABLES
import figdeck.wire.serving.decodeFleetMember
import figdeck.wire.serving.jobRecordKey
import figdeck.wire.serving.memberKey
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** How many rows of a job without a record are removed at once: one entry of the transaction is a check. */
private const val SWEPT_ROWS = 20

/** A host that has not renewed its lease for this long is gone; its incarnation never comes back. */
private val GONE_AFTER = 1.hours

/** Follows all keys that begin with the id before it. */
private const val AFTER_ALL_ROWS = "/\uFFFF"

/**
 * Removes the rows of jobs that have no record: output that was saved late, after its job had been deleted. Each
 * removal checks that there is still no record. Returns the number of removed rows.
 */
internal suspend fun JobClearing.sweepOrphans(): Int = JOB_CHILD_TABLES.sumOf { sweepTable(it) }

private suspend fun JobClearing.sweepTable(table: String): Int {
    var removed = 0
    var after: String? = ""
    while (after != null) {
        val row = feed.page(table, after, 1).valueOrNull()?.rows?.firstOrNull()
        delay(CLEARING_TIME_PER_CALL)
        val id = row?.key?.substringBefore('/')
        if (id != null && isId(id) && store.lacksRecord(JobId(id))) {
            removed += store.removeRowsOf(table, JobId(id))
        }
        after = id?.let { it + AFTER_ALL_ROWS }
    }
    return removed
}

private suspend fun Store.lacksRecord(id: JobId): Boolean {
    val read = queries.readRow(jobRecordKey(id))
    delay(CLEARING_TIME_PER_CALL)
    return read is CallResult.Done && read.value.value == null
}

private suspend fun Store.removeRowsOf(table: String, id: JobId): Int {
    val prefix = "$table/$id/"
    var removed = 0
    var isLeft = true
    // A conflict ends it: the job has a record again.
    while (isLeft) {
        val rows = queries.scanRows(prefix, prefix, SWEPT_ROWS).valueOrNull().orEmpty()
        val removal = TableTransaction(
            checks = listOf(RowCheck(jobRecordKey(id), ABSENT)),
            writes = rows.map { RowWrite(it.key, null) },
        )
        isLeft = rows.isNotEmpty() && isCommitted(removal)
        if (isLeft) removed += rows.size
        delay(CLEARING_TIME_PER_CALL * 2)
    }
    return removed
}

/** Removes the rows of hosts that are gone, which each renewal of a lease would read. Returns their names. */
internal suspend fun JobClearing.removeGoneHosts(state: ServingState): List<String> {
    val scan = state.fleet.scan ?: return emptyList()
    val gone = scan.members.filter { it.isGone(scan.storeMillis) }.map { it.host.value }
    return gone.filter { host ->
        delay(CLEARING_TIME_PER_CALL * 2)
        store.removeIfGone(host, scan.storeMillis)
    }
}

private suspend fun Store.removeIfGone(host: String, storeMillis: Long): Boolean {
    val row = queries.readRow(memberKey(host)).valueOrNull()?.value
    val member = row?.let { decodeFleetMember(host, it.value).getOrNull() }
    return if (member == null || !member.isGone(storeMillis)) {
        false
    } else {
        val removal = TableTransaction(listOf(RowCheck(row.key, row.version)), listOf(RowWrite(row.key, null)))
        isCommitted(removal)
    }
}

private suspend fun Store.isCommitted(removal: TableTransaction): Boolean =
    commands.commit(removal).valueOrNull() is CommitReply.Committed

private fun FleetMember.isGone(storeMillis: Long): Boolean =
    (storeMillis - renewedAtMillis).milliseconds >= GONE_AFTER
