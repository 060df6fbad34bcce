package figdeck.daemon.command.batch

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.batch.itemsKey
import figdeck.command.batch.pointerKey
import figdeck.command.batch.segmentKey
import figdeck.http.HttpBody
import figdeck.model.BatchId
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.RowWrite
import figdeck.model.Segment
import figdeck.model.SegmentId
import figdeck.model.SegmentPointer
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.wire.command.MAX_LINE_BYTES
import figdeck.wire.command.encodeStoredLine
import figdeck.wire.encodePointer
import figdeck.wire.encodeSegment
import java.security.MessageDigest
import kotlin.time.Duration.Companion.seconds

private const val SEGMENT_ITEMS = 1000
private const val SEGMENT_CHARACTERS = 1024 * 1024
private const val SEGMENTS_PER_TRANSACTION = 50
private const val MAX_JOB_ITEMS = 2_000_000

/** What an upload left in the object store: the [digest] of its body and the number of items of each segment. */
internal data class Upload(
    val digest: String,
    val segmentItems: List<Int>,
)

/** Streams [body] into segment objects of bounded size; holds one segment at a time. */
internal suspend fun BatchServices.storeItems(id: BatchId, body: HttpBody): Either<Refusal, Upload> = either {
    val digest = MessageDigest.getInstance("SHA-256")
    val lines = ItemLines(MAX_LINE_BYTES)
    val cut = SegmentCut()
    val counts = mutableListOf<Int>()
    suspend fun store() {
        val segment = SegmentId(id, counts.size)
        counts += cut.items
        putPatiently(itemsKey(segment), cut.take(), patience()).bind()
        ensure(counts.sum() <= MAX_JOB_ITEMS) {
            Refusal.BadRequest("body", "more than $MAX_JOB_ITEMS items: split the job")
        }
    }
    body.chunks.collect { chunk ->
        digest.update(chunk)
        for (line in lines.take(chunk)) {
            cut.add(line)
            if (cut.isFull) store()
        }
    }
    lines.finish()?.let { cut.add(it) }
    if (cut.items > 0) store()
    ensure(counts.isNotEmpty()) { Refusal.BadRequest("body", "no items: send one JSON object on each line") }
    Upload(digest.digest().joinToString("") { "%02x".format(it) }, counts)
}

private class SegmentCut {
    private val text = StringBuilder()
    var items = 0
        private set
    val isFull: Boolean get() = items >= SEGMENT_ITEMS || text.length >= SEGMENT_CHARACTERS

    fun add(line: ItemLine) {
        text.append(encodeStoredLine(line.text)).append('\n')
        items++
    }

    fun take(): ByteArray = text.toString().encodeToByteArray().also {
        text.clear()
        items = 0
    }
}

/** Writes an object, again and again as long as [goesOn]. */
internal suspend fun BatchServices.putPatiently(
    key: String,
    bytes: ByteArray,
    goesOn: () -> Boolean,
): Either<Refusal, Unit> = either {
    val result = retryWhile(goesOn) { platform.commands.putObject(key, bytes) }
    ensure(result is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
}

/** Writes the rows of an upload's segments and the hints for their owners. */
internal suspend fun BatchServices.storeSegments(id: BatchId, team: TeamId, upload: Upload): Either<Refusal, Unit> =
    either {
        val now = services.clock()
        val writes = upload.segmentItems.mapIndexed { number, items ->
            val segment = SegmentId(id, number)
            listOf(
                RowWrite(segmentKey(segment), encodeSegment(Segment(segment, items, emptyList()))),
                RowWrite(pointerKey(segment), encodePointer(SegmentPointer(segment, team, now.epochMillis))),
            )
        }
        for (some in writes.chunked(SEGMENTS_PER_TRANSACTION)) {
            writePatiently(some.flatten()).bind()
        }
    }

/** Writes rows without conditions, again and again within the patience of the pace. */
internal suspend fun BatchServices.writePatiently(writes: List<RowWrite>): Either<Refusal, Unit> = either {
    val transaction = TableTransaction(emptyList(), writes)
    val result = retryWhile(patience()) { platform.commands.commit(transaction) }
    ensure(result is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
}
