package figdeck.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.toList
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private const val MAX_TRIES = 10
private val IDLE_TIMEOUT = 20.milliseconds

/** A channel that decodes the next of [reads] into a queue whenever the queue requests a read. */
private class ScriptedReads(reads: List<List<String>>) {
    private val reads = reads.iterator()
    private val queue = ChunkQueue(1.seconds, ::read)
    var readCount = 0
        private set

    private fun read() {
        readCount++
        if (reads.hasNext()) {
            reads.next().forEach { queue.offer(Unpooled.wrappedBuffer(it.encodeToByteArray())) }
            queue.endRead()
        } else {
            queue.complete()
        }
    }

    suspend fun collect(): List<String> = queue.body.chunks.toList().map { it.decodeToString() }
}

/** A body whose collector waits [IDLE_TIMEOUT] for its only chunk, offered [chunkAfterMillis] after the request. */
private class LateBody(chunkAfterMillis: Int) {
    private lateinit var requestedAt: TimeMark
    private val offeredAfter = CompletableDeferred<Duration>()
    private val queue: ChunkQueue = ChunkQueue(IDLE_TIMEOUT) {
        requestedAt = TimeSource.Monotonic.markNow()
        offerAfter(chunkAfterMillis)
    }

    /** Collects the chunk. Tells the time of its offer, and how long the collector waited if it got nothing. */
    suspend fun collectOffer(): Offer {
        val failedAfter = try {
            queue.body.chunks.toList().map { it.decodeToString() } shouldBe listOf("a")
            null
        } catch (_: IncompleteMessageException) {
            requestedAt.elapsedNow()
        }
        return Offer(offeredAfter.await(), failedAfter)
    }

    private fun offerAfter(millis: Int) {
        thread(isDaemon = true) {
            Thread.sleep(millis.toLong())
            queue.offer(Unpooled.wrappedBuffer("a".encodeToByteArray()))
            queue.complete()
            offeredAfter.complete(requestedAt.elapsedNow())
        }
    }
}

/** A chunk that was there [offeredAfter] the request for it; [failedAfter] is null if the collector got it. */
private data class Offer(
    val offeredAfter: Duration,
    val failedAfter: Duration?,
) {
    val isInTime: Boolean get() = offeredAfter <= IDLE_TIMEOUT + READ_GRACE
}

/** Collects late chunks until [count] of them were there in time: the thread that offers them may be late itself. */
private suspend fun collectInTime(count: Int, chunkAfterMillis: (Int) -> Int): List<Offer> {
    val inTime = mutableListOf<Offer>()
    var tries = 0
    while (inTime.size < count) {
        check(tries < MAX_TRIES * count) { "of $tries chunks only ${inTime.size} were offered in time" }
        val offer = LateBody(chunkAfterMillis(tries++)).collectOffer()
        offer.failedAfter?.let { it shouldBeGreaterThanOrEqualTo IDLE_TIMEOUT + READ_GRACE }
        if (offer.isInTime) inTime += offer
    }
    return inTime
}

/** A queue with a read that decodes `a` and, a while later, `b`, the last byte of the body. */
private fun slowlyDecodedQueue(): ChunkQueue {
    lateinit var queue: ChunkQueue
    queue = ChunkQueue(1.seconds) {
        thread(isDaemon = true) {
            queue.offer(Unpooled.wrappedBuffer("a".encodeToByteArray()))
            Thread.sleep(50)
            queue.offer(Unpooled.wrappedBuffer("b".encodeToByteArray()))
            queue.complete()
        }
    }
    return queue
}

class ChunkQueueSpec : DescribeSpec({
    describe("a body of three reads") {
        it("is emitted as one chunk for each read, in order") {
            val body = ScriptedReads(listOf(listOf("a", "b", "c"), listOf("d"), listOf("e", "f")))
            body.collect() shouldBe listOf("abc", "d", "ef")
        }
        it("is read on only after all chunks of a read were collected") {
            val body = ScriptedReads(listOf(listOf("a", "b"), listOf("c")))
            body.collect() shouldBe listOf("ab", "c")
            body.readCount shouldBe 3
        }
    }

    // Guards against a peer whose bytes take many times their number in memory, or hold up all others on the thread.
    describe("a read of 100,000 chunks of one byte") {
        it("is emitted in few chunks, none of them long, in order") {
            val bytes = List(100_000) { "${it % 10}" }
            val emitted = ScriptedReads(listOf(bytes)).collect()
            emitted.joinToString("") shouldBe bytes.joinToString("")
            emitted.maxOf { it.length } shouldBeLessThanOrEqual 16 * 1024
            emitted.size shouldBeLessThanOrEqual 7
        }
    }

    // Guards against a collector on another thread that is woken, and asks for a read, for each byte of a read.
    describe("a read that is decoded while its collector waits") {
        it("is emitted as one chunk") {
            slowlyDecodedQueue().body.chunks.toList().map { it.decodeToString() } shouldBe listOf("ab")
        }
    }

    describe("a wait for a chunk that times out") {
        it("still gets a chunk that arrives right then, as after this process was stopped for a while") {
            collectInTime(1) { 40 }.filter { it.failedAfter != null }.shouldBeEmpty()
        }
        it("loses no chunk that arrives in the same moment") {
            collectInTime(200) { 19 + it % 3 }.filter { it.failedAfter != null }.shouldBeEmpty()
        }
        it("fails if nothing comes") {
            shouldThrow<IncompleteMessageException> { ChunkQueue(20.milliseconds) {}.body.chunks.toList() }
        }
    }

    describe("a body that fails after buffered chunks") {
        it("emits them before the failure") {
            val queue = ChunkQueue(1.seconds) {}
            val received = mutableListOf<String>()
            queue.offer(Unpooled.wrappedBuffer("a".encodeToByteArray()))
            queue.offer(Unpooled.wrappedBuffer("b".encodeToByteArray()))
            queue.fail("the peer closed the connection in mid-answer")
            shouldThrow<IncompleteMessageException> {
                queue.body.chunks.collect { received += it.decodeToString() }
            }
            received shouldBe listOf("ab")
        }
    }
})
