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

private const val MAX_SEGMENT_ITEMS = 1000
private const val MAX_SEGMENT_CHARACTERS = 1024 * 1024
private const val MAX_SEGMENTS_PER_TRANSACTION = 50
private const val MAX_JOB_ITEMS = 2_000_000

/** An upload in the object store: the SHA-256 [digest] of its body and the number of items of each segment. */
internal data class Upload(
    val digest: String,
    val segmentItems: List<Int>,
)

/** Streams [body] into segment objects of bounded size, and buffers one segment at a time. */
internal suspend fun BatchServices.storeItems(id: BatchId, body: HttpBody): Either<Refusal, Upload> = either {
    val digest = MessageDigest.getInstance("SHA-256")
    val splitter = ItemLineSplitter(MAX_LINE_BYTES)
    val buffer = SegmentBuffer()
    val counts = mutableListOf<Int>()
    suspend fun storeSegment() {
        val segment = SegmentId(id, counts.size)
        counts += buffer.items
        putWithRetry(itemsKey(segment), buffer.drain(), untilStoreTimeout()).bind()
        ensure(counts.sum() <= MAX_JOB_ITEMS) {
            Refusal.BadRequest("body", "more than $MAX_JOB_ITEMS items: split the job")
        }
    }
    body.chunks.collect { chunk ->
        digest.update(chunk)
        for (line in splitter.split(chunk)) {
            buffer.add(line)
            if (buffer.isFull) storeSegment()
        }
    }
    splitter.finish()?.let { buffer.add(it) }
    if (buffer.items > 0) storeSegment()
    ensure(counts.isNotEmpty()) { Refusal.BadRequest("body", "no items: send one JSON object on each line") }
    Upload(digest.digest().joinToString("") { "%02x".format(it) }, counts)
}

private class SegmentBuffer {
    private val text = StringBuilder()
    var items = 0
        private set
    val isFull: Boolean get() = items >= MAX_SEGMENT_ITEMS || text.length >= MAX_SEGMENT_CHARACTERS

    fun add(line: ItemLine) {
        text.append(encodeStoredLine(line.text)).append('\n')
        items++
    }

    fun drain(): ByteArray = text.toString().encodeToByteArray().also {
        text.clear()
        items = 0
    }
}

/** Writes an object, and retries a failed write while [shouldRetry] returns true. */
internal suspend fun BatchServices.putWithRetry(
    key: String,
    bytes: ByteArray,
    shouldRetry: () -> Boolean,
): Either<Refusal, Unit> = either {
    val result = retryWhile(shouldRetry) { platform.commands.putObject(key, bytes) }
    ensure(result is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
}

/** Writes the segment rows of an upload, and the pointers from which the owners find the segments. */
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
        for (group in writes.chunked(MAX_SEGMENTS_PER_TRANSACTION)) {
            writeWithRetry(group.flatten()).bind()
        }
    }

/** Writes rows without checks, and retries failed writes up to [BatchTuning.storeTimeout]. */
internal suspend fun BatchServices.writeWithRetry(writes: List<RowWrite>): Either<Refusal, Unit> = either {
    val transaction = TableTransaction(emptyList(), writes)
    val result = retryWhile(untilStoreTimeout()) { platform.commands.commit(transaction) }
    ensure(result is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
}
