package figdeck.daemon.command.batch

import figdeck.command.batch.OwnedSegment
import figdeck.command.batch.commitGroup
import figdeck.command.batch.completedJob
import figdeck.command.batch.itemsKey
import figdeck.command.batch.jobKey
import figdeck.command.batch.nextGroup
import figdeck.command.batch.pointerKey
import figdeck.command.batch.resultsKey
import figdeck.command.batch.segmentKey
import figdeck.command.batch.shardOf
import figdeck.daemon.query.isDone
import figdeck.daemon.query.readJob
import figdeck.daemon.query.readSegment
import figdeck.model.Fence
import figdeck.model.GroupResult
import figdeck.model.ItemOutcome
import figdeck.model.ItemResult
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.SegmentId
import figdeck.model.StoredJobState
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.model.valueOrNull
import figdeck.store.query.Lookup
import figdeck.wire.command.encodeItemResult
import figdeck.wire.encodeJob
import figdeck.wire.encodeSegment
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

/** Runs the segment [id] from its last durable group on, while this host owns it and its job is not cancelled. */
internal suspend fun BatchServices.runSegment(id: SegmentId, permits: Semaphore) {
    var owned = loadSegment(id)
    val items = owned?.let { readItems(id) } ?: return
    while (owned != null && !owned.segment.isDone) {
        owned = runGroup(owned, items, permits)
    }
    owned?.let { finishSegment(it) }
}

private fun BatchServices.fence(id: SegmentId): Fence? = services.ownership.fenceOf(shardOf(id))

private suspend fun BatchServices.loadSegment(id: SegmentId): OwnedSegment? {
    val job = platform.queries.readJob(id.batch).valueOrNull()?.value
    val segment = platform.queries.readSegment(id).valueOrNull()?.value
    return when {
        job == null || segment == null || fence(id) == null -> null
        job.job.storedState == StoredJobState.ACCEPTED -> OwnedSegment(
            job.job,
            job.version,
            segment.segment,
            segment.version
        )
        else -> {
            platform.commands.commit(TableTransaction(emptyList(), listOf(RowWrite(pointerKey(id), null))))
            null
        }
    }
}

private suspend fun BatchServices.readItems(id: SegmentId): List<String>? =
    platform.queries.readObject(itemsKey(id)).valueOrNull()?.value?.decodeToString()?.trimEnd('\n')?.split('\n')

private suspend fun BatchServices.runGroup(
    owned: OwnedSegment,
    items: List<String>,
    permits: Semaphore,
): OwnedSegment? {
    val group = nextGroup(owned.segment, tuning.maxGroupItems) ?: return owned
    val id = owned.segment.id
    val results = coroutineScope {
        group
            .map { index -> async { permits.withPermit { runItem(id, owned.job.team, index, items[index]) } } }
            .awaitAll()
    }
    val writer = services.newRequestId().value
    val key = resultsKey(id, owned.segment.groups.size, writer)
    val lines = results.joinToString("") { encodeItemResult(it) + "\n" }
    val fence = fence(id)
    val stored = fence != null && putWithRetry(key, lines.encodeToByteArray()) { fence(id) != null }.isRight()
    return if (stored) commit(owned, groupResult(key, results, fence), fence) else null
}

private fun BatchServices.groupResult(key: String, results: List<ItemResult>, fence: Fence) = GroupResult(
    objectKey = key,
    items = results.size,
    failed = results.count { it.outcome is ItemOutcome.Failed },
    host = services.control.snapshot.host,
    epoch = fence.epoch,
    endedAtMillis = services.clock().epochMillis,
)

/** Commits a group result to the segment row, or returns null when this host may no longer run the segment. */
private suspend fun BatchServices.commit(owned: OwnedSegment, result: GroupResult, fence: Fence): OwnedSegment? {
    val commit = commitGroup(owned, result, fence)
    val id = owned.segment.id
    val transaction = TableTransaction(commit.checks, listOf(RowWrite(segmentKey(id), encodeSegment(commit.segment))))
    val commitOutcome = commitOnce(transaction, { fence(id) != null }) {
        platform.queries.readSegment(id).map { read ->
            Lookup(read.value?.takeIf { result in it.segment.groups }?.version)
        }
    }
    if (commitOutcome == CommitOutcome.Conflicted) {
        platform.commands.deleteObject(result.objectKey)
    }
    return (commitOutcome as? CommitOutcome.Committed)?.let {
        owned.copy(segment = commit.segment, version = it.version)
    }
}

/** Deletes the pointer of a finished segment, and marks its job completed if every segment is done. */
private suspend fun BatchServices.finishSegment(owned: OwnedSegment) {
    val allDone = platform.queries.isDone(owned.job).valueOrNull() ?: return
    val fence = fence(owned.segment.id) ?: return
    val checks = listOf(fence.check, RowCheck(jobKey(owned.job.id), owned.jobVersion))
    val pointer = RowWrite(pointerKey(owned.segment.id), null)
    val completed = if (allDone) completedJob(owned.job, services.clock()) else null
    val writes = listOfNotNull(pointer, completed?.let { RowWrite(jobKey(it.id), encodeJob(it)) })
    platform.commands.commit(TableTransaction(checks, writes))
}
