package figdeck.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import kotlinx.coroutines.flow.toList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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

/** A queue with a time-out of 20 ms whose only chunk arrives [chunkAfterMillis] after the read was requested. */
private fun lateQueue(chunkAfterMillis: Int): ChunkQueue {
    lateinit var queue: ChunkQueue
    queue = ChunkQueue(20.milliseconds) {
        thread(isDaemon = true) {
            Thread.sleep(chunkAfterMillis.toLong())
            queue.offer(Unpooled.wrappedBuffer("a".encodeToByteArray()))
            queue.complete()
        }
    }
    return queue
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
            lateQueue(chunkAfterMillis = 40).body.chunks.toList().map { it.decodeToString() } shouldBe listOf("a")
        }
        it("loses no chunk that arrives in the same moment") {
            val received = List(200) { lateQueue(chunkAfterMillis = 19 + it % 3).body.chunks.toList().size }
            received.toSet() shouldBe setOf(1)
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
